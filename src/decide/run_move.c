/* Whether the rest of a run of a job item costs less on another target.

   The load is a third of the replicas that are several times slower than the
   others, for some seconds or always: half of the runs that are moved there
   have only a few events left, which cost less than the move itself.  */
#include "decide/run_move.h"

#include <glib.h>

enum
{
  /* Least cost of a move in events at the other target, which processes the
     prompt and the text again before the first one.  */
  COST_EVENTS_MIN = 3
};

/* An item that is longer than expected is expected to continue for this part
   of its present length.  */
static const double overdue_part = 0.5;

/* An item counts as late if this multiple of its expected time does not fit:
   expected lengths are right only at the median.  A larger margin moves more
   runs without more items in time.  */
static const double late_margin = 1.3;

/* Expected number of events until the end of the item.  */
double
wy_run_move_events_left (const struct wy_run_move_options *o)
{
  double left = o->expected_events - o->events_done;

  return left > 0 ? left : overdue_part * o->events_done;
}

/* Time from the start of a run at the other target until it has caught up.  */
double
wy_run_move_cost_ms (const struct wy_run_move_options *o)
{
  return MAX (o->first_event_ms, COST_EVENTS_MIN * o->there_ms);
}

/* Whether the run of O should be moved.  While the length of the item is
   unknown, it should: a long item that stays delays its whole job.  */
bool
wy_run_move_is_worthwhile (const struct wy_run_move_options *o)
{
  if (o->expected_events <= 0)
    return true;
  return wy_run_move_events_left (o) * (o->here_ms - o->there_ms)
         > wy_run_move_cost_ms (o);
}

/* Whether the item of O is expected to be late here.  From a target that is
   always slow, only such a run is moved: others would take the slots of fast
   targets from longer items.  */
bool
wy_run_move_is_late_here (const struct wy_run_move_options *o)
{
  return o->has_due && o->expected_events > 0
         && wy_run_move_events_left (o) * o->here_ms * late_margin
                > o->time_left_ms;
}

/* Whether the item of O is expected to be in time at the other target.  */
bool
wy_run_move_is_in_time (const struct wy_run_move_options *o)
{
  return wy_run_move_cost_ms (o) + wy_run_move_events_left (o) * o->there_ms
         <= o->time_left_ms;
}
