#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. It needs Go's standard
# library only. Run it in the repository after the build of deploy/system.toml.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root/review/standin3"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o "$root/target/standin3" .
