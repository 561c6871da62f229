/* Private declarations of the targets.  */
#ifndef WY_GATE_TARGETS_STATE_H
#define WY_GATE_TARGETS_STATE_H

#include <glib.h>

#include "decide/running_median.h"
#include "gate/targets.h"

/* What was observed of all targets of a service.  */
struct wy_service_estimate
{
  struct wy_running_median events_per_token; /* of the expected tokens */
  struct wy_running_median first_event_ms;   /* from the start of a run */
  struct wy_weight_load_time load_time;
  struct wy_pace_service pace;
  struct wy_pace_spread spread; /* of the targets' usual paces */
  int64_t spread_ms;            /* time of its last update; 0: never */
  bool by_load_reported;        /* to the log */
};

struct wy_targets
{
  GHashTable *by_id;    /* struct wy_target */
  GHashTable *services; /* struct wy_service_estimate by name */
  struct wy_rng rng;
  /* Returns the number of idle connections to a target; NULL: not known.  */
  uint32_t (*idle_count) (const void *ctx, const struct sockaddr_in *a);
  const void *idle_count_ctx;
};

struct wy_service_estimate *wy_targets_service (const struct wy_targets *t,
                                                const char *service);
bool wy_target_is_ready (const struct wy_target *g, const char *service);
uint32_t wy_target_load (const struct wy_target *g, int64_t now_ms);
bool wy_target_row_is_newer (const struct wy_target *g,
                             const struct wy_replica *info);
bool wy_target_load_rejected (struct wy_targets *t, struct wy_target *g,
                              int64_t now_ms);
double wy_target_cost_by_load (const struct wy_targets *t,
                               const struct wy_target *g,
                               const struct wy_pace_item *i, double unknown_ms,
                               int64_t now_ms);
double wy_target_pace_ms (const struct wy_target *g, enum wy_work_kind work,
                          double unknown_ms, int64_t now_ms);

#endif
