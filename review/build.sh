#!/bin/bash
# Builds the stand-ins of the scripts. The project's own programs are built by the command of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -ldflags=-linkmode=external -o target/review-rig ./review/rig
