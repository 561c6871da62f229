/* Runs that a replica rejects, and the first one that it accepts again.  */
#include "gate/target_estimate.h"
#include "jobs/run_state.h"
#include "trace/json_log.h"

static bool
has_models (const struct wy_run *r)
{
  const struct wy_service *s = wy_routing_service (r->item->job->env->routing,
                                                   r->target->info.service);

  return s && s->models->len > 0;
}

/* Outcome for the replica of R, which did not run it.  Where models are
   configured, a rejection while slots are free means that the replica loads
   weights.  */
enum wy_target_outcome
wy_run_rejection_outcome (const struct wy_run *r)
{
  const struct wy_target *g = r->target;
  int64_t now_ms = wy_run_now_ms (r);

  if (!has_models (r) || !wy_target_seems_free (g, now_ms))
    return WY_TARGET_REJECTED;
  if (!wy_weight_load_blocks (&g->weight_load, 0, now_ms))
    wy_json_log (
        "target.loading",
        "id=%s service=%s load=%u load_age_ms=%lld usual_ms=%.0f "
        "since_ms=%lld probes=%u",
        g->info.id, g->info.service, g->reported_load,
        g->reported_ms ? (long long)(now_ms - g->reported_ms) : -1LL,
        wy_targets_load_time_ms (r->item->job->env->targets, g->info.service),
        g->weight_load.believed ? (long long)(now_ms - g->weight_load.since_ms)
                                : 0LL,
        g->weight_load.probes_failed);
  (*r->item->job->env->count.item_runs_loading)++;
  return WY_TARGET_LOADING;
}

/* The replica of R has accepted it.  */
void
wy_run_accepted (const struct wy_run *r)
{
  struct wy_target *g = r->target;
  struct wy_targets *targets = r->item->job->env->targets;
  struct wy_weight_load l = g->weight_load;
  int64_t now_ms = wy_run_now_ms (r);

  if (wy_target_run_accepted (targets, g, r->started_ms, now_ms))
    wy_json_log (
        "target.loaded",
        "id=%s service=%s since_ms=%lld probes=%u row=%d usual_ms=%.0f",
        g->info.id, g->info.service, (long long)(now_ms - l.since_ms),
        l.probes_failed, l.row_changed,
        wy_targets_load_time_ms (targets, g->info.service));
}
