/* The jobs in the store, the ones that this entry runs, and the requests about
   them.  */
#ifndef WY_JOBS_JOBS_H
#define WY_JOBS_JOBS_H

#include "gate/env.h"
#include "gate/members.h"
#include "h1/server.h"
#include "jobs/staleness.h"
#include "jobs/active_job.h"
#include "jobs/record.h"
#include "platform/request_wire.h"

struct wy_jobs;

struct wy_jobs_options
{
  struct wy_gate_env *env;
  struct wy_members *members;
  uint64_t seed;
  uint32_t max_object_bytes;   /* that the store accepts */
  uint32_t max_row_bytes;      /* that the store accepts */
  int64_t result_retention_ms; /* from the job's submission */
  uint64_t memory_limit_bytes; /* for all jobs together; 0: no limit */
  bool shares_by_demand; /* divide replicas among models by their demands */
};

struct wy_jobs *wy_jobs_new (const struct wy_jobs_options *o);
void wy_jobs_free (struct wy_jobs *j);
bool wy_jobs_is_synced (const struct wy_jobs *j);

/* Unfinished work of the jobs that run here.  */
struct wy_jobs_backlog
{
  int64_t oldest_ms; /* age of the oldest job; 0: none */
  uint32_t waiting;  /* items without a run */
  uint32_t scoring;  /* items whose text waits for its score */
  uint32_t unlisted; /* items with a result that is not listed yet */
};

void wy_jobs_backlog (const struct wy_jobs *j, struct wy_jobs_backlog *out);

/* A job, for the status page.  */
struct wy_job_view
{
  const char *id;
  const char *state;
  const char *holder;
  bool runs_here; /* this entry runs it */
  uint32_t listed;
  uint32_t total_items;
  int64_t age_ms; /* since it started here; -1: runs elsewhere */
};

void wy_jobs_each (const struct wy_jobs *j, bool here,
                   void (*fn) (void *ctx, const struct wy_job_view *v),
                   void *ctx);
uint32_t wy_jobs_running (const struct wy_jobs *j);
void wy_jobs_end_submissions (struct wy_jobs *j, const char *reason);
void wy_jobs_version_announced (struct wy_jobs *j, const char *model,
                                int64_t version);
void wy_jobs_targets_changed (struct wy_jobs *j);

void wy_jobs_accept (struct wy_jobs *j, struct wy_h1_request *r,
                     const char *organisation, bool config_is_fresh);
bool wy_jobs_accept_handoff (struct wy_jobs *j, struct wy_h1_request *r);
void wy_jobs_handle_call (struct wy_jobs *j, struct wy_h1_request *r,
                          const char *organisation,
                          const struct wy_job_call *call);

#endif
