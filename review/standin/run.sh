# Plays one case: starts the stand-in, the gates and, for model replicas, the
# orderers, each as a process of its own.  The caller sets HERE, the folder of
# the case, and CASE.  Exits with the result of the stand-in.
set -u
ROOT=$(cd "$HERE/../.." && pwd)
DIR=$(mktemp -d)
PIDS=()
CALLERS=() READY=() PEERS=() METRICS=() TARGET=() SIDE_METRICS=()

cleanup() {
  local p
  for p in "${PIDS[@]}"; do
    kill -CONT "$p" 2>/dev/null
    kill -KILL "$p" 2>/dev/null
  done
  wait 2>/dev/null
  [ -f "$DIR/record.txt" ] && cp "$DIR/record.txt" "$HERE/record.txt"
  [ -n "${KEEP_LOGS:-}" ] && cp "$DIR"/*.log "$KEEP_LOGS"
  rm -rf "$DIR"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

cant_run() {
  echo "$*" >&2
  exit 2
}

[ -x "$ROOT/review/build/yard" ] || cant_run "review/build.sh was not run"
[ -x "$ROOT/target/bin/wygated" ] || cant_run "the deploy file's build was not run"
cd "$ROOT" || exit 2
review/build/yard "$CASE" "$DIR" &
YARD=$!
PIDS+=("$YARD")
for ((i = 0; i < 200; i++)); do
  [ -f "$DIR/ports" ] && break
  sleep 0.05
done
[ -f "$DIR/ports" ] || cant_run "the stand-in did not start"
. "$DIR/ports"

SEEDS=""
for ((i = 0; i < GATES; i++)); do
  SEEDS+="${SEEDS:+, }\"127.0.0.1:${PEERS[$i]}\""
done

# The settings of deploy/gate.yaml and deploy/orderer.yaml, with the bounds of
# the small installations.
for ((i = 0; i < GATES; i++)); do
  cat >"$DIR/gate-$i.yaml" <<Y
name: "front-$i"
availability_zone: "z$((i % 3))"
callers_address: "127.0.0.1:${CALLERS[$i]}"
ready_address: "127.0.0.1:${READY[$i]}"
peers_address: "127.0.0.1:${PEERS[$i]}"
metrics_address: "127.0.0.1:${METRICS[$i]}"
store_address: "127.0.0.1:$STORE"
seeds: [$SEEDS]
object_bytes: 8388608
row_bytes: 65536
memory_mb: 260
cpu_share: 0.5
keep_s: 120
grace_s: 8
replica_shares: demand
platform_address: ""
duties: []
lease_ms: 3000
Y
  target/bin/wygated --config "$DIR/gate-$i.yaml" >"$DIR/gate-$i.log" 2>&1 &
  PIDS+=($!)
done
for ((i = 0; i < ${#TARGET[@]}; i++)); do
  cat >"$DIR/side-$i.yaml" <<Y
name: "side-$i"
target_address: "127.0.0.1:${TARGET[$i]}"
service: "$SERVICE"
metrics_address: "127.0.0.1:${SIDE_METRICS[$i]}"
store_address: "127.0.0.1:$STORE"
seeds: [$SEEDS]
replica_shares: demand
Y
  target/bin/wyorderd --config "$DIR/side-$i.yaml" >"$DIR/side-$i.log" 2>&1 &
  PIDS+=($!)
done
touch "$DIR/started"
wait "$YARD"
RC=$?
# Anything but the stand-in's own verdict: the case could not run.
[ "$RC" -le 1 ] || RC=2
exit "$RC"
