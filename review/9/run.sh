#!/usr/bin/env bash
# Plays the case "revoke". It exits with 1 if the rule was broken, 0 if it held and 2 if the case could
# not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-stage revoke "review/9/record.txt"
