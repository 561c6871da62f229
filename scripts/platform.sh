# Functions shared by the drivers that run gates against the stand-in of a
# platform: ports, settings, start.
# The caller sets BIN (programs) and OUT (files of this run).

declare -A PID=()
ENGINES=3
DESKS=3
TALKERS=3

cleanup() {
  local p
  for p in "${PID[@]}"; do
    kill -CONT "$p" 2>/dev/null
    kill -9 "$p" 2>/dev/null
  done
  wait 2>/dev/null
}

die() {
  echo "$0: $*" >&2
  exit 1
}

# Ports below the ephemeral range, in blocks.  A block is locked while a process
# of the run that took it lives, so concurrent runs never share a port.
PORTS_FROM=16000
PORT_BLOCKS=300
PORT_BLOCK=40
PORT_LOCKS=${TMPDIR:-/tmp}/waxwing-ports

# has_listener FIRST N: whether a process listens on one of these ports.  Closed
# connections that the kernel still lists don't prevent a process from listening.
has_listener() {
  awk -v first="$1" -v n="$2" '
    BEGIN {for (i = 0; i < n; i++) wanted[sprintf("%04X", first + i)] = 1}
    FNR > 1 && $4 == "0A" {split($2, a, ":"); if (a[2] in wanted) found = 1}
    END {exit !found}' /proc/net/tcp /proc/net/tcp6
}

# reserve_ports N SEED: sets PORT to N different ports, which are this run's until
# all its processes have ended.
reserve_ports() {
  local n=$1 seed=$2 i first fd
  [ "$n" -le $PORT_BLOCK ] || die "a run has at most $PORT_BLOCK ports"
  mkdir -p "$PORT_LOCKS"
  for ((i = 0; i < PORT_BLOCKS; i++)); do
    first=$((PORTS_FROM + (seed + i) % PORT_BLOCKS * PORT_BLOCK))
    exec {fd}>"$PORT_LOCKS/$first"
    if flock -n "$fd" && ! has_listener $first "$n"; then
      mapfile -t PORT < <(seq $first $((first + n - 1)))
      return 0
    fi
    exec {fd}>&-
  done
  die "no free block of ports"
}

# launch NAME PROGRAM [KIND]: run it on $OUT/NAME.yaml.
launch() {
  local name=$1
  shift
  "$BIN/$@" --config "$OUT/$name.yaml" >>"$OUT/$name.log" 2>&1 &
  PID[$name]=$!
}

# await FILE: wait until it has content.
await() {
  local i
  for i in $(seq 200); do
    [ -s "$1" ] && return 0
    sleep 0.02
  done
  die "$1 was not written"
}

# port_of NAME: the port on which the part NAME of the platform listens.
port_of() {
  awk -v n="$1" '$1 == n {print $2}' "$OUT/platform.ports.platform"
}

# gate_settings I CALLERS READY PEERS STORE SEED...
gate_settings() {
  local i=$1 seeds
  seeds=$(printf '"127.0.0.1:%s",' "${@:6}")
  cat >"$OUT/gate-$i.yaml" <<Y
name: gate-$i
availability_zone: z$i
callers_address: 127.0.0.1:$2
ready_address: 127.0.0.1:$3
peers_address: 127.0.0.1:$4
store_address: 127.0.0.1:$5
seeds: [${seeds%,}]
grace_s: ${GRACE_S:-6}
memory_mb: ${MEMORY_MB:-128}
platform_address: 127.0.0.1:$(port_of duties)
duties: ["usage_report", "scaling"]
usage_window_s: 1
usage_late_s: 8
lease_ms: 1500
Y
}

# orderer_settings I TARGET STORE SEED: beside engine I, listed at TARGET.
orderer_settings() {
  cat >"$OUT/orderer-$1.yaml" <<Y
name: orderer-$1
target_address: 127.0.0.1:$2
service: engines
store_address: 127.0.0.1:$3
seeds: ["127.0.0.1:$4"]
Y
}

# platform_ends: wait until the stand-in ends; returns its exit code.
platform_ends() {
  local i rc
  for i in $(seq 600); do
    kill -0 "${PID[platform]}" 2>/dev/null || break
    sleep 0.1
  done
  kill -0 "${PID[platform]}" 2>/dev/null && die "the platform did not end"
  wait "${PID[platform]}"
  rc=$?
  unset "PID[platform]"
  [ -s "$OUT/report.json" ] || die "no report, see $OUT/platform.log"
  return $rc
}
