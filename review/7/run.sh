#!/usr/bin/env bash
# A gate gets SIGTERM, as in each rolling restart, while clients read the results
# of a batch job from it over connections that are not fast.
# Exits with 1 if one of them did not get its whole answer.
# TROUBLE=0: no SIGTERM.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
TROUBLE=${TROUBLE:-1}
. "$CASE/../standin-2/lib.sh"
begin

# A job as on the sheet, relato-tactico: 11 groups of 16 items of 21 events.
cat >"$OUT/config.json" <<J
{"version":1,"routes":[{"name":"lots","host":"lots.example","prefix":"/lots/",
"kind":"rollout","timeoutMs":10000,"targetLatencyMs":400,"priority":1,"attempts":3,
"service":"engines","retentionS":40.0,"resultDeadlineMs":7500,"singleVersion":false,
"sticky":true,"resumable":true}],"services":[{"name":"engines","healthPath":
"/health","connectionLimit":160,"protocol":"h1","tls":false,"engine":{"slots":16,
"kvCacheTokens":104215,"models":[{"name":"m0"}]}}],"limits":{"maxHeaderBytes":16384,
"maxBodyBytes":33554432,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
J
platform models=9 event_ms=20 events=21 data_bytes=390
gates 2
start_gate 0
start_gate 1
start_orderers
await_ready 0 1
sleep 1

$TOOLS/lots submit "$RECORD" "${FRONT[1]}" lots.example /lots/ lot1 11 16 \
  || cannot "the job was not accepted"
$TOOLS/lots read "$RECORD" "${FRONT[1]}" lots.example lot1 30 \
  || cannot "the job was not done"
sleep 2

# Job calls come on new connections.  The platform sends none to a gate after two
# misses of the readiness check that it makes once a second, so all of these
# begin within 2 s of the SIGTERM.  The clients read 340 KB/s and wait for 2.5 s,
# 1.5 s longer than the 1,000 ms that they allow.
[ "$TROUBLE" != 0 ] && note "SIGTERM to gate-0" && kill -TERM "${PID[gate-0]}"
started=$(date +%s%3N)
clients=0
for at_ms in 600 900 1200 1500 1800; do
  now=$(($(date +%s%3N) - started))
  [ $now -lt $at_ms ] && sleep "$(printf '0.%03d' $(((at_ms - now) % 1000)))"
  $TOOLS/slow-reader "$RECORD" "${FRONT[0]}" lots.example GET \
    "/api/lots/lot1?after=0" "c$at_ms" 2500 34000 &
  PID[client-$clients]=$!
  clients=$((clients + 1))
done

broken=0
late=0
for ((i = 0; i < clients; i++)); do
  wait "${PID[client-$i]}"
  case $? in
    0) ;;
    1) broken=$((broken + 1)) ;;
    3) late=$((late + 1)) ;;
    *) cannot "a client had no answer" ;;
  esac
  unset "PID[client-$i]"
done
note "$broken of $clients answers were cut off, $late readers were too late"
[ $broken = 0 ] || exit 1
[ $late = 0 ] || exit 2
exit 0
