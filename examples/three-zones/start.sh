#!/usr/bin/env bash
# Starts three controllers, two entry instances, three agents and their three
# sample targets on loopback. Prints "NAME PID" for each process, then "ready",
# and terminates all of them when it is terminated itself.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
data=$(cd "$here/../.." && pwd)/data/three-zones
mkdir -p "$data"
go build -C "$here/../.." -o "$data/gentianraild" ./cmd/gentianraild

pids=()
finish() {
  trap - EXIT INT TERM
  # The entry instances drain first, the controllers last.
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${pids[i]}" 2>/dev/null || true
  done
  wait
}
trap finish EXIT
trap 'exit 0' INT TERM

for name in controller_1 controller_2 controller_3 target_1 target_2 target_3 agent_1 agent_2 agent_3 entry_1 entry_2; do
  "$data/gentianraild" --config "$here/$name.json" 2>"$data/$name.log" &
  pids+=($!)
  echo "$name $!"
done
for ((try = 0; try < 200; try++)); do
  if curl -fsS -o /dev/null http://127.0.0.1:8600/readyz http://127.0.0.1:8605/readyz http://127.0.0.1:8601/readyz 2>/dev/null; then
    echo ready
    wait
    exit 0
  fi
  sleep 0.1
done
echo "the processes did not become ready; their logs are in $data" >&2
exit 1
