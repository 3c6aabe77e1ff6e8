#!/usr/bin/env bash
# Plays the case "replaced". It exits with 1 if the rule was broken, 0 if it held and 2 if the case could
# not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-stage replaced "review/6/record.txt"
