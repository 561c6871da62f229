#!/usr/bin/env bash
# Runs a yard on loopback with one engine killed and one table outage, and
# reports whether every invariant held.  Usage: demo.sh BIN OUTDIR
set -u
BIN=$1
OUT=$2
HERE=$(dirname "$0")
SEED=${SEED:-1}
SCALE=${SCALE:-4}
STEPS=${STEPS:-6}
BEGAN_US=${EPOCHREALTIME/./}
LOAD_MAX_S=40

rm -rf "$OUT"
mkdir -p "$OUT/run"
. "$HERE/lib.sh"
. "$HERE/yard.sh"
. "$HERE/report.sh"
trap cleanup EXIT

# progress: one line about the state of the run, on a terminal only.
progress() {
  [ -t 1 ] || return 0
  printf '\r%5.1f s  answered %d  steps trained %d \r' "$(elapsed)" \
    "$(grep -c request.answered "$RUN"/entry-*.jsonl | awk -F: '{n += $2} END {print n}')" \
    "$(grep -c trainer.trained "$RUN/trainer-1.jsonl")"
}

# load_ms: milliseconds since the load was started.
load_ms() {
  echo $(((${EPOCHREALTIME/./} - LOAD_US) / 1000))
}

say "starting the yard"
start_yard
say "yard is up: ${#ENTRIES[@]} entries, ${#ENGINES[@]} engines, ${#PORTALS[@]} portals"
start_load
LOAD_US=${EPOCHREALTIME/./}
done_kill=0 done_restart=0 done_outage=0 done_back=0
while kill -0 "${PID[trainer-1]}" 2>/dev/null; do
  now=$(load_ms)
  [ "$now" -lt $((LOAD_MAX_S * 1000)) ] || break
  if [ $done_kill = 0 ] && [ "$now" -gt 3000 ]; then
    done_kill=1
    mark fault.injected kill engine-3
    kill -9 "${PID[engine-3]}"
    wait "${PID[engine-3]}" 2>/dev/null
    say "engine-3 killed"
  elif [ $done_restart = 0 ] && [ "$now" -gt 6000 ]; then
    done_restart=1
    relaunch engine-3
    ready engine-3
    mark fault.cleared kill engine-3
    say "engine-3 started again"
  elif [ $done_outage = 0 ] && [ "$now" -gt 8000 ]; then
    done_outage=1
    mark fault.injected down table-1
    fault table-1 '{"fault":"down","value":"refuse"}'
    say "table service down"
  elif [ $done_back = 0 ] && [ "$now" -gt 11000 ]; then
    done_back=1
    fault table-1 '{"fault":"none"}'
    mark fault.cleared down table-1
    say "table service back"
  fi
  progress
  sleep 0.1
done
say "stopping"
stop_yard
judge
rc=$?
print_report
[ $done_back = 1 ] || { echo "the run ended before all faults were injected" >&2; rc=1; }
jq -e '.yards[0].steps >= 3 and .yards[0].version >= 3' "$OUT/report.json" \
  >/dev/null || { echo "fewer than 3 steps or versions" >&2; rc=1; }
exit $rc
