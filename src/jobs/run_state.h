/* Private declarations of a run.  */
#ifndef WY_JOBS_RUN_STATE_H
#define WY_JOBS_RUN_STATE_H

#include "h1/read_pause.h"
#include "jobs/active_job.h"

/* Why the data of a run can't be used, found while it is read.  */
enum run_fault
{
  RUN_FAULT_NONE,
  RUN_FAULT_STALE_WEIGHTS, /* older than the job allows */
  RUN_FAULT_OTHER_WEIGHTS, /* not those of the text; single-version route */
  RUN_FAULT_OTHER_REQUEST, /* the response belongs to another request */
  RUN_FAULT_NO_EVENTS,     /* bytes that are no events */
  RUN_FAULT_EVENT_MISSING, /* a gap in the event ids */
  RUN_FAULT_NOT_CONTINUED, /* the run begins before the end of the text */
  RUN_FAULT_NOT_TEXT,      /* an event can't be part of a text */
  RUN_FAULT_NO_VERSION     /* that of the weights is no number */
};

struct wy_run
{
  struct wy_item *item;
  struct wy_target *target;
  struct wy_h1_call *call;
  struct wy_read_source source;
  bool was_paused; /* the times of its events are not those of the replica */
  struct wy_sse_parser events;
  int status;
  bool not_run; /* the replica states that it did not run the request */
  bool single_version;
  bool begins_text; /* the item had no text when it started */
  enum run_fault fault;
  int64_t version;
  uint64_t incarnation; /* of the target */
  int64_t started_ms;
  int64_t progress_ms; /* time of the last event, or of the start */
  uint32_t n_events;
  size_t ignored_bytes;     /* of a response without events */
  double event_duration_ms; /* that the last event took; 0: unknown */
  double previous_event_duration_ms;
  uint32_t allowed_failures; /* runs of the item with status 500 */
};

int64_t wy_run_now_ms (const struct wy_run *r);
void wy_run_record_pace (struct wy_run *r, uint32_t n,
                         double event_duration_ms);
void wy_run_end_for_retry (struct wy_run *r, enum wy_target_outcome outcome,
                           int64_t delay_ms, const char *why);

#endif
