#!/usr/bin/env bash
# Builds the stand-in of the scripts of this review. It needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/stand-3"
mkdir -p ../../target/review-3
GOWORK=off go build -o ../../target/review-3/stand .
