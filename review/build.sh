#!/usr/bin/env bash
# Builds the stand-ins of the scripts, beside the project's programs.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
cd "$top/review/harness"
GOFLAGS=-buildvcs=false GOWORK=off go build -o "$top/target/review-harness" .
