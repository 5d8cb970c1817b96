#!/usr/bin/env bash
# Regenerates pkg/wire from proto/; needs protoc, protoc-gen-go and protoc-gen-connect-go on the PATH.
set -eu
cd "$(dirname "$0")/.."
module=pimentogate.example/pimentogate
protoc -I proto --go_out=. --go_opt=module=$module --connect-go_out=. --connect-go_opt=module=$module proto/*.proto
