#!/usr/bin/env bash
# Regenerates internal/pb from proto/. Needs protoc on PATH; the build does not.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd tools && go build -o "$bin/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go)
PATH="$bin:$PATH" protoc -I proto --go_out=. --go_opt=module=github.com/wigeonwood/wigeonwood proto/*.proto
