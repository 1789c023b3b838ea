#!/bin/sh
# Builds what the scripts of the cases start besides the project's own programs.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-standin ./review/standin
