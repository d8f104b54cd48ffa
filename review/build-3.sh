#!/usr/bin/env bash
# Builds what the scripts of the third review start, beside the project's own programs, which the
# build line of deploy/system.toml puts into target/.
set -eu
cd "$(dirname "$0")/.."
go test -c -tags review -o target/review-standins-3 ./review/standins3
