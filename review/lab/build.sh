#!/bin/sh
# Builds the stand-ins of the cases. It needs no network and no module but the standard library.
set -e
root=$(cd "$(dirname "$0")/../.." && pwd)
cd "$root/review/lab"
GOFLAGS="-buildvcs=false -mod=mod" GOWORK=off go build -o "$root/target/review-lab" .
