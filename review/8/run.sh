#!/usr/bin/env bash
# Plays the case; claim.txt tells what it shows. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
exec target/burdock-review-standin2 crash review/8
