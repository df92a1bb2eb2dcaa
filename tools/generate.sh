#!/usr/bin/env bash
# Regenerates the wire messages. Needs protoc (Debian: protobuf-compiler).
set -euo pipefail
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
cd ../internal/wire/pb
PATH="$bin:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
  --go-drpc_out=. --go-drpc_opt=paths=source_relative gentianrail.proto
