#!/usr/bin/env bash
# Plays the sites of docs/REGRESSION.md with the users' bench, one after the other.
# Usage: tools/regression.sh BENCH SITES OUT
# BENCH is the bench's program, SITES the folder of the site files, OUT a folder for
# the output. The exit status is 1 if a gate failed or a rule was broken.
set -euo pipefail
if [ $# -ne 3 ]; then
  sed -n '2,5s/^# //p' "$0" >&2
  exit 2
fi
bench=$1 sites=$2 out=$3
cd "$(dirname "$0")/.."
mkdir -p "$out"
status=0

score() { # SITE JOBS
  "$bench" score "$sites/$1.toml" --jobs "$2" --why "regression" >"$out/score-$(basename "$1").txt" 2>&1 || status=1
  grep -q "GATE passed" "$out/score-$(basename "$1").txt" || status=1
}

hunt() { # SITE JOBS DAYS
  "$bench" hunt "$sites/$1.toml" --jobs "$2" --days "$3" --why "regression" >"$out/hunt-$(basename "$1").txt" 2>&1 || status=1
  grep -q ", 0 with a rule broken" "$out/hunt-$(basename "$1").txt" || status=1
}

score further/hoanglong-etch 3
hunt further/hoanglong-etch 3 40
score further-grown/hoanglong-etch-grown 3
hunt further-grown/hoanglong-etch-grown 3 8
score grown/spilvens-sched-grown 3
score grown/owl-rota-grown 3
score large/spilvens-sched-large 2
hunt large/spilvens-sched-large 2 8
grep -h "worth served\|GATE\|with a rule broken" -A 7 "$out"/*.txt || true
exit "$status"
