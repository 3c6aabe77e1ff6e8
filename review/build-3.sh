#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. They use the standard library
# only. The project's program itself is built with the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stage3 ./review/stage3
