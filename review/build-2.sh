#!/bin/sh
# Builds the stand-ins that the scripts of review/6 and later start. It needs no network.
set -e
cd "$(dirname "$0")/lab2"
GOFLAGS=-buildvcs=false GOWORK=off GOPROXY=off go build -o bin/lab2 .
