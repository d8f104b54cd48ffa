#!/bin/bash
# Builds the stand-ins (clients, workers, platform) that the scripts of review/ start.
set -e
cd "$(dirname "$0")/.."
go test -c -tags review -o target/review-standins ./review/standins
