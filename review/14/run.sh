#!/bin/sh
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the cuts out. KEEP_LOGS=1 keeps the logs of the nodes.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/wigeonwinchd ] && [ -x target/standin3 ] || { echo "build the project and run review/build-3.sh first" >&2; exit 2; }
exec target/standin3 --case false-crash --program target/wigeonwinchd --record "$here/record.txt"
