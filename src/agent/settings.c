/* Table of an agent's settings, with the reasons for the defaults.  */
#include "agent/settings.h"

static const char *const log_levels[]
    = { "error", "warn", "info", "debug", NULL };
static const char *const target_kinds[] = { "model", "service", NULL };

#define TEXT(...) WY_STRING_ROW (struct wy_agent_settings, __VA_ARGS__)
#define NUMBER(...) WY_INTEGER_ROW (struct wy_agent_settings, __VA_ARGS__)

const struct wy_setting wy_agent_settings_table[] = {
  TEXT (name, NULL, "identifier of the target, as in the instance list"),
  TEXT (availability_zone, NULL, "availability zone of this instance"),
  TEXT (region, "", "region of this instance"),
  TEXT (host, "127.0.0.1", "IP number to listen on"),
  NUMBER (port, "0", 0, 65535, NULL,
          "port that entries connect to; 0: any free one"),
  NUMBER (http_port, "0", 0, 65535, NULL,
          "port of metrics and health; 0: any free one"),
  NUMBER (weights_port, "0", 0, 65535, NULL,
          "port that relays weights; 0: any free one"),
  TEXT (ports_file, "",
        "file to write the lines `inner PORT`, `http PORT`, `weights PORT` "
        "to"),
  TEXT (timeline, "", "file of the timeline; empty: only in memory"),
  { "log_level", WY_SETTING_CHOICE,
    offsetof (struct wy_agent_settings, log_level), "info", 0, 0, log_levels,
    NULL, "lowest level logged" },
  { "target_kind", WY_SETTING_CHOICE,
    offsetof (struct wy_agent_settings, target_kind), NULL, 0, 0, target_kinds,
    NULL, "what the target is" },
  TEXT (target_name, NULL, "model or service that the target serves"),
  TEXT (target_host, "127.0.0.1", "IP number of the target"),
  NUMBER (target_port, NULL, 1, 65535, NULL, "port of the target"),
  { "target_checks_fence", WY_SETTING_BOOL,
    offsetof (struct wy_agent_settings, target_checks_fence), "false", 0, 0,
    NULL, NULL, "whether the engine refuses old fencing numbers itself" },
  TEXT (weights_url, "", "host:port of the weight store"),
  TEXT (key_1, NULL, "shared key, NUMBER:SECRET, proved to others"),
  TEXT (key_2, "", "second shared key, accepted as well"),
  /* Same as for entries: four heartbeats fit into the silence limit.  */
  NUMBER (heartbeat_ms, "250", 10, 60000, "ms",
          "time between two heartbeats to an entry"),
  NUMBER (silence_limit_ms, "1000", 50, 600000, "ms",
          "a connection silent for so long is closed"),
  NUMBER (handshake_timeout_ms, "1000", 50, 600000, "ms",
          "time an entry has to prove its key"),
  /* An entry that reads too slowly is disconnected, and resumes.  Results are
     sent in chunks far below the limit, so only a peer that has stopped
     reading reaches it.  */
  NUMBER (send_limit_bytes, "8388608", 1048576, 1e9, "bytes",
          "unsent bytes held for one entry before it is cut"),
  NUMBER (concurrency, "0", 0, 4096, NULL,
          "requests that run at once; 0: 64 of a model, 16 of a service"),
  NUMBER (shared_streams, "0", 0, 4096, NULL,
          "the same while callers wait; 0: as the queue's own default"),
  NUMBER (kv_tokens, "0", 0, 4e9, "tokens",
          "KV memory of the engine; 0: what it reports"),
  /* Results of one minute at 1 MB/s while all entries are down.  */
  NUMBER (retained_bytes, "67108864", 65536, 1e11, "bytes",
          "results kept until acknowledged; new work is refused above"),
  NUMBER (retained_ms, "300000", 100, 86400000, "ms",
          "a result that nobody asked for is kept so long"),
  /* Longer than an entry takes to reconnect, and short enough not to waste
     much engine time.  */
  NUMBER (orphan_grace_ms, "10000", 50, 3600000, "ms",
          "an idempotent request that no entry asks for ends after this"),
  NUMBER (drain_deadline_ms, "60000", 0, 3600000, "ms",
          "longest time a stop waits for requests in progress"),
  NUMBER (clock_skew_ms, "500", 1, 60000, "ms",
          "largest difference between the clocks of two instances"),
  NUMBER (cold_window_ms, "900000", 0, 86400000, "ms",
          "so long after its start keys without issue time are unknown"),
  /* One hour of store outage, and 15 minutes to learn of its end.  */
  NUMBER (roster_trust_ms, "4500000", 1000, 86400000, "ms",
          "so long after it was confirmed the list of members is trusted"),
  NUMBER (remembered_ids, "131072", 16, 1e8, NULL,
          "identifiers of non-idempotent requests kept in memory"),
  NUMBER (target_poll_ms, "100", 10, 60000, "ms",
          "time between two looks at the target"),
  NUMBER (target_silence_ms, "30000", 100, 3600000, "ms",
          "a run that brings nothing for so long counts as crashed"),
  NUMBER (weights_cache_bytes, "67108864", 0, 1e11, "bytes",
          "weights kept for the target and for other agents"),
};

_Static_assert(sizeof wy_agent_settings_table / sizeof *wy_agent_settings_table
                   == WY_AGENT_SETTINGS_COUNT,
               "count of the settings");
