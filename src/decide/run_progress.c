/* How a run gets on, against the usual time of an event.

   The load answered is a step that waits for its longest items, of some ninety
   events each, while a fifth of the targets turn several times slower for some
   seconds, load weights, or go dark.  A run that stays there for long ends
   last and holds up its whole step.  */
#include "decide/run_progress.h"

#include <glib.h>

enum
{
  /* A run is moved to another target, which reads its prompt and text again
     in some ten ms, when it has made no headway for this many events of the
     usual pace.  A target that loads weights stands still for about a second;
     one that has gone dark, for longer.  */
  STALL_EVENTS = 5,
  STALL_MIN_MS = 150,
  /* Before its first event a run may have to wait its turn.  */
  FIRST_STALL_EVENTS = 9,
  FIRST_STALL_MIN_MS = 300
};

/* Two events in a row this much slower than usual tell a slow target; one
   alone may be chance, or a load of weights.  The pace over the whole run says
   too little: one that was sound for some seconds would stay for as long again
   where its target has turned slow.  */
static const double slow_factor = 1.7;

/* How the run of O gets on; sound, while the usual time is not known.  */
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
  return MIN (o->last_event_ms, o->previous_event_ms)
                 > slow_factor * o->typical_event_ms
             ? WY_RUN_PROGRESS_SLOW
             : WY_RUN_PROGRESS_NORMAL;
}
