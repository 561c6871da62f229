/* Inside of a run.  */
#ifndef WY_JOBS_RUN_STATE_H
#define WY_JOBS_RUN_STATE_H

#include "jobs/active_job.h"

/* Why a run is of no more use, found while its bytes are read.  */
enum run_fault
{
  RUN_SOUND,
  RUN_STALE,   /* weights older than the job allows */
  RUN_MIXED,   /* other weights than the text so far, on a route for one */
  RUN_FOREIGN, /* an answer to another request */
  RUN_GAP      /* an event is missing */
};

struct wy_run
{
  struct wy_item *item;
  struct wy_target *target;
  struct wy_h1_call *call;
  struct wy_sse_parser events;
  int status;
  bool not_run;
  bool single_version;
  enum run_fault fault;
  int64_t version;
  int64_t started_ms;
  int64_t heard_ms;
  uint32_t n_events;
  double event_ms; /* that the last event took; 0: not known */
  double event_before_ms;
  uint32_t allowed_failures;
};

int64_t wy_run_now_ms (const struct wy_run *r);
void wy_run_paced (struct wy_run *r, uint32_t n, double event_ms);
void wy_run_again (struct wy_run *r, enum wy_target_outcome outcome,
                   int64_t pause_ms, const char *why);

#endif
