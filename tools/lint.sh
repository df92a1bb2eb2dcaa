#!/usr/bin/env bash
# Checks formatting and style. Prints nothing if there are no findings.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -C tools -o "$bin/" mvdan.cc/gofumpt honnef.co/go/tools/cmd/staticcheck github.com/mgechev/revive
unformatted=$(git ls-files '*.go' | grep -v '\.pb\.go$' | xargs "$bin/gofumpt" -l)
if [ -n "$unformatted" ]; then
  echo "not formatted by gofumpt: $unformatted" >&2
  exit 1
fi
go vet ./...
"$bin/staticcheck" ./...
"$bin/revive" -config tools/revive.toml -exclude './internal/wire/pb/...' -set_exit_status ./...
