/* Inside of the gate: all that it holds.  */
#ifndef WY_GATE_GATE_STATE_H
#define WY_GATE_GATE_STATE_H

#include "base/id.h"
#include "duties/calls.h"
#include "duties/scaler.h"
#include "gate/env.h"
#include "gate/gate.h"
#include "gate/members.h"
#include "h1/server.h"
#include "jobs/jobs.h"
#include "rows/watch.h"

enum
{
  WY_GATE_MB = 1 << 20,
  /* Share of the memory that bodies being read may take.  */
  WY_GATE_BODY_SHARE = 8,
  /* And that jobs may take.  */
  WY_GATE_JOBS_SHARE = 2,
  /* Label sets of a metric; a histogram takes 8 KB.  */
  WY_GATE_LABEL_SETS = 256,
  WY_GATE_HISTOGRAM_SETS = 24,
  /* Before a configuration is known; callers are refused then anyway.  */
  WY_GATE_START_HEADER_BYTES = 65536,
  WY_GATE_START_BODY_BYTES = 1 << 20,
  WY_GATE_START_HEADER_MS = 5000,
  WY_GATE_START_IDLE_MS = 60000
};

/* Values read when the metrics are asked for.  */
struct wy_gate_gauges
{
  int64_t *connections_open;
  int64_t *connections_idle;
  int64_t *connections_opened;
  int64_t *store_calls;
  int64_t *store_relayed;
  int64_t *store_direct;
  int64_t *jobs;
  int64_t *jobs_known;
  int64_t *entries;
  int64_t *entries_age_ms;
  int64_t *replicas_age_ms;
  int64_t *config_version;
  int64_t *log_dropped;
  int64_t *jobs_oldest_ms;
  int64_t *items_waiting;
  int64_t *items_scoring;
  int64_t *items_unlisted;
  int64_t *organisations;
  int64_t *keys;
  int64_t *duties_held;
  int64_t *usage_reported;
  int64_t *usage_late;
  int64_t *usage_missed;
  int64_t *usage_forced;
  int64_t *scale_orders;
  struct wy_metrics_family *store_ended; /* by verb and outcome */
  struct wy_metrics_family *table_calls; /* by table */
  struct wy_metrics_family *table_rows_read;
  struct wy_metrics_family *table_read_bytes;
  struct wy_metrics_family *table_written_bytes;
};

struct wy_gate
{
  struct wy_gate_env env;
  struct wy_gate_options o;
  char incarnation[WY_ID_SIZE_BYTES];
  char *holder;
  struct wy_metrics *metrics;
  struct wy_gate_gauges gauges;
  struct wy_members *members;
  struct wy_jobs *jobs;
  struct wy_election *duties; /* NULL: the platform expects none */
  struct wy_duty_calls *duty_calls;
  struct wy_scaler *scaler; /* NULL: nobody asks for it */
  struct wy_watch *operator_rows;
  struct wy_watch *replicas;
  struct wy_h1_server *callers;
  struct wy_h1_server *ready;
  struct wy_h1_server *peers;
  struct wy_h1_server *metrics_server;
  GArray *seeds; /* struct sockaddr_in */
  uv_timer_t tick;
  int64_t stop_asked_ms;
  bool was_ready;
  bool handed_over;
  bool stopped;
};

void wy_gate_on_caller (void *ctx, struct wy_h1_request *r);
int wy_gate_start_duties (struct wy_gate *g);
void wy_gate_stop_duties (struct wy_gate *g);
void wy_gate_free_duties (struct wy_gate *g);
void wy_gate_set_limits (struct wy_gate *g);
void wy_gate_set_relays (struct wy_gate *g);
void wy_gate_make_metrics (struct wy_gate *g);
void wy_gate_read_gauges (struct wy_gate *g);
void wy_gate_read_seeds (struct wy_gate *g, const struct wy_gate_settings *s);
void wy_gate_follow_store (struct wy_gate *g);

#endif
