# Writes the tables of docs/CAPACITY.md from bench/slopes.tsv.
# With -v want=broken it writes only the rows that do not fit.
# The planned size, from the users' requirements, is defined here only.
BEGIN {
  FS = "\t"
  entries = 330; replicas = 3200; requests = 5800; tokens = 1500000
  trainers = 12; samples = 2048; step_s = 18 * 60; version_s = 300
  spread_s = 6; changes_day = 12000; in_force_s = 8; day_s = 86400
  failures = 19; replaced = 330; zones = 7; regions = 2
  cpu_limit = 11          # ms per second: 1.1 % of a core
  rss_limit = 128 * 1024  # kB
  bytes_limit = 4096      # per second
  reads_limit = 2000; writes_limit = 300
  names = 2               # models and services an entry serves
  subset = 24             # targets of each that it is connected to
  full_pace = 16          # entries that may poll at the full rate
  list_bytes = 1000       # per second, at most, for the instance list
}
/^#/ { next }
{ a[$1, $2, $3] = $5; b[$1, $2, $3] = $6; r[$1, $2, $3] = $7 }
function at (role, driver, measure, x) {
  if (!((role, driver, measure) in b)) {
    print "capacity.awk: no slope " role " " driver " " measure > "/dev/stderr"
    exit_code = 1
    exit 1
  }
  return a[role, driver, measure] + b[role, driver, measure] * x
}
function per (role, driver, measure) {
  at (role, driver, measure, 0)
  return b[role, driver, measure]
}
function pos (x) { return x > 0 ? x : 0 }
function verdict (x, limit) { return x <= limit ? "fits" : "**does not fit**" }
function row (what, arithmetic, x, unit, limit, mechanism) {
  body = body sprintf("| %s | %s | %.4g %s | %.4g %s | %s, x%.2g | %s |\n",
         what, arithmetic, x, unit, limit, unit, verdict(x, limit),
         (x > 0 ? limit / x : 99), mechanism)
  if (x > limit)
    broken = broken sprintf("| %s, %s | %.4g %s | %.4g %s |\n", part, what, x,
                            unit, limit, unit)
}
function head (title) {
  part = title
  body = body "\n## " title "\n\n| what | arithmetic | result | limit | " \
         "verdict, margin | mechanism |\n|---|---|---|---|---|---|\n"
}
END {
  if (exit_code) exit exit_code
  conns = names * subset
  per_agent = entries * conns / replicas
  changes = changes_day / day_s

  head("Control of one entry (a node)")
  row("processor, idle", sprintf("%.3g + %.3g x %d targets",
      a["entry", "targets", "cpu_ms_per_s"],
      pos(per("entry", "targets", "cpu_ms_per_s")), conns),
      a["entry", "targets", "cpu_ms_per_s"] \
      + pos(per("entry", "targets", "cpu_ms_per_s")) * conns, "ms/s",
      cpu_limit, "`src/inner/heartbeat.c`: the pace follows the use")
  row("processor, configuration", sprintf("%.3g ms x %.3g changes/s",
      pos(per("entry", "changes_per_s", "cpu_ms_per_s")), changes),
      pos(per("entry", "changes_per_s", "cpu_ms_per_s")) * changes, "ms/s",
      cpu_limit, "`src/config/feed.c`")
  row("memory", sprintf("%.0f + %.3g x %d targets",
      a["entry", "targets", "rss_kb"], pos(per("entry", "targets", "rss_kb")),
      conns), a["entry", "targets", "rss_kb"] \
      + pos(per("entry", "targets", "rss_kb")) * conns, "kB", rss_limit,
      "`src/entry/subset.c`: connections to a subset")
  row("bytes, heartbeats", sprintf("%.3g x %d targets",
      pos(per("entry", "targets", "bytes_per_s")), conns),
      pos(per("entry", "targets", "bytes_per_s")) * conns, "B/s", bytes_limit,
      "`src/inner/heartbeat.c`")
  row("bytes, configuration", sprintf("%.4g B x %.3g changes/s x %d / 4 " \
      "targets measured", pos(per("entry", "changes_per_s", "bytes_per_s")),
      changes, conns),
      pos(per("entry", "changes_per_s", "bytes_per_s")) * changes * conns / 4,
      "B/s", bytes_limit, "`src/entry/peers.c`: CONFIG frames")
  row("bytes, all but configuration", sprintf("%.4g, one sampler and rollout " \
      "held, + %.3g x %d targets", a["entry", "targets", "bytes_per_s"],
      pos(per("entry", "targets", "bytes_per_s")), conns),
      a["entry", "targets", "bytes_per_s"] \
      + pos(per("entry", "targets", "bytes_per_s")) * conns, "B/s",
      bytes_limit, "`src/yard/poll_interval.c`, `src/store/client.c`")
  row("bytes, instance list", "paced to the budget", list_bytes, "B/s",
      bytes_limit, "`src/entry/instance_list.c`: by tag, else paced")

  head("Control of one agent (a node)")
  row("processor, idle", sprintf("%.3g + %.3g x %.3g entries",
      a["agent", "entries", "cpu_ms_per_s"],
      pos(per("agent", "entries", "cpu_ms_per_s")), per_agent),
      a["agent", "entries", "cpu_ms_per_s"] \
      + pos(per("agent", "entries", "cpu_ms_per_s")) * per_agent, "ms/s",
      cpu_limit, "`src/inner/heartbeat.c`")
  row("memory", sprintf("%.0f + %.3g x %.3g entries",
      a["agent", "entries", "rss_kb"], pos(per("agent", "entries", "rss_kb")),
      per_agent), a["agent", "entries", "rss_kb"] \
      + pos(per("agent", "entries", "rss_kb")) * per_agent, "kB", rss_limit,
      "`src/agent/run.c`, bounded by retained_bytes")
  row("bytes, heartbeats", sprintf("%.3g x %.3g entries",
      pos(per("agent", "entries", "bytes_per_s")), per_agent),
      pos(per("agent", "entries", "bytes_per_s")) * per_agent, "B/s",
      bytes_limit, "`src/inner/heartbeat.c`")

  row("memory, results of filings kept", sprintf("%.0f + %.3g kB x 100/s x " \
      "300 s", a["agent", "results_retained", "rss_kb"],
      per("agent", "results_retained", "rss_kb")),
      at("agent", "results_retained", "rss_kb", 30000), "kB", rss_limit,
      "`src/agent/run.c`: bounded by retained_bytes and retained_ms")
  row("memory, parts of weights kept for relaying", "weights_cache_bytes, " \
      "its default", 65536, "kB", rss_limit,
      "`src/agent/weight_relay.c`: oldest parts give way")

  head("Data path")
  row("entry, requests", sprintf("%.3g ms x %d/s / %d entries",
      per("entry", "requests_per_s", "cpu_ms_per_s"), requests, entries),
      per("entry", "requests_per_s", "cpu_ms_per_s") * requests / entries,
      "ms/s", 500, "`src/entry/dispatch.c`")
  row("entry, tokens", sprintf("%.3g ms x %d/s / %d entries",
      per("entry", "tokens_per_s", "cpu_ms_per_s"), tokens, entries),
      per("entry", "tokens_per_s", "cpu_ms_per_s") * tokens / entries, "ms/s",
      500, "`src/entry/run.c`: chunks pass through")
  row("agent, tokens", sprintf("%.3g ms x %d/s / %d agents",
      per("agent", "tokens_per_s", "cpu_ms_per_s"), tokens, replicas),
      per("agent", "tokens_per_s", "cpu_ms_per_s") * tokens / replicas, "ms/s",
      500, "`src/agent/run_model.c`")
  row("entry, memory of open streams", sprintf("%.3g kB x %d/s x 20 s / %d",
      per("entry", "streams_open", "rss_kb"), requests, entries),
      a["entry", "streams_open", "rss_kb"] \
      + per("entry", "streams_open", "rss_kb") * requests * 20 / entries, "kB",
      rss_limit, "`src/entry/request.c`")

  head("Sampler of one trainer (lease `sampler/YARD/TRAINER`)")
  row("processor of a step", sprintf("%.3g + %.3g x %d samples",
      a["sampler", "samples", "step_cpu_ms"],
      per("sampler", "samples", "step_cpu_ms"), samples),
      at("sampler", "samples", "step_cpu_ms", samples), "ms",
      step_s * 1000 * 0.1, "`src/yard/sampling.c`")
  row("time of a step, engines not counted", sprintf("%.3g + %.3g x %d",
      a["sampler", "samples", "step_s"], per("sampler", "samples", "step_s"),
      samples), at("sampler", "samples", "step_s", samples), "s", step_s,
      "`src/yard/step_job.c`, `src/decide/steps.c`")
  row("memory of a step", sprintf("%.0f + %.3g x %d",
      a["sampler", "samples", "rss_kb"], per("sampler", "samples", "rss_kb"),
      samples), at("sampler", "samples", "rss_kb", samples), "kB", rss_limit,
      "`src/yard/sampling.c`")

  head("Weight rollout (lease `rollout/MODEL`)")
  row("version on all, measured part", sprintf("%.3g + %.3g x 32 replicas",
      a["rollout", "replicas", "version_everywhere_s"],
      per("rollout", "replicas", "version_everywhere_s")),
      at("rollout", "replicas", "version_everywhere_s", 32), "s", spread_s,
      "`src/yard/rollout.c`, `src/decide/waves.c`")
  row("the same line carried to all", sprintf("%.3g + %.3g x %d replicas",
      a["rollout", "replicas", "version_everywhere_s"],
      per("rollout", "replicas", "version_everywhere_s"), replicas),
      at("rollout", "replicas", "version_everywhere_s", replicas), "s",
      spread_s, "one holder gives each order itself")
  row("holder's heartbeats", sprintf("%.3g B/s x %d targets",
      pos(per("entry", "targets", "bytes_per_s")), replicas),
      pos(per("entry", "targets", "bytes_per_s")) * replicas, "B/s",
      bytes_limit, "`src/entry/orderer.c`: the holder connects to all")

  head("Table service")
  reads_idle = at("entry", "targets", "table_reads_per_s", conns)
  writes_idle = at("entry", "targets", "table_writes_per_s", conns)
  config_reads = full_pace
  suspect_reads = entries
  lease_reads = full_pace * 2 * trainers
  change_reads = changes * entries
  sampler_reads = trainers * reads_idle
  row("reads, ordinary day", sprintf("suspects %d + configuration %d + " \
      "leases %d + changes %.3g + samplers %d x %.3g", suspect_reads,
      config_reads, lease_reads, change_reads, trainers, reads_idle),
      suspect_reads + config_reads + lease_reads + change_reads \
      + sampler_reads, "reads/s", reads_limit,
      "`wy_store_poll_interval_ms` in `src/store/client.c`")
  step_writes = at("sampler", "samples", "step_table_writes", samples)
  row("writes, ordinary day", sprintf("leases %d x %.3g + steps %d x %.3g / " \
      "%d s + changes 2 x %.3g", trainers, writes_idle, trainers, step_writes,
      step_s, changes), trainers * writes_idle \
      + trainers * step_writes / step_s + 2 * changes, "writes/s",
      writes_limit, "`src/lease/lease.c`, `src/yard/batch_commit.c`")
  row("reads, one zone lost", sprintf("as above, and its %d leases of %d " \
      "taken anew", int(2 * trainers / zones) + 1, 2 * trainers),
      suspect_reads + config_reads + 2 * lease_reads + change_reads \
      + sampler_reads, "reads/s", reads_limit, "`src/lease/state.c`")
  row("reads, the minute after an outage", sprintf("every poller at once: " \
      "%d x 3 rows over 5 s of jitter, and one probe each", entries),
      entries * 3 / 5 + entries, "reads/s", reads_limit,
      "`src/store/circuit_breaker.c`: one probe at a time, jitter")

  head("Weight fan-out")
  fan = 3; roots = 2; hops = 0; reach = roots; last = roots
  while (reach < replicas) { last *= fan; reach += last; hops++ }
  row("hops of the relay tree", sprintf("%d roots, fan-out %d", roots, fan),
      hops, "hops", 8, "`src/decide/waves.c`: wy_relay_parent")
  hop = per("agent", "part_mib", "hop_s")
  row("a GiB to all, parts passed on as they come", sprintf("%d children x " \
      "1024 MiB x %.3g s + %d hops x 8 MiB x %.3g s", fan, hop, hops, hop),
      fan * 1024 * hop + hops * 8 * hop, "s", version_s,
      "`src/agent/weight_relay.c`: parts of 8 MiB, loopback speed")
  row("bytes of a link, a GiB", "once", 1, "GiB", 1,
      "each agent reads from one source")
  row("children served by an agent", "fan-out", fan, "children", 4,
      "a parent that dies or fails is passed over, its children read the store")

  if (want == "broken") {
    print "| what | result | limit |\n|---|---|---|"
    printf "%s", broken ? broken : "| nothing in the tables below | | |\n"
  } else
    printf "%s", body
}
