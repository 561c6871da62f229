/* The samples of one step.  Inside the package only.  */
#ifndef WY_YARD_SAMPLING_H
#define WY_YARD_SAMPLING_H

#include <stdbool.h>

#include "decide/steps.h"
#include "yard/env.h"
#include "yard/scorer.h"

struct wy_sampling;

/* How long samples take, learnt from those that ended.  */
struct wy_sampling_pace
{
  double us_per_token;
  double token_share; /* of max_tokens that samples use */
};

struct wy_sampling_options
{
  struct wy_yard_env *env;
  struct wy_scorer *scorer;
  struct wy_sampling_pace *pace; /* shared by the steps of a trainer */
  const char *model;
  const char *trainer; /* "YARD/TRAINER" */
  uint32_t worth_milli;
  int64_t step;
  int64_t version; /* the trainer's when it will take the batch */
  uint32_t bound;
  struct wy_step_cost_weights weights;
  const json_t *groups; /* as submitted; borrowed while it lives */
  void (*on_progress) (void *ctx);
  void *ctx;
};

struct wy_sampling *wy_sampling_new (const struct wy_sampling_options *o);
void wy_sampling_free (struct wy_sampling *s, const char *reason,
                       bool batched);
void wy_sampling_version (struct wy_sampling *s, int64_t version);
void wy_sampling_run (struct wy_sampling *s,
                      const struct wy_yard_version *version, bool last);
bool wy_sampling_whole (const struct wy_sampling *s);
bool wy_sampling_stuck (const struct wy_sampling *s);
json_t *wy_sampling_batch (const struct wy_sampling *s, json_t **ids,
                           int64_t *oldest);

#endif
