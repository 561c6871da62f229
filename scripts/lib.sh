# Functions shared by the drivers of the yard: start, stop and control processes.
# The caller sets BIN (programs) and OUT (files of this run).

declare -A PID=() KIND=()
RUN=$OUT/run
KEY=1:demo-key-of-loopback
OPERATOR=demo-operator
TRAINER=demo-trainer

# say TEXT...: print one line of progress with the time since the start.
say() {
  printf '%5.1f s  %s\n' "$(elapsed)" "$*"
}

elapsed() {
  local now=${EPOCHREALTIME/./}
  local ms=$(((now - BEGAN_US) / 1000))
  printf '%d.%d' $((ms / 1000)) $((ms % 1000 / 100))
}

die() {
  echo "$0: $*" >&2
  exit 1
}

# launch NAME PROGRAM [KIND]: run it on $RUN/NAME.yaml.
launch() {
  local name=$1 program=$2 kind=${3:-}
  rm -f "$RUN/$name.ports"
  "$BIN/$program" $kind --config "$RUN/$name.yaml" 2>>"$RUN/$name.log" &
  PID[$name]=$!
  KIND[$name]="$program $kind"
}

# relaunch NAME: restart a process that has ended, on the same ports.
relaunch() {
  local name=$1 key port
  while read -r key port; do
    case $key in
    http) case ${KIND[$name]} in
      wyagentd*) key=http_port ;;
      *) key=port ;;
      esac ;;
    inner) key=port ;;
    weights) key=weights_port ;;
    esac
    sed -i "/^$key:/d" "$RUN/$name.yaml"
    echo "$key: $port" >>"$RUN/$name.yaml"
  done <"$RUN/$name.ports"
  launch "$name" ${KIND[$name]}
}

# settings NAME KEY VALUE ...: write $RUN/NAME.yaml.
settings() {
  local name=$1
  shift
  {
    echo "name: $name"
    echo "ports_file: $RUN/$name.ports"
    echo "timeline: $RUN/$name.jsonl"
    while [ $# -gt 1 ]; do
      echo "$1: $2"
      shift 2
    done
  } >"$RUN/$name.yaml"
}

# ready NAME...: wait until each has written its ports.
ready() {
  local name tries
  for name in "$@"; do
    tries=0
    until [ -s "$RUN/$name.ports" ]; do
      kill -0 "${PID[$name]}" 2>/dev/null \
        || die "$name did not start, see $RUN/$name.log"
      tries=$((tries + 1))
      [ $tries -lt 500 ] || die "$name wrote no ports"
      sleep 0.02
    done
  done
}

# port NAME KEY: a port that NAME has written.
port() {
  sed -n "s/^$2 //p" "$RUN/$1.ports"
}

# fault NAME JSON: set a fault of a stand-in.
fault() {
  curl -sS -m 5 -o /dev/null -d "$2" "127.0.0.1:$(port "$1" http)/fault"
}

# event EV FIELDS: write one event of the driver itself to its timeline.
event() {
  EVENT_SEQ=$((${EVENT_SEQ:-0} + 1))
  printf '{"hlc":%d,"proc":"driver","inc":"%s","seq":%d,"ev":"%s"%s}\n' \
    $((${EPOCHREALTIME/./} / 1000 << 16)) "$BEGAN_US" "$EVENT_SEQ" "$1" \
    "$2" >>"$RUN/driver.jsonl"
}

# mark EVENT KIND TARGET: record the start or end of a fault in the timeline.
mark() {
  event "$1" ",\"kind\":\"$2\",\"target\":\"$3\""
}

# stop NAME...: send SIGTERM and wait for all of them; a process that does not
# end within 20 s is killed and counts as failed.
stop() {
  local name rc
  for name in "$@"; do
    kill "${PID[$name]}" 2>/dev/null
  done
  for name in "$@"; do
    wait_pid "${PID[$name]}" "$name" || STOP_FAILED="${STOP_FAILED:-} $name"
    unset "PID[$name]"
  done
}

wait_pid() {
  local tries=0
  while kill -0 "$1" 2>/dev/null; do
    tries=$((tries + 1))
    if [ $tries -gt 400 ]; then
      kill -9 "$1"
      return 1
    fi
    sleep 0.05
  done
  wait "$1"
}

cleanup() {
  local name
  for name in "${!PID[@]}"; do
    kill -9 "${PID[$name]}" 2>/dev/null
  done
  wait 2>/dev/null
}
