/* Whether a run of an item gets on, or is better off on another target.  */
#ifndef WY_DECIDE_RUN_PROGRESS_H
#define WY_DECIDE_RUN_PROGRESS_H

#include <stdint.h>

enum wy_run_progress
{
  WY_RUN_PROGRESS_NORMAL,
  WY_RUN_PROGRESS_STALLED, /* no event for too long */
  WY_RUN_PROGRESS_SLOW     /* events come, but too slowly */
};

struct wy_run_progress_options
{
  uint32_t n_events;
  int64_t silent_ms;        /* since the last event, or the start */
  double last_event_ms;     /* that the last event took; 0: not known */
  double previous_event_ms; /* the same of the one before it */
  double typical_event_ms;  /* of an event at most targets; 0: not known */
};

/* A target is sound enough to take a moved run over if its events take no
   longer than this many usual ones.  */
#define WY_RUN_PROGRESS_NORMAL_FACTOR 1.3

enum wy_run_progress
wy_run_progress_assess (const struct wy_run_progress_options *o);

#endif
