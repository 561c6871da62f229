#!/usr/bin/env bash
# Measures the slopes of docs/CAPACITY.md with the real daemons and small
# stand-ins on this machine: the cost of a role as a function of its load.
# Usage: run.sh BIN DIR OUT; writes OUT/points.tsv.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
BIN=$1
DIR=$2/run
POINTS=$3/points.tsv
WINDOW_S=${WINDOW_S:-5}
SETTLE_S=2
# Idle costs: wait until a yard whose rows have just changed polls at its slow
# rate, then measure over several heartbeats of an idle connection.
IDLE_SETTLE_S=${IDLE_SETTLE_S:-12}
IDLE_WINDOW_S=${IDLE_WINDOW_S:-24}
mkdir -p "$3"
: > "$POINTS"
# shellcheck source=scripts/slopes/lib.sh
. "$here/lib.sh"
trap stop_all EXIT

idle_window () { # DRIVER X; measures the entry e1 and the agent a1
  local reads writes
  sleep "$IDLE_SETTLE_S"
  reads=$(store_calls e1 read)
  writes=$(store_calls e1 txn)
  begin_measure e1
  begin_measure a1
  sleep "$IDLE_WINDOW_S"
  end_measure entry "$1" "$2" e1 "$IDLE_WINDOW_S"
  end_measure agent "$1" "$2" a1 "$IDLE_WINDOW_S"
  point entry "$1" table_reads_per_s "$2" \
    "$(awk -v a="$reads" -v b="$(store_calls e1 read)" -v s="$IDLE_WINDOW_S" \
      'BEGIN { print (b - a) / s }')"
  point entry "$1" table_writes_per_s "$2" \
    "$(awk -v a="$writes" -v b="$(store_calls e1 txn)" -v s="$IDLE_WINDOW_S" \
      'BEGIN { print (b - a) / s }')"
}

# An idle entry, by the number of targets that it is connected to.
by_targets () {
  local n i
  for n in 1 8 24 64; do
    base
    stand_in service target
    for i in $(seq "$n"); do
      agent "a$i" service s "$(port_of_stand_in target)"
    done
    publish_instances
    entry e1 'subset_size: 1000'
    apply "$(document '["a1"]')" e1
    idle_window targets "$n"
    stop_all
  done
}

# An idle agent, by the number of entries connected to it.
by_entries () {
  local n i
  for n in 1 4 8 16; do
    base
    stand_in service target
    agent a1 service s "$(port_of_stand_in target)"
    publish_instances
    for i in $(seq "$n"); do entry "e$i"; done
    apply "$(document '["a1"]')" e1
    idle_window entries "$n"
    stop_all
  done
}

# Configuration changes: one document of a fixed size, changed at a rate.
by_changes () {
  local n i
  base
  stand_in service target
  for i in 1 2 3 4; do agent "a$i" service s "$(port_of_stand_in target)"; done
  publish_instances
  entry e1
  apply "$(document '["a1"]')" e1
  for n in 0 1 2 4; do
    sleep $SETTLE_S
    begin_measure e1
    begin_measure a1
    writes=$(store_calls e1 txn)
    start_s=$(date +%s.%N)
    for i in $(seq $((n * WINDOW_S))); do
      apply "$(document '["a1"]' "$((i % 7))")" e1
      sleep "$(awk -v n="$n" 'BEGIN { print 0.9 / n }')"
    done
    [ "$n" -gt 0 ] || sleep "$WINDOW_S"
    took=$(awk -v a="$start_s" -v b="$(date +%s.%N)" 'BEGIN { print b - a }')
    rate=$(awk -v n="$((n * WINDOW_S))" -v s="$took" 'BEGIN { print n / s }')
    end_measure entry changes_per_s "$rate" e1 "$took"
    end_measure agent changes_per_s "$rate" a1 "$took"
    point entry changes_per_s table_writes_per_s "$rate" \
      "$(awk -v a="$writes" -v b="$(store_calls e1 txn)" -v s="$took" \
        'BEGIN { print (b - a) / s }')"
  done
  stop_all
}

# Requests answered by ENTRY_NAME so far.
answered () {
  curl -s "127.0.0.1:$(port_of "$1" http)/metrics" \
    | awk '/^wy_requests_answered_total / { print $2 }'
}

# Load from stand-in callers; X is the number of responses per second, times
# FACTOR.  Each setting is one word, KEY:_VALUE.
busy_window () { # DRIVER FACTOR [CALLERS_SETTING...]
  local driver=$1 factor=$2 before x
  shift 2
  set -- "${@//:_/: }"
  if [ $# -gt 0 ]; then
    stand_in callers callers "entries: [127.0.0.1:$(port_of e1 http)]" \
      'model: m' 'service: s' 'timeout_ms: 60000' "$@"
  fi
  sleep $SETTLE_S
  before=$(answered e1)
  begin_measure e1
  begin_measure a1
  sleep "$WINDOW_S"
  x=$(awk -v a="$before" -v b="$(answered e1)" -v s="$WINDOW_S" \
    -v f="$factor" 'BEGIN { print (b - a) / s * f }')
  end_measure entry "$driver" "$x" e1 "$WINDOW_S"
  end_measure agent "$driver" "$x" a1 "$WINDOW_S"
}

one_service () {
  base
  stand_in service target
  agent a1 service s "$(port_of_stand_in target)" 'concurrency: 256'
  publish_instances
  entry e1
  apply "$(document '["a1"]')" e1
}

one_engine () { # [ENGINE_SETTING...]
  base
  stand_in engine engine 'model: m' "weights: 127.0.0.1:$(port_of_stand_in \
weights)" 'batch_max: 1024' 'kv_total: 4000000' 'tokens_median: 100000' \
    'tail_share: 0' "$@"
  agent a1 model m "$(port_of_stand_in engine)" 'concurrency: 1024' \
    'shared_streams: 1024'
  publish_instances
  entry e1
  apply "$(document '[]')" e1
}

by_requests () {
  local n
  for n in 0 8 32 96; do
    one_service
    # shellcheck disable=SC2046
    busy_window requests_per_s 1 $([ "$n" -eq 0 ] || printf '%s ' \
      'whole:_0' 'stream:_0' "filings:_$n" 'think_ms:_50')
    stop_all
  done
}

by_tokens () {
  local n
  for n in 0 4 8 16; do
    one_engine 'token_base_us: 1000' 'token_per_stream_us: 10'
    # shellcheck disable=SC2046
    busy_window tokens_per_s 400 $([ "$n" -eq 0 ] || printf '%s ' \
      'whole:_0' "stream:_$n" 'filings:_0' 'think_ms:_1' 'max_tokens:_400')
    stop_all
  done
}

# Open streams with nearly no traffic.
by_streams () {
  local n
  for n in 0 32 96 192; do
    one_engine 'token_base_us: 2000000'
    if [ "$n" -gt 0 ]; then
      stand_in callers callers "entries: [127.0.0.1:$(port_of e1 http)]" \
        'model: m' 'service: s' 'timeout_ms: 600000' 'whole: 0' \
        "stream: $n" 'filings: 0' 'think_ms: 1' 'max_tokens: 400'
    fi
    sleep $SETTLE_S
    begin_measure e1
    begin_measure a1
    sleep "$WINDOW_S"
    end_measure entry streams_open "$n" e1 "$WINDOW_S"
    end_measure agent streams_open "$n" a1 "$WINDOW_S"
    stop_all
  done
}

# One step of a trainer from its submission to its acknowledgement.
by_samples () {
  local n reads writes ticks start_s
  for n in 64 256 1024 2048; do
    one_engine 'token_base_us: 100' 'token_per_stream_us: 1'
    sleep $SETTLE_S
    reads=$(store_calls e1 read)
    writes=$(store_calls e1 txn)
    ticks=$(account "$(pid_of e1)" | sed -n 1p)
    start_s=$(date +%s.%N)
    stand_in trainer trainer "entries: [127.0.0.1:$(port_of e1 http)]" \
      'token: trainer' 'yard: y' 'trainer: t' 'model: m' \
      "weights: 127.0.0.1:$(port_of_stand_in weights)" 'steps: 1' \
      'ahead: 0' "groups: $((n / 8))" 'samples: 8' 'max_tokens: 64' \
      'train_ms: 0'
    wait "$(pid_of trainer)" || true
    point sampler samples step_cpu_ms "$n" \
      "$(awk -v a="$ticks" -v b="$(account "$(pid_of e1)" | sed -n 1p)" \
        -v hz="$TICKS_PER_S" 'BEGIN { print (b - a) * 1000 / hz }')"
    point sampler samples rss_kb "$n" \
      "$(account "$(pid_of e1)" | sed -n 2p)"
    point sampler samples step_table_writes "$n" \
      "$(($(store_calls e1 txn) - writes))"
    point sampler samples step_table_reads "$n" \
      "$(($(store_calls e1 read) - reads))"
    point sampler samples step_s "$n" \
      "$(awk -v a="$start_s" -v b="$(date +%s.%N)" 'BEGIN { print b - a }')"
    stop_all
  done
}

# Weight versions: time from publishing to all of N agents, and its cost.
by_replicas () {
  local n i v start_s
  for n in 2 8 16 32; do
    base
    for i in $(seq "$n"); do
      stand_in engine "g$i" 'model: m' 'activate_ms: 100' \
        "weights: 127.0.0.1:$(port_of_stand_in weights)"
      agent "a$i" model m "$(port_of_stand_in "g$i")"
    done
    publish_instances
    entry e1 'subset_size: 1000'
    apply "$(document '[]')" e1
    sleep $SETTLE_S
    for v in 1 2; do
      curl -sf -o /dev/null -X POST -d '{"size_bytes":4194304}' \
        "127.0.0.1:$(port_of_stand_in weights)/weights/m/$v"
      start_s=$(date +%s.%N)
      curl -sf -o /dev/null -X POST -H 'Authorization: Bearer trainer' \
        -d "{\"version\":$v}" \
        "127.0.0.1:$(port_of e1 http)/v1/yards/y/weights"
      for i in $(seq 400); do
        [ "$("$BIN/wyctl" -e "127.0.0.1:$(port_of e1 http)" -t operator \
          --json status | jq "[.targets[] | select(.version == $v)] \
          | length")" -eq "$n" ] && break
        sleep 0.05
      done
    done
    point rollout replicas version_everywhere_s "$n" \
      "$(awk -v a="$start_s" -v b="$(date +%s.%N)" 'BEGIN { print b - a }')"
    stop_all
  done
}

# Filings whose results and identifiers the agent keeps.
by_retained () {
  local n
  for n in 0 2 5 10; do
    one_service
    sleep $SETTLE_S
    if [ "$n" -gt 0 ]; then
      stand_in callers callers "entries: [127.0.0.1:$(port_of e1 http)]" \
        'model: m' 'service: s' 'timeout_ms: 60000' 'whole: 0' 'stream: 0' \
        'filings: 48' 'think_ms: 10'
      sleep "$n"
      kill "$(pid_of callers)"
      wait "$(pid_of callers)" || true
    fi
    point agent results_retained rss_kb "$(answered e1)" \
      "$(account "$(pid_of a1)" | sed -n 2p)"
    stop_all
  done
}

# Weight versions published in a window: the cost of staging and swapping.
by_versions () {
  local n v
  for n in 0 1 2 4; do
    one_engine 'activate_ms: 100'
    sleep $SETTLE_S
    begin_measure e1
    begin_measure a1
    for v in $(seq "$n"); do
      curl -sf -o /dev/null -X POST -d '{"size_bytes":16777216}' \
        "127.0.0.1:$(port_of_stand_in weights)/weights/m/$v"
      curl -sf -o /dev/null -X POST -H 'Authorization: Bearer trainer' \
        -d "{\"version\":$v}" \
        "127.0.0.1:$(port_of e1 http)/v1/yards/y/weights"
      sleep 2
    done
    sleep $((2 * (4 - n) + 1))
    end_measure entry versions_per_9s "$n" e1 9
    end_measure agent versions_per_9s "$n" a1 9
    stop_all
  done
}

# One hop of the relay tree: time to read a part of a version from an agent
# that has it.
by_relay () {
  local n url
  one_engine 'activate_ms: 10'
  sleep $SETTLE_S
  curl -sf -o /dev/null -X POST -d '{"size_bytes":8388608}' \
    "127.0.0.1:$(port_of_stand_in weights)/weights/m/2"
  for n in 1 2 4 8; do
    url="127.0.0.1:$(port_of a1 weights)/weights/m/2?offset=0&size=$((n \
      * 1048576))"
    curl -sf -o /dev/null "$url"
    point agent part_mib hop_s "$n" \
      "$(curl -sf -o /dev/null -w '%{time_total}' "$url")"
  done
  stop_all
}

for part in ${PARTS:-targets entries changes requests tokens streams samples \
  replicas retained versions relay}; do
  echo "by_$part"
  "by_$part"
done
