#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/.
set -euo pipefail
cd "$(dirname "$0")/standin2"
mkdir -p ../../target
GOWORK=off GOPROXY=off go build -o ../../target/review-standin2 .
