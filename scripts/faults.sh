#!/usr/bin/env bash
# Runs the yard under a seeded mix of faults, several at once, and reports
# whether every invariant held.  Usage: faults.sh BIN OUTDIR SEED SECONDS
set -u
BIN=$1
OUT=$2
SEED=$3
LAST_MS=$(($4 * 1000))
HERE=$(dirname "$0")
SCALE=4
STEPS=0
BEGAN_US=${EPOCHREALTIME/./}
FAULTS_MAX=3   # at once; with more, no part of the yard may be working
SETTLE_S=4     # after the last fault, so that open requests can complete

rm -rf "$OUT"
mkdir -p "$OUT/run"
. "$HERE/lib.sh"
. "$HERE/yard.sh"
. "$HERE/report.sh"
trap cleanup EXIT
RANDOM=$SEED

# Active faults: name -> time in ms of the load at which the fault ends, and its
# kind, which selects the function that ends it.
declare -A ENDS=() HOW=()

load_ms() {
  echo $(((${EPOCHREALTIME/./} - LOAD_US) / 1000))
}

# pick NAME...: set PICKED to one of them at random.
pick() {
  local names=("$@")
  PICKED=${names[$((RANDOM % $#))]}
}

# The processes that may get a fault, by the driver's names.
hit_list() {
  echo "${ENGINES[@]}" "${ENGINES[@]/#/agent-}" "${PORTALS[@]}" \
    "${PORTALS[@]/#/agent-}" "${ENTRIES[@]}"
}

hit_kill() {
  mark fault.injected kill "${1#agent-}"
  kill -9 "${PID[$1]}"
  wait "${PID[$1]}" 2>/dev/null
}

end_kill() {
  relaunch "$1"
  ready "$1"
  mark fault.cleared kill "${1#agent-}"
}

hit_pause() {
  mark fault.injected pause "${1#agent-}"
  kill -STOP "${PID[$1]}"
}

end_pause() {
  kill -CONT "${PID[$1]}"
  mark fault.cleared pause "${1#agent-}"
}

hit_control() {
  mark fault.injected "$(jq -r .fault <<<"$2")" "$1"
  fault "$1" "$2"
}

end_control() {
  fault "$1" '{"fault":"none"}'
  mark fault.cleared control "$1"
}

# begin HOW NAME MS [FAULT]
begin() {
  [ -z "${ENDS[$2]:-}" ] || return 0
  say "$1 $2 for $3 ms ${4:-}"
  ENDS[$2]=$(($(load_ms) + $3))
  HOW[$2]=$1
  "hit_$1" "$2" "${4:-}"
}

inject() {
  local ms=$((500 + RANDOM % 3500)) kind=$((RANDOM % 12))
  case $kind in
  0 | 1 | 2)
    pick $(hit_list)
    begin kill "$PICKED" $ms
    ;;
  3 | 4)
    pick $(hit_list)
    begin pause "$PICKED" $ms
    ;;
  5) begin control table-1 $ms '{"fault":"down","value":"refuse"}' ;;
  6) begin control table-1 $ms '{"fault":"slow","value":400}' ;;
  7) begin control table-1 $ms '{"fault":"lose_answer","value":0.5}' ;;
  8) begin control list-1 $ms '{"fault":"slow","value":3000}' ;;
  9)
    pick "${ENGINES[@]}"
    begin control "$PICKED" $ms '{"fault":"fail_load","value":2}'
    ;;
  10)
    pick "${ENGINES[@]}" "${PORTALS[@]}"
    begin control "$PICKED" $ms '{"fault":"slow","value":60}'
    ;;
  11)
    pick "${PORTALS[@]}"
    begin control "$PICKED" $ms '{"fault":"lose_answer","value":0.5}'
    ;;
  esac
}

end_due() {
  local name now
  now=$(load_ms)
  for name in "${!ENDS[@]}"; do
    if [ "$1" = all ] || [ "$now" -ge "${ENDS[$name]}" ]; then
      unset "ENDS[$name]"
      "end_${HOW[$name]}" "$name"
    fi
  done
}

say "starting the yard, seed $SEED"
start_yard
start_load
LOAD_US=${EPOCHREALTIME/./}
next_ms=1000
while now=$(load_ms) && [ "$now" -lt "$LAST_MS" ]; do
  end_due due
  if [ "$now" -ge $next_ms ] && [ ${#ENDS[@]} -lt $FAULTS_MAX ]; then
    inject
    next_ms=$((now + 200 + RANDOM % 1200))
  fi
  sleep 0.05
done
end_due all
say "faults are over"
sleep $SETTLE_S
stop_yard
judge
rc=$?
print_report
exit $rc
