/* One training step: which samples to start when, and which to abandon.  */
#ifndef WY_DECIDE_STEPS_H
#define WY_DECIDE_STEPS_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/errors.h"

enum wy_sample_state
{
  WY_SAMPLE_PLANNED,
  WY_SAMPLE_RUNNING,
  WY_SAMPLE_ACCEPTED,
  WY_SAMPLE_DROPPED, /* stale, surplus, or failed */
};

enum wy_step_verdict
{
  WY_STEP_VERDICT_ACCEPT,
  WY_STEP_VERDICT_STALE,   /* its weights are too old; it has to be replaced */
  WY_STEP_VERDICT_SURPLUS, /* its group is complete without it */
};

/* Time per token of a sample that waits or is paused.  */
#define WY_STEP_STALLED_US UINT32_MAX

enum wy_straggler_action
{
  WY_STRAGGLER_NONE,
  WY_STRAGGLER_MOVE,   /* to a less loaded replica, by KV export and import */
  WY_STRAGGLER_DROP,   /* stop it; wy_step_issue starts a replacement */
  WY_STRAGGLER_CANCEL, /* stop it; nothing replaces it */
};

/* Cost of stale samples and of idle engines.  Only the ratio matters.  */
struct wy_step_cost_weights
{
  double staleness;
  double idle;
};

struct wy_step_options
{
  uint64_t step;
  uint64_t version; /* that the trainer will have when it takes the batch */
  uint32_t groups;
  uint32_t group_samples; /* per complete group */
  uint32_t staleness_max; /* in versions */
  struct wy_step_cost_weights weights;
};

/* State of the engines at the time of a decision.  */
struct wy_step_inputs
{
  int64_t now_ms;
  uint64_t version;        /* of the weights that the engines use */
  int64_t next_version_ms; /* expected next activation; 0: unknown */
  uint32_t version_period_ms;
  uint32_t us_per_token;      /* expected for a new stream */
  uint32_t best_us_per_token; /* on the least loaded replica */
  uint32_t free_streams;
  bool may_over_issue; /* free streams would stay idle otherwise */
};

struct wy_step_issuance
{
  bool is_issued;
  bool extra; /* in excess of the group's samples */
  uint32_t group;
  uint32_t sample;
};

struct wy_straggler
{
  enum wy_straggler_action action;
  uint32_t sample;
};

struct wy_step;

struct wy_step *wy_step_new (const struct wy_step_options *o);
void wy_step_free (struct wy_step *s);
void wy_step_predict (struct wy_step *s, uint32_t group,
                      uint32_t predicted_tokens);
struct wy_step_issuance wy_step_issue (struct wy_step *s,
                                       const struct wy_step_inputs *now);
void wy_step_progress (struct wy_step *s, uint32_t sample, uint32_t tokens,
                       uint32_t us_per_token);
enum wy_step_verdict wy_step_done (struct wy_step *s, uint32_t sample,
                                   uint64_t oldest_version, uint32_t tokens);
void wy_step_failed (struct wy_step *s, uint32_t sample);
struct wy_straggler wy_step_straggler (struct wy_step *s,
                                       const struct wy_step_inputs *now);
void wy_step_moved (struct wy_step *s, uint32_t sample);
bool wy_step_is_complete (const struct wy_step *s);
uint32_t wy_step_batch (const struct wy_step *s, uint32_t *out,
                        uint32_t out_max);
uint32_t wy_step_group_of (const struct wy_step *s, uint32_t sample);
uint32_t wy_step_samples_max (const struct wy_step *s);
uint32_t wy_step_accepted (const struct wy_step *s);
uint32_t wy_step_ahead_max (const struct wy_step_options *o, uint64_t ahead);
bool wy_sample_eligible (uint64_t oldest_version, uint64_t trainer_version,
                         uint32_t staleness_max);
uint32_t wy_step_drop_stale (struct wy_step *s, uint64_t trainer_version);

#endif
