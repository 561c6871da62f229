/* Sampler of one trainer, held by one entry at a time.  Inside the package
   only.  */
#ifndef WY_YARD_SAMPLER_H
#define WY_YARD_SAMPLER_H

#include "base/id.h"
#include "config/document.h"
#include "lease/lease.h"
#include "yard/sampling.h"
#include "yard/step_row.h"

struct wy_sampler;

enum wy_fix_phase
{
  WY_FIX_NONE,
  WY_FIX_OBJECT, /* the batch is being stored */
  WY_FIX_TXN,    /* the transaction is under way */
  WY_FIX_SETTLE, /* its outcome is being read */
  WY_FIX_AGAIN,  /* the same transaction is to be sent again */
  WY_FIX_DONE    /* kept until the rows read show it */
};

/* One step at the sampler.  */
struct wy_step_job
{
  struct wy_sampler *sampler;
  struct wy_step_row row;
  char *key;
  struct wy_sampling *sampling; /* NULL until its groups are read */
  uint32_t ahead;               /* steps before it not acknowledged */
  uint32_t awaited;             /* answers of the store */
  json_t *groups;               /* as submitted */
  bool gone;                    /* freed with the last answer */
  enum wy_fix_phase fix;
  char fix_op[WY_ID_SIZE_BYTES];
  struct wy_step_row fixed; /* the row that the fixing writes */
  int64_t fix_current_rev;
  int64_t fix_fence_rev;
  int64_t retry_ms;
};

struct wy_sampler_options
{
  struct wy_yard_env *env;
  struct wy_scorer *scorer;
  const struct wy_yard_version *version; /* of the yard */
  const struct wy_yard_config *yard;
  const struct wy_trainer_config *trainer;
  /* The newest version was read on the way.  */
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
  struct wy_sampling_pace pace;
  struct wy_lease *lease;
  int64_t fence; /* under which the samples in hand were issued */
  uv_timer_t timer;
  char *prefix;
  char *current_key;
  char *floor_key;
  int64_t floor_rev;
  int64_t floor;
  GQueue jobs; /* struct wy_step_job, by step */
  int64_t poll_ms;
  bool polling;
  int64_t newest_rev; /* of the rows last read */
  int64_t changed_ms; /* when that last moved */
  bool cleaning;
  int64_t acked_step;      /* the last one seen */
  int64_t acked_since_ms;  /* first seen acknowledged */
  int64_t behind_since_ms; /* engines lag behind the trainer since */
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

bool wy_sampler_unpublished (struct wy_sampler *s,
                             const struct wy_step_row *row);
int64_t wy_sampler_version (struct wy_sampler *s,
                            const struct wy_step_job *job);

/* Steps of the sampler.  */
struct wy_step_job *wy_step_job_find (struct wy_sampler *s, int64_t step);
void wy_step_job_add (struct wy_sampler *s, struct wy_step_row *row,
                      uint32_t ahead);
void wy_step_job_drop (struct wy_step_job *j, const char *reason);
void wy_step_job_answered (struct wy_step_job *j);
void wy_step_job_fix (struct wy_step_job *j);
void wy_sampler_clean (struct wy_sampler *s, const struct wy_store_result *r);
void wy_sampler_destroy (struct wy_sampler *s);

#endif
