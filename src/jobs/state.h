/* Private declarations of src/jobs: the known records and the jobs run
   here.  */
#ifndef WY_JOBS_STATE_H
#define WY_JOBS_STATE_H

#include "jobs/jobs.h"
#include "rows/watch.h"

struct wy_jobs
{
  struct wy_gate_env *env;
  struct wy_members *members;
  uint32_t piece_bytes;
  size_t row_bytes;
  uint64_t memory_limit_bytes;
  uint64_t submissions_bytes; /* bodies of submissions in progress */
  struct wy_watch *watch;
  struct wy_staleness *staleness;
  uv_timer_t tick;
  int64_t last_tick_ms;
  uint64_t ticks;
  int64_t result_retention_ms; /* from the job's submission */
  int64_t expire_due_ms;
  bool expiring;
  GHashTable *records; /* struct wy_job_record by id */
  GHashTable *active;  /* struct wy_active_job by id */
  struct wy_item_planner *planner;
  GPtrArray *lingering;    /* struct wy_active_job, ended by their trainers */
  GPtrArray *submissions;  /* struct submission */
  GHashTable *finished;    /* struct finished by id */
  GHashTable *starting;    /* ids of jobs being taken over or loaded */
  size_t result_row_bytes; /* average in the last page of results */
  uint32_t result_reads;   /* of the store, for readers, in progress */
  GQueue waiting_calls; /* struct call_state: callers that wait for results */
};

const struct wy_job_record *wy_jobs_find (const struct wy_jobs *j,
                                          const char *id);
void wy_jobs_update_record (struct wy_jobs *j, struct wy_job_record *r);
struct wy_active_job *wy_jobs_activate (struct wy_jobs *j,
                                        const struct wy_job_record *r,
                                        struct wy_job_spec *spec);
void wy_jobs_count_demand (struct wy_jobs *j, const struct wy_active_job *o);
void wy_jobs_on_listed (void *ctx, struct wy_active_job *o);
void wy_jobs_on_job_end (void *ctx, struct wy_active_job *o,
                         enum wy_active_job_end why);
void wy_jobs_mark_done (struct wy_jobs *j, const struct wy_job_record *r);
void wy_jobs_retry_mark_done (struct wy_jobs *j);
void wy_jobs_forget_finished (struct wy_jobs *j, const char *id);
void wy_jobs_accept_tick (struct wy_jobs *j);
void wy_jobs_take_over (struct wy_jobs *j, const struct wy_job_record *r);
void wy_jobs_hand_off (struct wy_jobs *j, const struct wy_job_record *r,
                       const struct sockaddr_in *address, const char *body,
                       size_t n);
bool wy_jobs_has_memory_for (const struct wy_jobs *j, size_t body_bytes);
void wy_jobs_expire (struct wy_jobs *j);
void wy_jobs_wake_readers (struct wy_jobs *j, const char *id);

void wy_job_fetch (struct wy_jobs *j, const struct wy_job_record *r,
                   void (*on_done) (void *ctx, int err,
                                    struct wy_job_spec *spec),
                   void *ctx);

#endif
