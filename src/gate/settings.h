/* Settings of wygated.  */
#ifndef WY_GATE_SETTINGS_H
#define WY_GATE_SETTINGS_H

#include "config/settings.h"

struct wy_gate_settings
{
  char *name;
  char *availability_zone;
  char *callers;    /* IP:PORT of the callers' interface */
  char *ready;      /* IP:PORT of the readiness check */
  char *peers;      /* IP:PORT for other processes of the system */
  char *metrics;    /* IP:PORT; "": not served */
  char *store;      /* IP:PORT */
  GPtrArray *seeds; /* char *, IP:PORT of other entries */
  int64_t object_bytes;
  int64_t row_bytes;
  int64_t memory_mb;
  int64_t descriptors;        /* 0: as many as the system allows */
  int64_t caller_connections; /* 0: a share of the descriptors */
  int64_t unread_response_bytes;
  int64_t requests_per_turn;
  double reader_timeout_s;
  double keep_s;
  double cpu_share;
  double grace_s;
  char *platform;    /* IP:PORT that takes the duties' calls; "": none */
  GPtrArray *duties; /* char *, names of the duties */
  double usage_window_s;
  double usage_late_s;
  int64_t lease_ms;
  int64_t replica_shares; /* enum wy_replica_shares_mode */
};

extern const struct wy_setting wy_gate_settings_table[];
extern const size_t wy_gate_settings_count;

#endif
