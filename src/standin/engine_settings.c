/* Settings of the engine stand-in.  */
#include <stddef.h>

#include "standin/engine.h"

#define AT(field) offsetof (struct wy_engine_settings, field)

const struct wy_setting wy_engine_table[WY_ENGINE_SETTINGS] = {
  { "model", WY_SETTING_STRING, AT (model), NULL, 0, 0, NULL, NULL,
    "name of the model it serves" },
  { "weights", WY_SETTING_STRING, AT (weights), "", 0, 0, NULL, "host:port",
    "weight store; empty: versions need no fetching" },
  { "initial_version", WY_SETTING_INTEGER, AT (initial_version), "1", 0, 1e12,
    NULL, NULL, "version in force at the start; 0: none" },
  { "token_base_us", WY_SETTING_INTEGER, AT (token_base_us), "8000", 1, 1e7,
    NULL, "us", "time of a step with no stream" },
  { "token_per_stream_us", WY_SETTING_INTEGER, AT (token_per_stream_us), "250",
    0, 1e6, NULL, "us", "time that each running stream adds to a step" },
  { "prefill_token_us", WY_SETTING_INTEGER, AT (prefill_token_us), "100", 0,
    1e6, NULL, "us", "time of a prompt token that is not cached" },
  { "batch_max", WY_SETTING_INTEGER, AT (batch_max), "32", 1, 4096, NULL, NULL,
    "streams that run at once" },
  { "kv_total", WY_SETTING_INTEGER, AT (kv_total), "32768", 16, 1e8, NULL,
    "tokens", "KV memory" },
  { "time_scale", WY_SETTING_REAL, AT (time_scale), "1", 0.01, 1000, NULL,
    NULL, "2: twice as fast" },
  { "load_lag_ms", WY_SETTING_INTEGER, AT (load_lag_ms), "250", 1, 60000, NULL,
    "ms", "age that a load report reaches" },
  { "cache_lag_ms", WY_SETTING_INTEGER, AT (cache_lag_ms), "500", 0, 60000,
    NULL, "ms", "delay of cache events" },
  { "cache_gap_share", WY_SETTING_REAL, AT (cache_gap_share), "0.05", 0, 1,
    NULL, NULL, "share of cache events that are never told" },
  { "tokens_median", WY_SETTING_INTEGER, AT (tokens_median), "60", 1, 100000,
    NULL, "tokens", "median length of a completion" },
  { "tokens_sigma", WY_SETTING_REAL, AT (tokens_sigma), "0.5", 0, 5, NULL,
    NULL, "spread of the logarithm of the length" },
  { "tail_share", WY_SETTING_REAL, AT (tail_share), "0.01", 0, 1, NULL, NULL,
    "share of completions that are far longer" },
  { "tail_factor", WY_SETTING_INTEGER, AT (tail_factor), "20", 1, 1000, NULL,
    NULL, "how many times longer these are" },
  { "activate_ms", WY_SETTING_INTEGER, AT (activate_ms), "100", 0, 600000,
    NULL, "ms", "time that a swap of weights stalls the engine" },
  { "chunk_size_bytes", WY_SETTING_INTEGER, AT (chunk_size_bytes), "1048576",
    1, 8388608, NULL, "bytes", "bytes fetched at once when staging" },
  { "check_fence", WY_SETTING_BOOL, AT (check_fence), "true", 0, 0, NULL, NULL,
    "refuse orders with an old fencing number" },
};
