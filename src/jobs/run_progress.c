/* Moves slow or silent runs to another replica, which continues their
   text.  */
#include "decide/run_progress.h"
#include "jobs/run_state.h"

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

/* Record that R got N more events, which took EVENT_DURATION_MS each.  */
void
wy_run_record_pace (struct wy_run *r, uint32_t n, double event_duration_ms)
{
  r->previous_event_duration_ms
      = n > 1 ? event_duration_ms : r->event_duration_ms;
  r->event_duration_ms = event_duration_ms;
}

/* End R if its replica is silent.  Move it if its progress is too slow and
   another replica would be faster.  A run that is not read for lack of memory
   is neither.  */
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
          .typical_event_ms = typical_ms > 1 ? typical_ms : 0 };
  enum wy_run_progress progress = wy_run_progress_assess (&o);

  if (r->source.paused)
    return;
  if (o.silent_ms >= SILENCE_TIMEOUT_MS)
    {
      stop (r, WY_TARGET_TIMED_OUT, "silent");
      return;
    }
  if (progress == WY_RUN_PROGRESS_NORMAL
      || !wy_active_job_pick_target (
          r->item, r->target, typical_ms * WY_RUN_PROGRESS_NORMAL_FACTOR, 0))
    return;
  if (progress == WY_RUN_PROGRESS_STALLED)
    stop (r, WY_TARGET_STALLED, "stalled");
  else
    stop (r, WY_TARGET_CANCELLED, "slow");
}
