#!/usr/bin/env bash
# Runs a scenario against a fleet of real processes on loopback:
#   tools/fleet.sh SCENARIO [INSTANCES]
# It starts the stand-in store, the stand-in backend servers of the scenario's
# deployment and the instances, and kills them by process ID at exit.
set -euo pipefail
cd "$(dirname "$0")/.."
scenario=$1
count=${2:-6}
if ! [ "$count" -ge 1 ] 2>/dev/null; then
  echo "$count instances: must be at least 1" >&2
  exit 1
fi
bin=${BIN:-build/monsoonswitch}
dir=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$dir"' EXIT

# start NAME COMMAND... starts a stand-in in the background and sets address to the
# address that it listens on. It fails if the stand-in prints none within about 4 s.
start() {
  local name=$1
  shift
  : >"$dir/$name.out"
  "$bin" "$@" >"$dir/$name.out" 2>"$dir/$name.err" &
  pids+=($!)
  for _ in $(seq 200); do
    address=$(sed -n 's/^listening on //p' "$dir/$name.out")
    [ -n "$address" ] && return 0
    sleep 0.02
  done
  echo "$name did not start" >&2
  return 1
}

start store standin store --listen 127.0.0.1:0
store=$address
case $scenario in
  *kilimo*) deployment=kilimo domains=(arusha-1 arusha-2 moshi-1 moshi-2) slots=6 services="ratiba:8 malipo:16 kliniki:8" ;;
  *) deployment=pelletier domains=(worcester providence portsmouth) slots=3 services="ledger:11 billing:21 fieldbook:6" ;;
esac
seed=1
for s in $services; do
  for i in $(seq 0 $((${s#*:} - 1))); do
    seed=$((seed + 1))
    start "${s%:*}-$i" standin backend --store "$store" --service "${s%:*}" --id "${s%:*}-$i" --slots $slots --seed $seed --down 700ms
  done
done
"$bin" apply --store "$store" "loader/deployments/$deployment" >&2

entries=() operators=() seeds=""
for i in $(seq 0 $((count - 1))); do
  cat >"$dir/entry-$i.ini" <<INI
[instance]
name = entry-$i
domain = ${domains[$((i % ${#domains[@]}))]}
[callers]
listen = 127.0.0.1:0
header = Caller
keep = 2s
[inner]
listen = 127.0.0.1:0
key = the-key-of-this-fleet
seeds = $seeds
[operators]
listen = 127.0.0.1:0
[platform]
address = $store
patience = 1s
INI
  "$bin" serve --settings "$dir/entry-$i.ini" >"$dir/entry-$i.log" 2>&1 &
  pids+=($!)
  for _ in $(seq 200); do
    line=$(grep -m1 -o 'callers [0-9.:]* inner [0-9.:]* operators [0-9.:]*' "$dir/entry-$i.log" || true)
    [ -n "$line" ] && break
    sleep 0.02
  done
  if [ -z "$line" ]; then
    echo "entry-$i did not start:" >&2
    cat "$dir/entry-$i.log" >&2
    exit 1
  fi
  read -r _ callers _ inner _ ops <<<"$line"
  entries+=(--entry "$callers")
  operators+=(--operators "$ops")
  [ "$i" -lt 3 ] && seeds="${seeds:+$seeds, }$inner"
done
sleep 4
"$bin" load --store "$store" "${entries[@]}" "${operators[@]}" "$scenario"
