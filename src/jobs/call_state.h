/* Private declarations of requests about a job.  */
#ifndef WY_JOBS_CALL_STATE_H
#define WY_JOBS_CALL_STATE_H

#include "jobs/state.h"

/* A request about a job.  */
struct call_state
{
  struct wy_jobs *jobs;
  struct wy_h1_request *request;
  struct wy_job_call call;
  struct wy_job_record *record; /* a copy made for this request */
  int64_t received_ms;
  int64_t wait_until_ms;
  bool whole_page;     /* a result exceeds a smaller page */
  bool pending;        /* a store call, or a retry to end the job */
  bool results_listed; /* more of them, during a read */
  uint32_t attempts;
  uv_timer_t timer;
  GList link; /* in jobs->waiting_calls */
};

bool wy_job_call_resume (struct call_state *d);
void wy_job_call_free (struct call_state *d);
void wy_job_call_reject (struct call_state *d, int status, const char *reason,
                         int err);
void wy_job_call_read_results (struct call_state *d);

#endif
