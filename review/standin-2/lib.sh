# What the scripts of the cases share: starting the stand-in of the platform,
# gates and orderers on loopback with free ports, and ending them all.
# The caller sets CASE, the folder of the case, and then calls begin.

cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
TOOLS=target/review-2
BIN=${BIN:-target/bin}
declare -A PID=()
RECORD=$CASE/record.txt

begin() {
  OUT=$(mktemp -d) || exit 2
  trap finish EXIT
  : >"$RECORD"
  [ -x "$BIN/wygated" ] && [ -x "$BIN/wyorderd" ] \
    && [ -x $TOOLS/platform ] || cannot "the programs are not built"
}

cannot() {
  echo "could not run: $*" | tee -a "$RECORD"
  exit 2
}

# Ends what this shell has started and what still runs.
finish() {
  local p
  for p in $(jobs -pr) $(jobs -ps); do
    kill -KILL "$p" 2>/dev/null
  done
  wait 2>/dev/null
  [ -z "${KEEP:-}" ] && rm -rf "$OUT"
}

note() {
  echo "$(awk '{printf "%d", $1 * 1000}' /proc/uptime) script: $*" >>"$RECORD"
}

# platform KEY=VALUE...: starts the platform with the config in $OUT/config.json.
platform() {
  $TOOLS/platform record="$RECORD" ports="$OUT/ports" config="$OUT/config.json" \
    "$@" 2>"$OUT/platform.err" &
  PID[platform]=$!
  local i
  for i in $(seq 100); do
    grep -q '^end' "$OUT/ports" 2>/dev/null && break
    sleep 0.05
  done
  grep -q '^end' "$OUT/ports" 2>/dev/null || cannot "the platform did not start"
  STORE=$(awk '$1 == "store" {print $2}' "$OUT/ports")
}

# gates N: settings of N gates, gate-0 and on, as deploy/gate.yaml gives them.
gates() {
  local n=$1 i seeds=
  mapfile -t PORTS < <($TOOLS/ports $((n * 4)))
  for ((i = 0; i < n && i < 3; i++)); do
    seeds+="${seeds:+, }\"127.0.0.1:${PORTS[i * 4 + 2]}\""
  done
  for ((i = 0; i < n; i++)); do
    FRONT[i]=${PORTS[i * 4]}
    READY[i]=${PORTS[i * 4 + 1]}
    cat >"$OUT/gate-$i.yaml" <<Y
name: "gate-$i"
availability_zone: "z$i"
callers_address: "127.0.0.1:${PORTS[i * 4]}"
ready_address: "127.0.0.1:${PORTS[i * 4 + 1]}"
peers_address: "127.0.0.1:${PORTS[i * 4 + 2]}"
metrics_address: "127.0.0.1:${PORTS[i * 4 + 3]}"
store_address: "127.0.0.1:${STORE_OF[i]:-$STORE}"
seeds: [$seeds]
object_bytes: 8388608
row_bytes: 65536
memory_mb: 280
descriptors: 8200
cpu_share: 0.5
keep_s: 120
grace_s: 8
replica_shares: demand
platform_address: ""
duties: []
Y
  done
}

# start_gate I
start_gate() {
  "$BIN/wygated" --config "$OUT/gate-$1.yaml" >>"$OUT/gate-$1.log" 2>&1 &
  PID[gate-$1]=$!
}

# start_orderer I ADDRESS-PORT SERVICE
start_orderer() {
  cat >"$OUT/orderer-$1.yaml" <<Y
name: "side-$1"
target_address: "127.0.0.1:$2"
service: "$3"
metrics_address: "127.0.0.1:$($TOOLS/ports 1)"
store_address: "127.0.0.1:$STORE"
seeds: ["127.0.0.1:${PORTS[2]}"]
replica_shares: demand
Y
  "$BIN/wyorderd" --config "$OUT/orderer-$1.yaml" >>"$OUT/orderer-$1.log" 2>&1 &
  PID[orderer-$1]=$!
}

# start_orderers: one beside each model replica.
start_orderers() {
  local id port i=0
  while read -r id port; do
    [[ $id == i-engine* ]] || continue
    start_orderer $i "$port" engines
    i=$((i + 1))
  done <"$OUT/ports"
}

# is_ready I
is_ready() {
  local status
  exec 9<>"/dev/tcp/127.0.0.1/${READY[$1]}" || return 1
  printf 'GET /api/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n' >&9
  read -r _ status _ <&9
  exec 9>&- 9<&-
  [ "$status" = 200 ]
}

# await_ready I...
await_ready() {
  local i k
  for i in "$@"; do
    for k in $(seq 200); do
      is_ready "$i" 2>/dev/null && continue 2
      sleep 0.05
    done
    cannot "gate-$i is not ready"
  done
}
