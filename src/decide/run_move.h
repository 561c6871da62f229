/* Whether the rest of a run of a job item costs less on another target.  */
#ifndef WY_DECIDE_RUN_MOVE_H
#define WY_DECIDE_RUN_MOVE_H

#include <stdbool.h>
#include <stdint.h>

struct wy_run_move_options
{
  uint32_t events_done;   /* of the item's text, in all runs */
  double expected_events; /* of the complete text; 0: unknown */
  double here_ms;         /* time per event of the run now */
  double there_ms;        /* expected time per event at the other target */
  double first_event_ms;  /* time to the first event of a run; 0: unknown */
  bool has_due;
  double time_left_ms; /* until the item is due */
};

double wy_run_move_events_left (const struct wy_run_move_options *o);
double wy_run_move_cost_ms (const struct wy_run_move_options *o);
bool wy_run_move_is_worthwhile (const struct wy_run_move_options *o);
bool wy_run_move_is_late_here (const struct wy_run_move_options *o);
bool wy_run_move_is_in_time (const struct wy_run_move_options *o);

#endif
