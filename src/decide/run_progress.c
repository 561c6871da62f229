/* Progress of a run, compared with the typical time per event.

   A training step waits for its longest items, of about 90 events each.
   Meanwhile a fifth of the targets may become several times slower for some
   seconds, load weights, or become unreachable.  A run that stays on such a
   target ends last and delays the whole step.  */
#include "decide/run_progress.h"

#include <stdbool.h>

#include <glib.h>

enum
{
  /* A run is stalled if it got no event for the typical time of this many.
     Moving it costs some ten ms, in which the other target processes the
     prompt and the partial text again.  A target that loads weights produces
     nothing for about a second; an unreachable one, for longer.  */
  STALL_EVENTS = 5,
  STALL_MIN_MS = 150,
  /* Before its first event a run may be queued at the target.  */
  FIRST_STALL_EVENTS = 9,
  FIRST_STALL_MIN_MS = 300,
  /* Until a run has more events than this, it is not compared with other
     targets unless it is slower than usual at its own: the first events show
     whether the target is always like this.  */
  FIRST_EVENTS = 5
};

/* A target is slow if two consecutive events took this many times the typical
   time and its own usual one; at a target that is always slower than others,
   nearly every run would be moved otherwise.  A single one may be chance or a
   load of weights.  The mean of the whole run would react too late: after some
   seconds at normal speed, a run would stay on a slow target for about as long
   again.  */
static const double slow_factor = 1.7;

static enum wy_run_progress
assess_pace (const struct wy_run_progress_options *o)
{
  double ms = MIN (o->last_event_ms, o->previous_event_ms);

  if (ms <= slow_factor * o->typical_event_ms)
    return WY_RUN_PROGRESS_NORMAL;
  if (o->n_events <= FIRST_EVENTS && o->usual_event_ms <= 0)
    return WY_RUN_PROGRESS_NORMAL;
  if (ms > slow_factor * o->usual_event_ms)
    return WY_RUN_PROGRESS_SLOW;
  return o->n_events <= FIRST_EVENTS ? WY_RUN_PROGRESS_NORMAL
                                     : WY_RUN_PROGRESS_SLOW_TARGET;
}

/* The progress of the run of O; normal while the typical time is unknown.  */
enum wy_run_progress
wy_run_progress_assess (const struct wy_run_progress_options *o)
{
  double stall_ms
      = o->n_events ? MAX (STALL_EVENTS * o->typical_event_ms, STALL_MIN_MS)
                    : MAX (FIRST_STALL_EVENTS * o->typical_event_ms,
                           FIRST_STALL_MIN_MS);

  if (o->typical_event_ms <= 0)
    return WY_RUN_PROGRESS_NORMAL;
  if ((double)o->silent_ms > stall_ms)
    return WY_RUN_PROGRESS_STALLED;
  return assess_pace (o);
}
