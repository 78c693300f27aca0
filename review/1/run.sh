#!/usr/bin/env bash
# SIGHUP reaches a gateway that is stopping after SIGTERM.
here=$(cd "$(dirname "$0")" && pwd)
exec bash "$here/../run-case.sh" hangup-in-stop "$here"
