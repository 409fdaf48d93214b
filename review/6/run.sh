#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Build first: the deploy file's line and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wigeonwinchd ] && [ -x target/review-standin2 ] || exit 2
exec target/review-standin2 advice-queue-moves review/6
