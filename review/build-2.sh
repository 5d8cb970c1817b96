#!/bin/sh
# Builds the stand-in that the scripts of the second review start. The build of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/harness-2 ./review/harness
