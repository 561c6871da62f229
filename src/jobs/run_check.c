/* How a run gets on, and whether its item is better off elsewhere.

   A replica that loads weights, has turned slow or has gone dark holds its
   runs; the step waits for the last of them.  Measured against the usual time
   of an event, such a run is moved to a replica that would bring it on
   faster, behind the text that it has.  */
#include "jobs/run_state.h"

enum
{
  /* A run without an event for so long has lost its replica, whether or not
     another could take it.  */
  SILENCE_MS = 2500,
  /* A run is moved to another replica, which reads its prompt and text again
     in some ten ms, when it has made no headway for this many events of the
     usual pace.  A replica that loads weights stands still for about a
     second; one that has turned slow, or dark, for longer.  */
  STALL_EVENTS = 5,
  STALL_MIN_MS = 150,
  /* Before its first event a run may have to wait its turn.  */
  FIRST_STALL_EVENTS = 9,
  FIRST_STALL_MIN_MS = 300,
  /* Events after which a run's own pace is told from chance.  */
  PACED_EVENTS = 6
};

/* A run this much slower than usual is moved, to a replica that is not.  */
static const double slow_factor = 1.7;
static const double sound_factor = 1.3;

enum headway
{
  HEADWAY_SOUND,
  HEADWAY_STALLED,
  HEADWAY_SLOW
};

static void
stop (struct wy_run *r, enum wy_target_outcome outcome, const char *why)
{
  wy_h1_call_cancel (r->call);
  r->call = NULL;
  wy_run_again (r, outcome, 0, why);
}

/* How R gets on, against the usual time of an event.  */
static enum headway
headway_of (const struct wy_run *r, double typical_ms)
{
  double silent_ms = (double)(wy_run_now_ms (r) - r->heard_ms);
  double stall_ms = r->n_events ? MAX (STALL_EVENTS * typical_ms, STALL_MIN_MS)
                                : MAX (FIRST_STALL_EVENTS * typical_ms,
                                       FIRST_STALL_MIN_MS);
  double pace_ms
      = r->n_events > PACED_EVENTS
            ? (double)(r->heard_ms - r->first_ms) / (r->n_events - 1)
            : 0;

  if (silent_ms > stall_ms)
    return HEADWAY_STALLED;
  return pace_ms > slow_factor * typical_ms ? HEADWAY_SLOW : HEADWAY_SOUND;
}

/* End R if its replica has fallen silent; move it if another replica would
   bring it on faster.  */
void
wy_run_check (struct wy_run *r)
{
  struct wy_gate_env *env = r->item->job->env;
  double typical_ms = wy_targets_typical_pace_ms (
      env->targets, r->target->info.service, WY_WORK_EVENT);
  enum headway headway = HEADWAY_SOUND;

  if (wy_run_now_ms (r) - r->heard_ms >= SILENCE_MS)
    {
      stop (r, WY_TARGET_SILENT, "silent");
      return;
    }
  /* A pace of 1 ms stands for none known.  */
  if (typical_ms > 1)
    headway = headway_of (r, typical_ms);
  if (headway == HEADWAY_SOUND
      || !wy_owned_pick (r->item, r->target, typical_ms * sound_factor, 0))
    return;
  if (headway == HEADWAY_STALLED)
    stop (r, WY_TARGET_STALLED, "stalled");
  else
    stop (r, WY_TARGET_ABANDONED, "slow");
}
