/* Sampler of one trainer.  One entry at a time, the holder of its lease, runs
   the samples of its steps.  Internal to this module.  */
#ifndef WY_YARD_SAMPLER_H
#define WY_YARD_SAMPLER_H

#include "base/id.h"
#include "config/document.h"
#include "lease/lease.h"
#include "yard/sampling.h"
#include "yard/step_row.h"

struct wy_sampler;

enum wy_commit_phase
{
  WY_COMMIT_NONE,
  WY_COMMIT_STORING_BATCH,   /* the object of the batch is being written */
  WY_COMMIT_TXN,             /* the transaction is in progress */
  WY_COMMIT_READING_OUTCOME, /* unknown after an error; the row is read */
  WY_COMMIT_RETRYING,        /* the same transaction is to be sent again */
  WY_COMMIT_DONE             /* until the next read of the rows shows it */
};

/* One step that the sampler works on.  */
struct wy_step_job
{
  struct wy_sampler *sampler;
  struct wy_step_row row;
  char *key;
  struct wy_sampling *sampling; /* NULL until its groups have been read */
  uint32_t ahead;               /* versions expected before it is taken */
  uint32_t pending_calls;       /* to the store */
  json_t *groups;               /* as submitted */
  bool dropped;                 /* to be freed after the last call */
  enum wy_commit_phase commit_phase;
  char commit_op[WY_ID_SIZE_BYTES];
  struct wy_step_row committed_row; /* as the transaction writes it */
  int64_t commit_current_rev; /* revisions in the transaction's conditions */
  int64_t commit_token_rev;
  int64_t retry_ms;
};

struct wy_sampler_options
{
  struct wy_yard_env *env;
  struct wy_scorer *scorer;
  const struct wy_yard_version *version; /* of the yard */
  const struct wy_yard_config *yard;
  const struct wy_trainer_config *trainer;
  /* A call to the store returned the newest version.  */
  void (*on_version) (void *ctx, int64_t current, int64_t rev);
  void *ctx;
};

struct wy_sampler
{
  struct wy_sampler_options o;
  char *yard;
  char *trainer;
  char *label; /* "YARD/TRAINER" */
  char *model;
  struct wy_step_cost_weights weights;
  uint32_t worth_milli;
  struct wy_sampling_estimates estimates;
  struct wy_lease *lease;
  int64_t fencing_token; /* of the lease when it was last acquired */
  uv_timer_t timer;
  char *prefix;
  char *current_key;
  char *floor_key;
  int64_t floor_rev;
  int64_t floor;
  GQueue jobs; /* struct wy_step_job, sorted by step */
  int64_t next_poll_ms;
  bool polling;
  int64_t newest_rev; /* of the rows last read */
  int64_t changed_ms; /* when newest_rev last changed */
  bool deleting_steps;
  int64_t acked_step;              /* highest acknowledged step read */
  int64_t acked_since_ms;          /* when it was first read as acknowledged */
  int64_t engines_behind_since_ms; /* 0: some have the trainer's version */
  bool closing;
  bool timer_closed;
};

struct wy_sampler *wy_sampler_new (const struct wy_sampler_options *o);
void wy_sampler_configure (struct wy_sampler *s,
                           const struct wy_yard_config *yard,
                           const struct wy_trainer_config *trainer);
bool wy_sampler_active (const struct wy_sampler *s);
void wy_sampler_wake (struct wy_sampler *s);
void wy_sampler_poll (struct wy_sampler *s);
void wy_sampler_stop (struct wy_sampler *s);
void wy_sampler_free (struct wy_sampler *s);

bool wy_sampler_version_is_pending (struct wy_sampler *s,
                                    const struct wy_step_row *row);
int64_t wy_sampler_expected_version (struct wy_sampler *s,
                                     const struct wy_step_job *job);

/* Steps of the sampler.  */
struct wy_step_job *wy_step_job_find (struct wy_sampler *s, int64_t step);
void wy_step_job_add (struct wy_sampler *s, struct wy_step_row *row,
                      uint32_t ahead);
void wy_step_job_drop (struct wy_step_job *j, const char *reason);
void wy_step_job_call_done (struct wy_step_job *j);
void wy_step_job_commit (struct wy_step_job *j);
void wy_sampler_delete_old_steps (struct wy_sampler *s,
                                  const struct wy_store_result *r);
void wy_sampler_free_if_unused (struct wy_sampler *s);

#endif
