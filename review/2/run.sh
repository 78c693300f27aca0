#!/usr/bin/env bash
# A worker that does not drop a request when its connection closes is emptied.
here=$(cd "$(dirname "$0")" && pwd)
exec bash "$here/../run-case.sh" switch-beside "$here"
