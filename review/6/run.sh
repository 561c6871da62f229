#!/usr/bin/env bash
# A gate gets SIGTERM while streams run through it.  Clients that have kept idle
# connections to it open ask for their next streams more than 3 s later.
# Exits with 1 if one of these was passed on to a replica and cut off.
# TROUBLE=0: no SIGTERM.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
TROUBLE=${TROUBLE:-1}
. "$CASE/../standin-2/lib.sh"
begin

cat >"$OUT/config.json" <<J
{"version":1,"routes":[{"name":"talk","host":"talk.example","prefix":"/talk/",
"kind":"streaming","timeoutMs":12000,"targetLatencyMs":400,"priority":1,"attempts":3,
"service":"engines","singleVersion":false,"sticky":true,"resumable":false}],
"services":[{"name":"engines","healthPath":"/health","connectionLimit":160,
"protocol":"h1","tls":false,"engine":{"slots":16,"kvCacheTokens":104215,"models":[
{"name":"m0"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":33554432,
"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
J
# A stream has 40 events, one each 100 ms: 4 s.
platform models=3 event_ms=100 events=40 data_bytes=120
gates 2
start_gate 0
start_gate 1
start_orderers
await_ready 0 1
sleep 1

# All clients have had a first stream by then.
term_ms=$(($(date +%s%3N) + 6000))
n=0
for after_ms in -1000 0 1500 3200 3700 4200 4700 5200 5700; do
  $TOOLS/stream-client "$RECORD" "${FRONT[0]}" talk.example /talk/$n "c$after_ms" \
    $((term_ms + after_ms)) 12000 &
  PID[client-$n]=$!
  AFTER[n]=$after_ms
  n=$((n + 1))
done
now_ms=$(date +%s%3N)
sleep "$(awk -v ms=$((term_ms - now_ms)) 'BEGIN {print ms / 1000}')"
if [ "$TROUBLE" != 0 ]; then
  note "SIGTERM to gate-0"
  kill -TERM "${PID[gate-0]}"
  # The platform kills it gracePeriodS later.
  for _ in $(seq 80); do
    sleep 0.1
    kill -0 "${PID[gate-0]}" 2>/dev/null || break
  done
  kill -0 "${PID[gate-0]}" 2>/dev/null && kill -KILL "${PID[gate-0]}"
fi

broken=0
for ((i = 0; i < n; i++)); do
  wait "${PID[client-$i]}"
  rc=$?
  unset "PID[client-$i]"
  [ $rc = 2 ] && cannot "a first stream failed"
  # Not counted: a request that was sent no later than 3 s after the SIGTERM
  # and was still at work in the last sixth of the grace period.
  if [ $rc = 1 ] && [ "${AFTER[i]}" -gt 3000 ] \
    && grep -q "runs c${AFTER[i]}-2 " "$RECORD"; then
    broken=$((broken + 1))
  fi
done
note "$broken streams that were sent more than 3 s after the SIGTERM were cut off"
[ $broken = 0 ] || exit 1
exit 0
