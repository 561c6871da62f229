#!/usr/bin/env bash
# Runs two gates and three orderers on loopback against the stand-in of a
# platform, with an engine that does not respond, store calls that are lost or
# rejected, one gate killed and one stopped, and reports whether every invariant
# held.
# Usage: demo-platform.sh BIN OUTDIR
set -u
BIN=$1
OUT=$2
SECONDS_RUN=${SECONDS_RUN:-14}
. "$(dirname "$0")/platform.sh"
rm -rf "$OUT"
mkdir -p "$OUT"
trap cleanup EXIT

reserve_ports 8 $SRANDOM
cat >"$OUT/platform.yaml" <<Y
name: platform
ports_file: $OUT/platform.ports
timeline: $OUT/platform.jsonl
gates: ["127.0.0.1:${PORT[0]}", "127.0.0.1:${PORT[3]}"]
seconds: $SECONDS_RUN
report: $OUT/report.json
Y
launch platform wystandin platform
await "$OUT/platform.ports.platform"
store=$(port_of store)
for i in 0 1; do
  gate_settings $i "${PORT[@]:$((i * 3)):3}" "$store" "${PORT[2]}" "${PORT[5]}"
  launch gate-$i wygated
done
for ((i = 0; i < ENGINES; i++)); do
  orderer_settings $i "$(port_of "engine-$i")" "$store" "${PORT[2]}"
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

platform_ends
rc=$?
cat "$OUT/report.json"
echo
[ "$rc" = 0 ] || die "an invariant was violated, see $OUT/report.json"
[ "$stopped" = 0 ] || die "gate-0 ended with $stopped"
jq -e '.steps >= 3 and .answered >= 0.95 * .sent' "$OUT/report.json" >/dev/null \
  || die "fewer than 3 steps, or under 95 % of the requests answered"
"$BIN/wyctl" check "$OUT/platform.jsonl" || die "an invariant was violated"
id=$(cat "$OUT"/gate-*.log | jq -rR 'fromjson? | select(.event == "job.listed") | .id' | tail -n 1)
"$BIN/wyctl" explain "$id" "$OUT"/gate-*.log "$OUT"/orderer-*.log \
  >"$OUT/explain.txt" || die "wyctl explain found nothing about job $id"
echo "all invariants hold; the log lines about job $id are in $OUT/explain.txt"
