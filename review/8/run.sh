#!/bin/sh
# Plays the case and writes record.txt beside this file. Exit code: 1 if the rule was broken, 0 if
# it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd)
lab=$here/../lab2/bin/lab2
target=$here/../../target
if [ ! -x "$lab" ] || [ ! -x "$target/quetzalglade-gateway" ] || [ ! -x "$target/quetzalglade-sidecar" ]; then
	echo "not built: review/build-2.sh and the build of the deploy file come first"
	exit 2
fi
exec "$lab" -case last-tenant -dir "$here" -target "$target"
