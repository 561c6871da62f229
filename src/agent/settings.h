/* Settings of an agent.  */
#ifndef WY_AGENT_SETTINGS_H
#define WY_AGENT_SETTINGS_H

#include "config/settings.h"

struct wy_agent_settings
{
  char *name;
  char *availability_zone;
  char *region;
  char *host;
  int64_t port;
  int64_t http_port;
  int64_t weights_port;
  char *ports_file;
  char *timeline;
  int64_t log_level;
  int64_t target_kind;
  char *target_name;
  char *target_host;
  int64_t target_port;
  bool target_checks_fence;
  char *weights_url;
  char *key_1;
  char *key_2;
  int64_t heartbeat_ms;
  int64_t silence_limit_ms;
  int64_t handshake_timeout_ms;
  int64_t send_limit_bytes;
  int64_t concurrency;
  int64_t shared_streams;
  int64_t kv_tokens;
  int64_t retained_bytes;
  int64_t retained_ms;
  int64_t orphan_grace_ms;
  int64_t drain_deadline_ms;
  int64_t clock_skew_ms;
  int64_t cold_window_ms;
  int64_t roster_trust_ms;
  int64_t remembered_ids;
  int64_t target_poll_ms;
  int64_t target_silence_ms;
  int64_t weights_cache_bytes;
};

enum wy_target_kind
{
  WY_TARGET_MODEL,
  WY_TARGET_SERVICE
};

#define WY_AGENT_SETTINGS_COUNT 36

extern const struct wy_setting
    wy_agent_settings_table[WY_AGENT_SETTINGS_COUNT];

#endif
