#!/usr/bin/env bash
# Builds the stand-ins of the second review, as target/review-standins-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -tags review -o target/review-standins-2 ./review/standins2
