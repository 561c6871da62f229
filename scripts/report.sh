# Checks and report of a run of the yard.  Sourced after lib.sh.

# judge: merge the timelines, check them and the callers' own reports; writes
# report.json.  Returns 1 when an invariant was violated.
judge() {
  local broken=() errors
  cat "$RUN"/*.jsonl >"$OUT/timeline.jsonl"
  "$BIN/wyctl" check "$OUT/timeline.jsonl" >"$OUT/check.txt" 2>&1 \
    || broken+=("timeline: $(tail -n 1 "$OUT/check.txt")")
  jq -c 'select(.ev == "service.executed") | .key' "$OUT/timeline.jsonl" \
    | jq -s 'group_by(.) | map({key: .[0], value: length}) | from_entries' \
      >"$RUN/executed.json"
  # A filing with a response was executed once, one rejected as "not run" never,
  # and none twice.
  errors=$(jq -r --slurpfile x "$RUN/executed.json" '
    ($x[0]) as $n
    | [(.filings | to_entries[]
        | select((.value == "answered" and $n[.key] != 1)
                 or (.value == "no" and ($n[.key] // 0) != 0))
        | "filing \(.key): \(.value), executed \($n[.key] // 0) times"),
       ($n | to_entries[] | select(.value > 1)
        | "filing \(.key) executed \(.value) times"),
       (if .spliced > 0 then "\(.spliced) spliced streams" else empty end),
       (if .duplicates > 0 then "\(.duplicates) responses to filings report a second execution" else empty end)]
    | .[]' "$RUN/callers.json") || broken+=("callers wrote no report")
  [ -z "$errors" ] || broken+=("callers' report: $errors")
  jq -e '.duplicates == 0 and .staleness_max <= .staleness_bound' \
    "$RUN/trainer.json" >/dev/null || broken+=("trainer's report: duplicate samples, or staleness above the bound")
  [ -z "${STOP_FAILED:-}" ] || broken+=("did not stop cleanly:$STOP_FAILED")
  printf '%s\n' "${broken[@]}" | jq -R . | jq -s 'map(select(. != ""))' \
    >"$RUN/broken.json"
  jq -s 'map(select(.kind) | {at_ms: ((.hlc / 65536) | floor), event: .ev, kind, target})' \
    "$RUN/driver.jsonl" >"$RUN/faults.json" 2>/dev/null || echo '[]' >"$RUN/faults.json"
  jq -n --slurpfile c "$RUN/callers.json" --slurpfile t "$RUN/trainer.json" \
    --slurpfile f "$RUN/faults.json" --slurpfile b "$RUN/broken.json" \
    --arg check "$(tail -n 1 "$OUT/check.txt")" --arg wall_s "$(elapsed)" \
    --arg timeline "$OUT/timeline.jsonl" --argjson seed "$SEED" \
    '{wall_s: ($wall_s | tonumber), seed: $seed, yards: $t,
      callers: ($c[0] | del(.filings)), faults: $f[0], check: $check,
      broken: $b[0], timeline: $timeline}' >"$OUT/report.json" || return 1
  [ ${#broken[@]} -eq 0 ]
}

print_report() {
  jq -r '
    def row: "  \(.n) answered  p50 \(.p50_ms) ms  p99 \(.p99_ms) ms  rejected, not run \(.refused_not_run)  unknown \(.unknown)  failed \(.failed)";
    "",
    (.yards[] | "yard \(.yard)  trainer \(.trainer)",
      "  steps \(.steps)  samples \(.samples)  duplicates \(.duplicates)  steps lost \(.steps_lost)  newest version \(.version)",
      "  staleness mean \(.staleness_mean * 100 | round / 100)  max \(.staleness_max)  bound \(.staleness_bound)  trainer idle \(.idle_share * 100 | round) %"),
    "callers",
    "  completions, single  \(.callers.whole | row)",
    "  completions, streamed\(.callers.stream | row)",
    "  filings              \(.callers.filing | row)",
    "  sent again \(.callers.resent)  rejections before the outcome \(.callers.refusals)  streams interrupted \(.callers.cut)  spliced \(.callers.spliced)",
    "faults",
    (.faults[] | "  \(.at_ms / 1000 | floor | strftime("%H:%M:%S"))  \(.event) \(.kind) \(.target)"),
    "check: \(.check)",
    (if .broken == [] then "all invariants hold" else "VIOLATED: " + (.broken | join("\n  ")) end),
    "timeline: \(.timeline)   wall time \(.wall_s) s"' "$OUT/report.json"
}
