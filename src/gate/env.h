/* State that the parts of the gate share: the loop, the clients, the known
   targets and configuration, and the counters.  Owned by src/gate/gate.c.  */
#ifndef WY_GATE_ENV_H
#define WY_GATE_ENV_H

#include <uv.h>

#include "base/clock.h"
#include "base/memory_account.h"
#include "base/rng.h"
#include "decide/crash_tracker.h"
#include "duties/usage.h"
#include "gate/isolation.h"
#include "gate/rejections.h"
#include "gate/routing.h"
#include "gate/targets.h"
#include "h1/client.h"
#include "h1/read_pause.h"
#include "rows/rows.h"
#include "trace/metrics.h"

struct wy_gate_counters
{
  uint64_t *requests;
  uint64_t *answered;
  uint64_t *refused;
  uint64_t *failed;
  uint64_t *hung_up;
  uint64_t *held_back;
  uint64_t *runs_interrupted;
  uint64_t *run_crashes;
  uint64_t *crash_probes;
  uint64_t *retries;
  uint64_t *hedges;
  uint64_t *item_runs;
  uint64_t *items_done;
  uint64_t *item_runs_failed;
  uint64_t *score_calls;
  uint64_t *score_calls_failed;
  uint64_t *score_hedges;
  uint64_t *jobs_accepted;
  uint64_t *jobs_taken_over;
  struct wy_hist *latency_us;
  struct wy_hist *item_us;
  struct wy_hist *score_us;
  struct wy_metrics_family *requests_ended; /* by route, outcome and reason */
  /* By route, target's service and outcome.  */
  struct wy_metrics_family *latency_by_route;
  struct wy_metrics_family *told;        /* by reason and basis */
  struct wy_metrics_family *told_us;     /* by reason */
  struct wy_metrics_family *returned;    /* by work, time and outcome */
  struct wy_metrics_family *run_permits; /* by outcome */
  uint64_t *waits;                       /* for an equal request */
  struct wy_metrics_family *malformed;   /* responses, by reason */
};

struct wy_demand;
struct wy_suspect_peers;

struct wy_gate_env
{
  uv_loop_t *loop;
  const struct wy_clock *clock;
  const char *node;   /* name of this instance */
  const char *holder; /* "NODE/INCARNATION": this start of the instance */
  const char *availability_zone;
  struct wy_memory_account memory;
  struct wy_read_pauses *read_pauses; /* NULL: reading is never paused */
  struct wy_h1_client *http;
  struct wy_rows *rows;
  struct wy_targets *targets;
  struct wy_routing *routing; /* current; NULL before the first */
  uint32_t entries;           /* that are alive, including this one */
  bool stopping;
  struct wy_rng rng;
  struct wy_crash_tracker crashes;
  /* Called when requests suspected of crashing targets have changed; NULL:
     they are not shared.  */
  void (*on_suspects_changed) (void *ctx);
  void *suspects_ctx;
  struct wy_suspect_peers *suspect_peers; /* NULL: there are none */
  struct wy_isolation isolation;
  int64_t list_current_since_ms; /* of the targets; 0: it may be out of date */
  struct wy_usage *usage;        /* NULL: usage is not reported */
  /* Of models, by which replicas are divided; NULL: they are not.  */
  struct wy_demand *demand;
  struct wy_rejections *rejections;
  GQueue proxied; /* struct wy_proxy_request in progress */
  struct wy_gate_counters count;
};

uint32_t wy_gate_in_flight_limit (const struct wy_gate_env *env,
                                  const char *service);

#endif
