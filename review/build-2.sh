#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
go build -o ../../target/review2 .
