#!/bin/sh
# Runs the case after the build of the deploy file and review/build.sh. Exit code: 1 if the rule
# was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(git -C "$here" rev-parse --show-toplevel 2>/dev/null || (cd "$here/../.." && pwd))
LAB_ROOT="$root" LAB_CASE="$here" exec "$root/target/review-lab" rolling
