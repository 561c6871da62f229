# The yard that the drivers run: 3 availability zones, 2 entries,
# 9 engines and 3 portal services with their agents, table, weight store,
# scoring, instance list, a trainer and callers.  Sourced after lib.sh.

ZONES=(Richmond Surrey Langley)
ENGINES=(engine-{1..9})
PORTALS=(portal-{1..3})
ENTRIES=(entry-1 entry-2)

zone_of() {
  echo "${ZONES[$((${1##*-} % 3))]}"
}

start_platform() {
  settings table-1
  launch table-1 wystandin table
  settings list-1 lag_ms 500
  launch list-1 wystandin list
  settings weights-1 rate_bytes_per_s 200000000
  launch weights-1 wystandin weights
  settings scoring-1 fail_share 0.02
  launch scoring-1 wystandin scoring
  ready table-1 list-1 weights-1 scoring-1
  TABLE=127.0.0.1:$(port table-1 http)
  LIST=127.0.0.1:$(port list-1 http)
  WEIGHTS=127.0.0.1:$(port weights-1 http)
  SCORING=127.0.0.1:$(port scoring-1 http)
  curl -sS -o /dev/null -d '{"size_bytes":4194304}' \
    "$WEIGHTS/weights/settlement-pattern/1"
}

start_targets() {
  local t
  for t in "${ENGINES[@]}"; do
    settings "$t" availability_zone "$(zone_of "$t")" \
      model settlement-pattern weights "$WEIGHTS" time_scale "$SCALE" \
      seed "$SEED" check_fence "$([ "${t##*-}" -le 5 ] && echo true || echo false)"
    launch "$t" wystandin engine
  done
  for t in "${PORTALS[@]}"; do
    settings "$t" availability_zone "$(zone_of "$t")" service_time_ms 20
    launch "$t" wystandin service
  done
  ready "${ENGINES[@]}" "${PORTALS[@]}"
}

# In the driver the agent of a target has the name of the target with the
# prefix "agent-"; for the service it has the target's own name.
start_agents() {
  local t kind name fence
  for t in "${ENGINES[@]}" "${PORTALS[@]}"; do
    case $t in
    engine-*) kind=model name=settlement-pattern ;;
    *) kind=service name=portal ;;
    esac
    fence=false
    case $t in engine-[1-5]) fence=true ;; esac
    settings "agent-$t" availability_zone "$(zone_of "$t")" region Fraser \
      target_kind $kind target_name $name target_port "$(port "$t" http)" \
      target_checks_fence $fence weights_url "$WEIGHTS" key_1 "$KEY" \
      orphan_grace_ms 3000
    sed -i "s/^name: .*/name: $t/" "$RUN/agent-$t.yaml"
    launch "agent-$t" wyagentd
  done
  ready "${ENGINES[@]/#/agent-}" "${PORTALS[@]/#/agent-}"
}

# update_list [TARGET...]: write the instance list; the targets named are leaving.
update_list() {
  local t leaving=" $* " state
  {
    for t in "${ENGINES[@]}" "${PORTALS[@]}"; do
      state=live
      case $leaving in *" $t "*) state=leaving ;; esac
      printf '{"id":"%s","role":"agent","host":"127.0.0.1","port":%d,"availability_zone":"%s","region":"Fraser","state":"%s",' \
        "$t" "$(port "agent-$t" inner)" "$(zone_of "$t")" $state
      case $t in
      engine-*) echo '"kind":"model","serves":"settlement-pattern"}' ;;
      *) echo '"kind":"service","serves":"portal"}' ;;
      esac
    done
    for t in "${ENTRIES[@]}"; do
      [ -s "$RUN/$t.ports" ] || continue
      printf '{"id":"%s","role":"entry","host":"127.0.0.1","port":%d,"availability_zone":"%s","region":"Fraser","state":"live","kind":"service","serves":""}\n' \
        "$t" "$(port "$t" http)" "$(zone_of "$t")"
    done
  } | jq -s '{instances: .}' \
    | curl -sS -o /dev/null -d @- "$LIST/control/instances"
}

start_entries() {
  local t
  update_list
  for t in "${ENTRIES[@]}"; do
    settings "$t" availability_zone "$(zone_of "$t")" region Fraser \
      table "$TABLE" objects "$TABLE" list "$LIST" key_1 "$KEY" \
      operator_token $OPERATOR trainer_token $TRAINER
    launch "$t" wyentryd
  done
  ready "${ENTRIES[@]}"
  update_list
  E1=127.0.0.1:$(port entry-1 http)
  E2=127.0.0.1:$(port entry-2 http)
}

# Plan and apply the configuration.
configure() {
  local digest
  cat >"$RUN/document.json" <<DOC
{"models": [{"name": "settlement-pattern"}],
 "services": [{"name": "portal", "members": ["portal-1", "portal-2", "portal-3"],
               "previous": [], "effective_ms": 0}],
 "yards": [{"name": "claims-survey", "model": "settlement-pattern",
            "weighs": "staleness", "staleness_bound": 1, "scoring": "$SCORING",
            "trainers": [{"name": "levels", "worth": 1.0}]}],
 "drained": [], "unblocked": []}
DOC
  digest=$("$BIN/wyctl" -e "$E1" -t $OPERATOR --json plan "$RUN/document.json" \
    | jq -r .digest) || return 1
  "$BIN/wyctl" -e "$E1" -t $OPERATOR --json apply "$RUN/document.json" \
    --digest "$digest" >"$RUN/apply.json"
}

# Wait until each entry serves a completion and a portal call.
await_serving() {
  local e tries=0
  for e in "$E1" "$E2"; do
    until curl -sS -m 5 -o /dev/null -f "$e/services/portal/echo" \
      && curl -sS -m 5 -o /dev/null -f -d \
        '{"model":"settlement-pattern","prompt":"hello","max_tokens":2}' \
        "$e/v1/completions"; do
      tries=$((tries + 1))
      [ $tries -lt 100 ] || die "$e does not serve requests, see $RUN/driver.log"
      sleep 0.1
    done 2>>"$RUN/driver.log"
  done
}

start_load() {
  settings callers-1 entries "[\"$E1\", \"$E2\"]" model settlement-pattern \
    service portal report "$RUN/callers.json" seed "$SEED" \
    timeout_ms 5000 whole 6 stream 6 filings 6 think_ms 150
  launch callers-1 wystandin callers
  settings trainer-1 entries "[\"$E1\", \"$E2\"]" token $TRAINER \
    yard claims-survey trainer levels model settlement-pattern \
    weights "$WEIGHTS" report "$RUN/trainer.json" steps "$STEPS" \
    train_ms 1500 groups 6 samples 4 max_tokens 400 max_staleness 1
  launch trainer-1 wystandin trainer
}

start_yard() {
  event process.start ',"role":"driver","availability_zone":""'
  start_platform
  start_targets
  start_agents
  start_entries
  configure || die "the configuration could not be applied"
  await_serving
  # A target that has just received the members can't tell whether a
  # non-idempotent request was run before, and rejects it as unknown.
  sleep 1
}

stop_yard() {
  stop callers-1
  [ -z "${PID[trainer-1]:-}" ] || stop trainer-1
  stop "${ENTRIES[@]}"
  stop "${ENGINES[@]/#/agent-}" "${PORTALS[@]/#/agent-}"
  stop "${ENGINES[@]}" "${PORTALS[@]}" table-1 list-1 weights-1 scoring-1
  event process.stop ',"cut":0'
}
