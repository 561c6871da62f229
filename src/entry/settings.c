/* Settings of an entry, with reasons for the defaults.  */
#include "entry/settings.h"

#include "entry/state.h"

static const char *const log_levels[]
    = { "error", "warn", "info", "debug", NULL };

#define TEXT(...) WY_STRING_ROW (struct wy_entry_settings, __VA_ARGS__)
#define NUMBER(...) WY_INTEGER_ROW (struct wy_entry_settings, __VA_ARGS__)

const struct wy_setting wy_entry_settings_table[] = {
  TEXT (name, NULL, "name of this process"),
  TEXT (availability_zone, NULL, "availability zone of this instance"),
  TEXT (region, "", "region of this instance"),
  TEXT (host, "127.0.0.1", "IP number to listen on"),
  NUMBER (port, "0", 0, 65535, NULL, "port of HTTP; 0: any free one"),
  TEXT (ports_file, "", "file to write the line `http PORT` to"),
  TEXT (timeline, "", "file of the timeline; empty: only in memory"),
  { "log_level", WY_SETTING_CHOICE,
    offsetof (struct wy_entry_settings, log_level), "info", 0, 0, log_levels,
    NULL, "lowest level logged" },
  TEXT (table, "", "host:port of the table service"),
  TEXT (objects, "", "host:port of the object store"),
  TEXT (list, NULL, "host:port of the instance list"),
  TEXT (key_1, NULL, "shared key, NUMBER:SECRET, proved to others"),
  TEXT (key_2, "", "second shared key, accepted as well"),
  TEXT (operator_token, "", "bearer token of operators; empty: none"),
  TEXT (trainer_token, "", "bearer token of trainers; empty: none"),
  /* Four heartbeats fit into the silence limit, so that one delayed loop
     iteration at either end does not close a working connection.  */
  NUMBER (heartbeat_ms, "250", 10, 60000, "ms",
          "time between two heartbeats to a target"),
  NUMBER (silence_limit_ms, "1000", 50, 600000, "ms",
          "a connection that was silent for so long is closed"),
  NUMBER (handshake_timeout_ms, "2000", 50, 60000, "ms",
          "time for a connection to prove its key"),
  /* A request with its headers has to fit into one frame.  */
  NUMBER (body_limit_bytes, "4194304", 1024, 15728640, "bytes",
          "largest request body"),
  NUMBER (header_limit, "64", 8, WY_ENTRY_HEADERS_MAX, NULL,
          "most headers of a request"),
  NUMBER (connection_limit, "4096", 1, 1000000, NULL,
          "most connections of callers at once, within three quarters of the"
          " descriptors; a further one takes the place of the one that is"
          " missed least, or waits"),
  NUMBER (memory_mb, "4096", 16, 1 << 20, "MB",
          "memory of the process; callers' connections, unread responses and"
          " bodies may take half of it less 15 MB, bodies an eighth"),
  NUMBER (descriptors, "0", 0, 1 << 24, NULL,
          "descriptors of the process; 0: as many as the system allows"),
  NUMBER (request_limit, "20000", 1, 1000000, NULL,
          "most requests in progress at once"),
  NUMBER (request_timeout_ms, "10000", 100, 600000, "ms",
          "time for a caller to send a whole request"),
  NUMBER (default_deadline_ms, "30000", 100, 3600000, "ms",
          "deadline of a request that names none"),
  /* Long enough for two redials of a target whose connection went silent,
     short enough that waiting for a failed target takes no longer than a slow
     response.  */
  NUMBER (resume_limit_ms, "1500", 50, 600000, "ms",
          "a target away for so long loses its requests"),
  NUMBER (subset_size, "24", 1, 4096, NULL,
          "targets of a model or service this entry is connected to"),
  NUMBER (list_poll_ms, "1000", 50, 600000, "ms",
          "time between two reads of the instance list"),
  NUMBER (drain_deadline_ms, "30000", 0, 3600000, "ms",
          "longest wait for requests in progress when stopping"),
  NUMBER (attempt_limit, "3", 1, 16, NULL,
          "targets tried for one idempotent request"),
  NUMBER (retry_percent, "10", 1, 100, "%", "retries per 100 first attempts"),
  NUMBER (retry_burst, "50", 1, 100000, NULL, "retries that may be saved up"),
  /* Non-idempotent requests must be served during an outage of the store,
     for which the known members are trusted this long; a change of members
     takes effect only after the same time.  */
  NUMBER (roster_trust_ms, "4500000", 1000, 86400000, "ms",
          "time that changed members of a service take to count"),
};

const size_t wy_entry_settings_count = G_N_ELEMENTS (wy_entry_settings_table);
