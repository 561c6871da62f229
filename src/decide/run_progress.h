/* Whether a run of a job item makes normal progress or should be moved to
   another target.  */
#ifndef WY_DECIDE_RUN_PROGRESS_H
#define WY_DECIDE_RUN_PROGRESS_H

#include <stdint.h>

enum wy_run_progress
{
  WY_RUN_PROGRESS_NORMAL,
  WY_RUN_PROGRESS_STALLED,    /* no event for too long */
  WY_RUN_PROGRESS_SLOW,       /* events arrive, but too slowly */
  WY_RUN_PROGRESS_SLOW_TARGET /* as slowly as always at this target */
};

struct wy_run_progress_options
{
  uint32_t n_events;        /* received */
  int64_t silent_ms;        /* since the last event, or the start */
  double last_event_ms;     /* time that the last event took; 0: unknown */
  double previous_event_ms; /* the same for the event before it */
  double typical_event_ms;  /* time per event at most targets; 0: unknown */
  double usual_event_ms;    /* the same at this target; 0: unknown */
};

/* A run is moved only to a target whose time per event is at most this many
   times the typical one.  */
#define WY_RUN_PROGRESS_NORMAL_FACTOR 1.3

enum wy_run_progress
wy_run_progress_assess (const struct wy_run_progress_options *o);

#endif
