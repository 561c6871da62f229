#!/usr/bin/env bash
# Measures the latency that entry and agent add: the same callers at the same
# time through the service and directly to the engines, on a yard without faults
# and with engine steps of 1 ms.  Usage: latency.sh BIN OUTDIR [SECONDS]
set -u
BIN=$1
OUT=$2
HERE=$(dirname "$0")
SEED=1
SCALE=8
BEGAN_US=${EPOCHREALTIME/./}

rm -rf "$OUT"
mkdir -p "$OUT/run"
. "$HERE/lib.sh"
. "$HERE/yard.sh"
trap cleanup EXIT

# callers NAME DIRECT ADDRESSES
callers() {
  settings "$1" entries "$3" model settlement-pattern report "$OUT/$1.json" \
    direct "$2" whole 0 stream 8 filings 0 think_ms 20 max_tokens 1
  launch "$1" wystandin callers
}

start_yard
list=$(for t in "${ENGINES[@]}"; do echo "\"127.0.0.1:$(port "$t" http)\""; done | paste -sd,)
callers callers-through false "[\"$E1\", \"$E2\"]"
callers callers-direct true "[$list]"
sleep "${3:-10}"
stop callers-through callers-direct
for c in callers-direct callers-through; do
  jq -r --arg c $c '"\($c)  n \(.stream.n)  p50 \(.stream.p50_ms) ms  p99 \(.stream.p99_ms) ms  max \(.stream.max_ms) ms"' "$OUT/$c.json"
done
