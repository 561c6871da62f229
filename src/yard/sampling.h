/* The samples of one step.  Internal to this module.  */
#ifndef WY_YARD_SAMPLING_H
#define WY_YARD_SAMPLING_H

#include <stdbool.h>

#include "decide/steps.h"
#include "yard/env.h"
#include "yard/scorer.h"

struct wy_sampling;

/* Moving averages over completed samples.  */
struct wy_sampling_estimates
{
  double us_per_token;
  double token_share; /* used share of max_tokens */
};

struct wy_sampling_options
{
  struct wy_yard_env *env;
  struct wy_scorer *scorer;
  struct wy_sampling_estimates *estimates; /* of the trainer */
  const char *model;
  const char *trainer; /* "YARD/TRAINER" */
  uint32_t worth_milli;
  int64_t step;
  int64_t version; /* that the trainer will have when it takes the batch */
  uint32_t bound;  /* staleness, in versions */
  struct wy_step_cost_weights weights;
  const json_t *groups; /* as submitted; borrowed while it lives */
  void (*on_progress) (void *ctx);
  void *ctx;
};

struct wy_sampling *wy_sampling_new (const struct wy_sampling_options *o);
void wy_sampling_free (struct wy_sampling *s, const char *reason,
                       bool batched);
void wy_sampling_set_version (struct wy_sampling *s, int64_t version);
void wy_sampling_run (struct wy_sampling *s,
                      const struct wy_yard_version *version,
                      bool is_last_step);
bool wy_sampling_is_complete (const struct wy_sampling *s);
bool wy_sampling_is_exhausted (const struct wy_sampling *s);
json_t *wy_sampling_batch (const struct wy_sampling *s, json_t **ids,
                           int64_t *oldest);

#endif
