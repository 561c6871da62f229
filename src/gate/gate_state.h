/* Internal state of the gate.  */
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
#include "platform/request_wire.h"
#include "rows/watch.h"

enum
{
  WY_GATE_MB = 1 << 20,
  /* The memory limit divided by this is the limit of buffered bodies.  */
  WY_GATE_BODY_MEMORY_DIVISOR = 8,
  /* The same for jobs.  */
  WY_GATE_JOBS_MEMORY_DIVISOR = 2,
  /* Label sets per metric.  A histogram takes 8 KB.  */
  WY_GATE_LABEL_SETS_MAX = 256,
  WY_GATE_HISTOGRAM_SETS_MAX = 24,
  /* Limits until a configuration is known; until then callers' requests are
     rejected anyway.  */
  WY_GATE_INITIAL_HEADER_BYTES = 65536,
  WY_GATE_INITIAL_BODY_BYTES = 1 << 20,
  WY_GATE_INITIAL_HEADER_TIMEOUT_MS = 5000,
  WY_GATE_INITIAL_IDLE_TIMEOUT_MS = 60000
};

struct wy_gate_memory_gauges
{
  int64_t *bytes[WY_MEMORY_CLASSES];
  int64_t *budget;
  int64_t *peak;
  int64_t *level;
  int64_t *levels_raised;
  int64_t *paused;
  int64_t *rejections;
  int64_t *sheds;
};

struct wy_gate_client_gauges
{
  int64_t *open; /* connections of callers */
  int64_t *yields[WY_H1_YIELD_REASONS];
  int64_t *unread_pauses;
  int64_t *turns_cut;
  int64_t *accepts_deferred;
  int64_t *places_passed;
  int64_t *accepts_failed;
};

/* Values updated whenever the metrics are requested.  */
struct wy_gate_gauges
{
  int64_t *connections_open;
  int64_t *connections_idle;
  int64_t *connections_opened;
  int64_t *store_calls;
  int64_t *store_relayed;
  int64_t *store_direct;
  int64_t *jobs;
  int64_t *jobs_known; /* whether all jobs of the store are known */
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
  struct wy_gate_memory_gauges memory;
  struct wy_gate_client_gauges clients;
  struct wy_metrics_family *store_calls_ended; /* by verb and outcome */
  struct wy_metrics_family *need;              /* by service and model */
  struct wy_metrics_family *share;
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
  struct wy_election *election; /* NULL: the platform expects no duties */
  struct wy_duty_calls *duty_calls;
  struct wy_scaler *scaler; /* NULL: scaling is not among the duties */
  struct wy_watch *operator_watch;
  struct wy_watch *replica_watch;
  struct wy_h1_overload *overload; /* of the four servers */
  struct wy_h1_server *caller_server;
  struct wy_h1_server *ready_server;
  struct wy_h1_server *peer_server;
  struct wy_h1_server *metrics_server;
  GArray *seeds; /* struct sockaddr_in */
  uv_timer_t tick;
  enum wy_memory_level logged_memory_level;
  int64_t stop_requested_ms; /* 0: not requested */
  bool was_ready;
  bool has_left; /* marked as leaving; other entries take over its jobs */
  bool stopped;
};

void wy_gate_check_stop (struct wy_gate *g);
bool wy_gate_refuse_at_stop (struct wy_gate *g, struct wy_h1_request *r,
                             const struct wy_request_info *info,
                             const struct wy_route *route,
                             const struct wy_job_call *call);
void wy_gate_on_request (void *ctx, struct wy_h1_request *r);
uint32_t wy_gate_on_no_memory (void *ctx, const struct wy_h1_request *r);
int wy_gate_start_duties (struct wy_gate *g);
void wy_gate_stop_duties (struct wy_gate *g);
void wy_gate_free_duties (struct wy_gate *g);
bool wy_gate_may_reject_body (void *ctx, const struct wy_h1_request *r);
void wy_gate_on_shed_caller (void *ctx, const struct wy_h1_request *r,
                             size_t unsent_bytes, uint32_t silent_ms);
void wy_gate_on_shed_peer (void *ctx, const struct sockaddr_in *peer,
                           size_t unsent_bytes, uint32_t silent_ms);
void wy_gate_log_memory_level (struct wy_gate *g);
void wy_gate_register_memory_metrics (struct wy_gate *g);
void wy_gate_update_memory_gauges (const struct wy_gate *g);
struct wy_client_shares wy_gate_client_shares (const struct wy_gate *g);
void wy_gate_start_overload (struct wy_gate *g);
void wy_gate_register_client_metrics (struct wy_gate *g);
void wy_gate_update_client_gauges (const struct wy_gate *g);
void wy_gate_set_limits (struct wy_gate *g);
void wy_gate_set_relays (struct wy_gate *g);
void wy_gate_register_metrics (struct wy_gate *g);
void wy_gate_update_gauges (struct wy_gate *g);
void wy_gate_set_seeds (struct wy_gate *g, const struct wy_gate_settings *s);
void wy_gate_start_watches (struct wy_gate *g);

#endif
