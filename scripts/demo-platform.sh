#!/usr/bin/env bash
# Runs two gates and three orderers on loopback against the stand-in of a
# platform, with a silent engine, lost and refused calls of the store, one gate
# killed and one stopped, and tells whether every promise held.
# Usage: demo-platform.sh BIN OUTDIR
set -u
BIN=$1
OUT=$2
SECONDS_RUN=${SECONDS_RUN:-14}
rm -rf "$OUT"
mkdir -p "$OUT"
declare -A PID=()

cleanup() {
  local p
  for p in "${PID[@]}"; do
    kill -9 "$p" 2>/dev/null
  done
  wait 2>/dev/null
}
trap cleanup EXIT

die() {
  echo "$0: $*" >&2
  exit 1
}

# free_ports N: ports that nobody listens on now, below the ephemeral range.
free_ports() {
  local n=$1 port used
  used=$(cat /proc/net/tcp | awk 'NR > 1 {split($2, a, ":"); print a[2]}')
  port=$((20000 + RANDOM % 8000))
  while [ "$n" -gt 0 ]; do
    if ! printf '%s\n' "$used" | grep -qi "^$(printf '%04X' $port)$"; then
      echo $port
      n=$((n - 1))
    fi
    port=$((port + 1))
  done
}

launch() {
  local name=$1
  shift
  "$BIN/$@" --config "$OUT/$name.yaml" >>"$OUT/$name.log" 2>&1 &
  PID[$name]=$!
}

mapfile -t PORT < <(free_ports 8)
cat >"$OUT/platform.yaml" <<Y
name: platform
ports_file: $OUT/platform.ports
timeline: $OUT/platform.jsonl
gates: ["127.0.0.1:${PORT[0]}", "127.0.0.1:${PORT[3]}"]
seconds: $SECONDS_RUN
report: $OUT/report.json
Y
launch platform wystandin platform
for _ in $(seq 200); do
  [ -s "$OUT/platform.ports.platform" ] && break
  sleep 0.02
done
[ -s "$OUT/platform.ports.platform" ] || die "the platform did not start"
store=$(awk '$1 == "store" {print $2}' "$OUT/platform.ports.platform")
for i in 0 1; do
  cat >"$OUT/gate-$i.yaml" <<Y
name: gate-$i
availability_zone: z$i
callers_address: 127.0.0.1:${PORT[$((i * 3))]}
ready_address: 127.0.0.1:${PORT[$((i * 3 + 1))]}
peers_address: 127.0.0.1:${PORT[$((i * 3 + 2))]}
store_address: 127.0.0.1:$store
seeds: ["127.0.0.1:${PORT[2]}", "127.0.0.1:${PORT[5]}"]
grace_s: 6
Y
  launch gate-$i wygated
done
for i in 0 1 2; do
  engine=$(awk -v e=engine-$i '$1 == e {print $2}' "$OUT/platform.ports.platform")
  cat >"$OUT/orderer-$i.yaml" <<Y
name: orderer-$i
target_address: 127.0.0.1:$engine
service: engines
store_address: 127.0.0.1:$store
seeds: ["127.0.0.1:${PORT[2]}"]
Y
  launch orderer-$i wyorderd
done

sleep 2.5
kill -9 "${PID[gate-1]}"
wait "${PID[gate-1]}" 2>/dev/null
echo "gate-1 killed"
sleep 0.5
launch gate-1 wygated
echo "gate-1 started again"
sleep 9
kill -TERM "${PID[gate-0]}"
echo "gate-0 asked to stop"
wait "${PID[gate-0]}"
stopped=$?
launch gate-0 wygated
echo "gate-0 started again"

for _ in $(seq 400); do
  kill -0 "${PID[platform]}" 2>/dev/null || break
  sleep 0.1
done
kill -0 "${PID[platform]}" 2>/dev/null && die "the platform did not end"
wait "${PID[platform]}"
rc=$?
unset "PID[platform]"
[ -s "$OUT/report.json" ] || die "no report, see $OUT/platform.log"
cat "$OUT/report.json"
echo
[ "$rc" = 0 ] || die "a promise was broken"
[ "$stopped" = 0 ] || die "gate-0 ended with $stopped"
jq -e '.steps >= 3 and .answered >= 0.95 * .sent' "$OUT/report.json" >/dev/null \
  || die "too little was done"
"$BIN/wyctl" check "$OUT/platform.jsonl" || die "a promise was broken"
id=$(cat "$OUT"/gate-*.log | jq -rR 'fromjson? | select(.event == "job.listed") | .id' | tail -n 1)
"$BIN/wyctl" explain "$id" "$OUT"/gate-*.log "$OUT"/orderer-*.log \
  >"$OUT/explain.txt" || die "no story of $id"
echo "all promises kept; the story of $id is in $OUT/explain.txt"
