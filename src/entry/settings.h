/* Settings of an entry.  */
#ifndef WY_ENTRY_SETTINGS_H
#define WY_ENTRY_SETTINGS_H

#include <stddef.h>
#include <stdint.h>

#include "config/settings.h"

struct wy_entry_settings
{
  char *name;
  char *availability_zone;
  char *region;
  char *host;
  int64_t port;
  char *ports_file;
  char *timeline;
  int64_t log_level;
  char *table;
  char *objects;
  char *list;
  char *key_1;
  char *key_2;
  char *operator_token;
  char *trainer_token;
  int64_t heartbeat_ms;
  int64_t silence_limit_ms;
  int64_t handshake_timeout_ms;
  int64_t body_limit_bytes;
  int64_t header_limit;
  int64_t connection_limit;
  int64_t memory_mb;
  int64_t descriptors; /* 0: as many as the system allows */
  int64_t request_limit;
  int64_t request_timeout_ms;
  int64_t default_deadline_ms;
  int64_t resume_limit_ms;
  int64_t subset_size;
  int64_t list_poll_ms;
  int64_t drain_deadline_ms;
  int64_t attempt_limit;
  int64_t retry_percent;
  int64_t retry_burst;
  int64_t roster_trust_ms;
};

extern const struct wy_setting wy_entry_settings_table[];
extern const size_t wy_entry_settings_count;

#endif
