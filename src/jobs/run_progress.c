/* Moves slow or silent runs to another replica, which continues their
   text.  */
#include "decide/run_move.h"
#include "decide/run_progress.h"
#include "gate/target_estimate.h"
#include "gate/target_pace.h"
#include "jobs/item_placement.h"
#include "jobs/run_state.h"
#include "trace/json_log.h"

enum
{
  /* A run without an event for this long has lost its replica and is ended
     even if no other replica is available.  */
  SILENCE_TIMEOUT_MS = 2500
};

static void
stop (struct wy_run *r, enum wy_target_outcome outcome, const char *why)
{
  wy_h1_call_cancel (r->call);
  r->call = NULL;
  wy_run_end_for_retry (r, outcome, 0, why);
}

/* Record that R got N more events by NOW_MS.  */
void
wy_run_record_events (struct wy_run *r, uint32_t n, int64_t now_ms)
{
  double event_ms = (double)(now_ms - r->progress_ms) / n;

  r->progress_ms = now_ms;
  if (r->n_events == n)
    {
      wy_targets_record_first_event (r->item->job->env->targets,
                                     r->target->info.service,
                                     (double)(now_ms - r->started_ms));
      return;
    }
  r->previous_event_duration_ms = n > 1 ? event_ms : r->event_duration_ms;
  r->event_duration_ms = event_ms;
  wy_target_record_events (r->item->job->env->targets, r->target, event_ms,
                           now_ms);
}

static long long
load_age_ms (const struct wy_target *g, int64_t now_ms)
{
  return g->reported_ms ? (long long)(now_ms - g->reported_ms) : -1LL;
}

static void
log_move (const struct wy_run *r, const struct wy_target *to,
          const struct wy_run_progress_options *o,
          const struct wy_run_move_options *m, const char *reason)
{
  const struct wy_item *i = r->item;
  int64_t now_ms = wy_run_now_ms (r);

  wy_json_log ("item.moved",
               "id=%s job=%s target=%s to=%s reason=%s events=%u "
               "expected_events=%.0f left=%.0f here_ms=%.0f usual_ms=%.0f "
               "typical_ms=%.0f there_ms=%.0f cost_ms=%.0f load=%u "
               "load_age_ms=%lld there_load=%u there_load_age_ms=%lld",
               i->spec->id, i->job->record->id, r->target->info.id,
               to->info.id, reason, m->events_done, m->expected_events,
               wy_run_move_events_left (m), m->here_ms, o->usual_event_ms,
               o->typical_event_ms, m->there_ms, wy_run_move_cost_ms (m),
               r->target->reported_load, load_age_ms (r->target, now_ms),
               to->reported_load, load_age_ms (to, now_ms));
}

/* Whether the run R of no normal PROGRESS must stay instead of being moved to
   TO.  */
static bool
must_stay (const struct wy_run *r, enum wy_run_progress progress,
           const struct wy_target *to, const struct wy_run_move_options *m)
{
  int64_t now_ms = wy_run_now_ms (r);

  switch (progress)
    {
    case WY_RUN_PROGRESS_SLOW:
      return !wy_run_move_is_worthwhile (m);
    case WY_RUN_PROGRESS_SLOW_TARGET:
      return !wy_run_move_is_in_time (m);
    default:
      /* When several entries fill all slots at the same time, most replicas
         seem free to each of them: a queued run would lose its place there and
         wait again elsewhere.  */
      return r->n_events == 0 && wy_target_is_full (r->target, now_ms)
             && !wy_target_has_known_slot (to, now_ms);
    }
}

static const char *
reason_of (enum wy_run_progress progress)
{
  return progress == WY_RUN_PROGRESS_STALLED ? "stalled"
         : progress == WY_RUN_PROGRESS_SLOW  ? "slow"
                                             : "late";
}

static void
decline_move (struct wy_run *r)
{
  if (!r->move_declined)
    (*r->item->job->env->count.item_moves_declined)++;
  r->move_declined = true;
}

/* Move R, which makes no normal PROGRESS, if another replica has a free slot
   and the move is of use.  */
static void
consider_move (struct wy_run *r, enum wy_run_progress progress,
               const struct wy_run_progress_options *o)
{
  const struct wy_item *i = r->item;
  struct wy_gate_env *env = i->job->env;
  const struct wy_route *route = wy_active_job_route (i->job);
  const char *service = r->target->info.service;
  const struct wy_target *to;
  struct wy_run_move_options m
      = { .events_done = wy_item_events (i),
          .expected_events = wy_targets_expected_events (
              env->targets, service, i->spec->expected_tokens),
          .here_ms = MIN (o->last_event_ms, o->previous_event_ms),
          .first_event_ms = wy_targets_first_event_ms (env->targets, service),
          .has_due = route && route->result_deadline_ms,
          .time_left_ms = route ? wy_item_time_left_ms (i, route) : 0 };

  if (progress == WY_RUN_PROGRESS_SLOW_TARGET
      && !wy_run_move_is_late_here (&m))
    return;
  to = wy_active_job_pick_target (
      i, r->target, o->typical_event_ms * WY_RUN_PROGRESS_NORMAL_FACTOR, 0);
  if (!to)
    return;
  m.there_ms = wy_target_event_ms (env->targets, to, o->typical_event_ms,
                                   wy_run_now_ms (r));
  if (must_stay (r, progress, to, &m))
    {
      decline_move (r);
      return;
    }
  log_move (r, to, o, &m, reason_of (progress));
  (*env->count.item_moves)++;
  stop (r,
        progress == WY_RUN_PROGRESS_STALLED ? WY_TARGET_STALLED
                                            : WY_TARGET_CANCELLED,
        reason_of (progress));
}

/* End R if its replica is silent.  Move it if its progress is too slow and its
   rest costs less at another replica.  */
void
wy_run_check_progress (struct wy_run *r)
{
  double typical_ms = wy_targets_median_pace_ms (
      r->item->job->env->targets, r->target->info.service, WY_WORK_EVENT);
  struct wy_run_progress_options o
      = { .n_events = r->n_events,
          .silent_ms = wy_run_now_ms (r) - r->progress_ms,
          .last_event_ms = r->event_duration_ms,
          .previous_event_ms = r->previous_event_duration_ms,
          /* 1 ms stands for an unknown pace.  */
          .typical_event_ms = typical_ms > 1 ? typical_ms : 0,
          .usual_event_ms = wy_target_usual_event_ms (
              r->item->job->env->targets, r->target, wy_run_now_ms (r)) };
  enum wy_run_progress progress = wy_run_progress_assess (&o);

  if (o.silent_ms >= SILENCE_TIMEOUT_MS)
    stop (r, WY_TARGET_TIMED_OUT, "silent");
  else if (progress != WY_RUN_PROGRESS_NORMAL)
    consider_move (r, progress, &o);
}
