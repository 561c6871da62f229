/* Inside of src/jobs: the records known and the jobs run here.  */
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
  uint64_t memory_bytes;
  uint64_t accepting_bytes; /* of submissions not yet answered */
  struct wy_watch *watch;
  struct wy_staleness *lags;
  uv_timer_t tick;
  int64_t ticked_ms;
  uint64_t ticks;
  int64_t keep_ms; /* results, from their job's submission */
  int64_t clean_due_ms;
  bool cleaning;
  GHashTable *records;  /* struct wy_job_record by id */
  GHashTable *owned;    /* struct wy_owned by id */
  GPtrArray *lingering; /* struct wy_owned whose jobs have been ended */
  GPtrArray *accepting; /* struct accept */
  GHashTable *finished; /* struct finished by id */
  GHashTable *taking;   /* ids whose takeover or load is under way */
  GQueue waiting;       /* struct read: callers waiting for results */
};

const struct wy_job_record *wy_jobs_find (const struct wy_jobs *j,
                                          const char *id);
void wy_jobs_learn (struct wy_jobs *j, struct wy_job_record *r);
struct wy_owned *wy_jobs_own (struct wy_jobs *j, const struct wy_job_record *r,
                              struct wy_job_spec *spec);
void wy_jobs_on_listed (void *ctx, struct wy_owned *o);
void wy_jobs_on_owned_end (void *ctx, struct wy_owned *o,
                           enum wy_owned_end why);
void wy_jobs_finish (struct wy_jobs *j, const struct wy_job_record *r);
void wy_jobs_finish_again (struct wy_jobs *j);
void wy_jobs_forget_finished (struct wy_jobs *j, const char *id);
void wy_jobs_accept_tick (struct wy_jobs *j);
void wy_jobs_take_over (struct wy_jobs *j, const struct wy_job_record *r);
void wy_jobs_hand_on (struct wy_jobs *j, const struct wy_job_record *r,
                      const struct sockaddr_in *address, const char *body,
                      size_t n);
bool wy_jobs_have_room (const struct wy_jobs *j, size_t body_bytes);
void wy_jobs_clean (struct wy_jobs *j);
void wy_jobs_wake_readers (struct wy_jobs *j, const char *id);

void wy_job_load (struct wy_jobs *j, const struct wy_job_record *r,
                  void (*on_done) (void *ctx, int err,
                                   struct wy_job_spec *spec),
                  void *ctx);

#endif
