#!/bin/sh
# Plays case 3; claim.txt tells what it shows. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
command=$(sed -n '/^\[roles\.entry\]/,/^\[roles\.agent\]/s/^run = "\(.*\)"$/\1/p' deploy/system.toml)
[ -n "$command" ] && [ -x target/review-standin ] || exit 2
exec target/review-standin -case drain -record review/3/record.txt -command "$command"
