/* Moves a run off a replica that holds it up, behind the text that it has.  */
#include "decide/run_progress.h"
#include "jobs/run_state.h"

enum
{
  /* A run without an event for so long has lost its replica, whether or not
     another could take it.  */
  SILENCE_MS = 2500
};

static void
stop (struct wy_run *r, enum wy_target_outcome outcome, const char *why)
{
  wy_h1_call_cancel (r->call);
  r->call = NULL;
  wy_run_again (r, outcome, 0, why);
}

/* R got N more events, which took EVENT_MS each.  */
void
wy_run_paced (struct wy_run *r, uint32_t n, double event_ms)
{
  r->event_before_ms = n > 1 ? event_ms : r->event_ms;
  r->event_ms = event_ms;
}

/* End R if its replica has fallen silent; move it if another replica would
   bring it on faster.  */
void
wy_run_check (struct wy_run *r)
{
  double typical_ms = wy_targets_median_pace_ms (
      r->item->job->env->targets, r->target->info.service, WY_WORK_EVENT);
  struct wy_run_progress_options o
      = { .n_events = r->n_events,
          .silent_ms = wy_run_now_ms (r) - r->heard_ms,
          .last_event_ms = r->event_ms,
          .previous_event_ms = r->event_before_ms,
          /* A pace of 1 ms stands for none known.  */
          .typical_event_ms = typical_ms > 1 ? typical_ms : 0 };
  enum wy_run_progress headway = wy_run_progress_assess (&o);

  if (o.silent_ms >= SILENCE_MS)
    {
      stop (r, WY_TARGET_TIMED_OUT, "silent");
      return;
    }
  if (headway == WY_RUN_PROGRESS_NORMAL
      || !wy_owned_pick (r->item, r->target,
                         typical_ms * WY_RUN_PROGRESS_NORMAL_FACTOR, 0))
    return;
  if (headway == WY_RUN_PROGRESS_STALLED)
    stop (r, WY_TARGET_STALLED, "stalled");
  else
    stop (r, WY_TARGET_CANCELLED, "slow");
}
