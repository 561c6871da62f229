# Start daemons and stand-ins for the slopes, and read their resource usage from
# /proc.  Sourced by run.sh, which sets BIN and DIR.

PIDS=
INSTANCES=
TICKS_PER_S=$(getconf CLK_TCK)

# Wait for a file that a process writes when it is ready.
wait_for () {
  local n
  for n in $(seq 200); do
    [ -s "$1" ] && return
    sleep 0.05
  done
  echo "$1 was not written within 10 s" >&2
  exit 1
}

port_of () { # NAME KIND
  awk -v kind="$2" '$1 == kind { print $2 }' "$DIR/$1.ports"
}

start () { # PROGRAM NAME: settings are in DIR/NAME.yaml
  # shellcheck disable=SC2086
  $BIN/$1 --config "$DIR/$2.yaml" 2> "$DIR/$2.log" &
  echo $! > "$DIR/$2.pid"
  PIDS="$PIDS $!"
  wait_for "$DIR/$2.ports"
}

pid_of () { cat "$DIR/$1.pid"; }

stand_in () { # KIND NAME [SETTING...]
  local kind=$1 name=$2
  shift 2
  {
    echo "name: $name"
    echo "ports_file: $DIR/$name.ports"
    [ $# -eq 0 ] || printf '%s\n' "$@"
  } > "$DIR/$name.yaml"
  start "wystandin $kind" "$name"
}

port_of_stand_in () { awk '{ print $2; exit }' "$DIR/$1.ports"; }

agent () { # NAME model|service SERVED TARGET_PORT [SETTING...]
  local name=$1 kind=$2 served=$3 target=$4
  shift 4
  {
    echo "name: $name"
    echo "availability_zone: z1"
    echo "ports_file: $DIR/$name.ports"
    echo "target_kind: $kind"
    echo "target_name: $served"
    echo "target_port: $target"
    echo "weights_url: 127.0.0.1:$(port_of_stand_in weights)"
    echo "key_1: 1:secret"
    [ $# -eq 0 ] || printf '%s\n' "$@"
  } > "$DIR/$name.yaml"
  start wyagentd "$name"
  INSTANCES="$INSTANCES,{\"id\":\"$name\",\"role\":\"agent\",\"host\":\
\"127.0.0.1\",\"port\":$(port_of "$name" inner),\"availability_zone\":\"z1\",\
\"region\":\"r\",\"state\":\"live\",\"serves\":\"$served\",\"kind\":\"$kind\"}"
}

publish_instances () {
  curl -sf -o /dev/null -X POST -d "{\"instances\":[${INSTANCES#,}]}" \
    "127.0.0.1:$(port_of_stand_in list)/control/instances"
}

entry () { # NAME [SETTING...]
  local name=$1
  shift
  {
    echo "name: $name"
    echo "availability_zone: z1"
    echo "ports_file: $DIR/$name.ports"
    echo "table: 127.0.0.1:$(port_of_stand_in table)"
    echo "objects: 127.0.0.1:$(port_of_stand_in table)"
    echo "list: 127.0.0.1:$(port_of_stand_in list)"
    echo "key_1: 1:secret"
    echo "operator_token: operator"
    echo "trainer_token: trainer"
    [ $# -eq 0 ] || printf '%s\n' "$@"
  } > "$DIR/$name.yaml"
  start wyentryd "$name"
}

base () { # start the outside systems with empty state
  PIDS=
  INSTANCES=
  rm -rf "$DIR"
  mkdir -p "$DIR"
  stand_in table table 'reads_per_s: 0' 'writes_per_s: 0'
  stand_in weights weights
  stand_in scoring scoring
  stand_in list list
}

stop_all () {
  local p
  for p in $PIDS; do kill "$p" 2> /dev/null || true; done
  for p in $PIDS; do wait "$p" 2> /dev/null || true; done
  PIDS=
}

document () { # SERVICE_MEMBERS_JSON [PADDING_MODELS]: a minimal document
  jq -nc --argjson members "$1" --arg scoring \
    "127.0.0.1:$(port_of_stand_in scoring)" --argjson extra "${2:-0}" '
    {models: ([{name: "m"}] + [range($extra) | {name: "m\(.)"}]),
     services: [{name: "s", members: $members, previous: [], effective_ms: 0}],
     yards: [{name: "y", model: "m", weighs: "idle", staleness_bound: 4,
              scoring: $scoring, trainers: [{name: "t", worth: 1}]}],
     drained: [], unblocked: []}'
}

apply () { # DOCUMENT ENTRY_NAME
  local digest
  printf '%s' "$1" > "$DIR/document.json"
  digest=$("$BIN/wyctl" -e "127.0.0.1:$(port_of "$2" http)" -t operator \
    --json plan "$DIR/document.json" | jq -r .digest)
  "$BIN/wyctl" -e "127.0.0.1:$(port_of "$2" http)" -t operator --json \
    apply "$DIR/document.json" --digest "$digest" > /dev/null
}

# CPU ticks, resident kB, bytes read and written by system calls
account () { # PID
  awk '{ print $14 + $15 }' "/proc/$1/stat"
  awk '/^VmRSS/ { print $2 }' "/proc/$1/status"
  awk '/^rchar|^wchar/ { n += $2 } END { print n }' "/proc/$1/io"
}

# begin_measure and end_measure write one point per measure for the process NAME
# over SECONDS.
begin_measure () { # NAME
  account "$(pid_of "$1")" | tr '\n' ' ' > "$DIR/$1.before"
}

end_measure () { # ROLE DRIVER X NAME SECONDS
  # shellcheck disable=SC2046
  set -- "$@" $(cat "$DIR/$4.before") $(account "$(pid_of "$4")")
  point "$1" "$2" cpu_ms_per_s "$3" \
    "$(awk -v a="$6" -v b="$9" -v s="$5" -v hz="$TICKS_PER_S" \
      'BEGIN { print (b - a) * 1000 / hz / s }')"
  point "$1" "$2" rss_kb "$3" "${10}"
  point "$1" "$2" bytes_per_s "$3" \
    "$(awk -v a="$8" -v b="${11}" -v s="$5" 'BEGIN { print (b - a) / s }')"
}

point () { # ROLE DRIVER MEASURE X Y
  printf '%s\t%s\t%s\t%s\t%s\n' "$@" >> "$POINTS"
}

# Sum of the store calls of ENTRY_NAME by KIND (read or txn).
store_calls () {
  curl -s "127.0.0.1:$(port_of "$1" http)/metrics" \
    | awk -v kind="kind=\"$2\"" '/^wy_store_calls_total/ && index($0, kind) \
      { n += $2 } END { print n + 0 }'
}
