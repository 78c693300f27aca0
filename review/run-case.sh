#!/usr/bin/env bash
# Runs a case of the harness: run-case.sh CASE FOLDER. Called by each case's run.sh.
set -u
top=$(cd "$(dirname "$0")/.." && pwd)
[ -x "$top/target/review-harness" ] || { echo "target/review-harness is missing: run review/build.sh"; exit 2; }
[ -x "$top/target/quetzalglade-gateway" ] || { echo "target/quetzalglade-gateway is missing: build as the deploy file says"; exit 2; }
exec "$top/target/review-harness" "$1" "$2/record.txt"
