#!/bin/sh
# Builds the stand-ins and scripts of the cases, beside the project's programs. It needs no
# network: the module uses the standard library only.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root/review/_lab"
GOFLAGS=-buildvcs=false GOWORK=off go build -o "$root/target/review-lab" .
