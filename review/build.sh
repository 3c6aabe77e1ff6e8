#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start. Run the build line of
# deploy/system.toml first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-standin ./review/standin
