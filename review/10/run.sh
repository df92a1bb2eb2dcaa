#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/gentianraild ] && [ -x target/review2 ] || exit 2
exec target/review2 advice review/10
