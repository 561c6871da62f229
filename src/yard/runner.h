/* Interfaces by which the yards run samples and give weight orders.  The
   entry, which has the targets and the connections, implements them.  */
#ifndef WY_YARD_RUNNER_H
#define WY_YARD_RUNNER_H

#include <stddef.h>
#include <stdint.h>

#include "inner/frame.h"

struct wy_run_request
{
  const char *id; /* request id; unique among the pending samples */
  const char *model;
  const char *trainer;
  uint32_t worth_milli;
  const char *prompt;
  uint32_t max_tokens;
  uint32_t predicted_tokens;
  int64_t min_version;  /* lowest weight version to start with */
  uint32_t deadline_ms; /* 0: none */
};

struct wy_run_outcome
{
  enum wy_run_result result; /* WY_RUN_DONE, or why it failed */
  enum wy_ran ran;
  enum wy_refusal_reason refusal; /* 0: not rejected */
  uint32_t retry_after_ms;
  const char *run_id;
  const char *text; /* the complete text */
  uint32_t tokens;
  const struct wy_segment *segments;
  size_t n_segments;
};

struct wy_runner
{
  /* Start one sample.  on_done is called once, never before start returns.  */
  void (*start) (void *ctx, const struct wy_run_request *r,
                 void (*on_done) (void *done_ctx, const char *id,
                                  const struct wy_run_outcome *o),
                 void *done_ctx);
  /* Cancel a sample; on_done is still called, with WY_RUN_CANCELLED.  */
  void (*cancel) (void *ctx, const char *id);
  /* The number of samples that could start now without waiting.  */
  uint32_t (*capacity) (void *ctx, const char *model);
  /* The lowest and the highest weight version in force on the model's
     targets; 0: no target is up.  */
  void (*versions) (void *ctx, const char *model, int64_t *lowest,
                    int64_t *highest);
  void *ctx;
};

/* One order of a weight rollout, for the agent of one target.  */
struct wy_order_request
{
  const char *target;
  const char *lease;
  int64_t fencing_token;
  enum wy_order_kind kind;
  const char *model;
  int64_t version;
  const char *source; /* agent to fetch from, "host:port"; "": weight store */
};

/* A target as last reported by its agent.  */
struct wy_target_view
{
  const char *id;
  const char *availability_zone;
  const char *weights_source; /* of its agent, "host:port"; may be "" */
  int64_t version;
  int64_t staged_version;
  uint32_t interactive_running;
  uint32_t streams_max; /* concurrent */
  bool up;
};

/* Sends the orders and lists the targets.  */
struct wy_orderer
{
  /* Send an order.  on_done gets 0 or a negative error, and the version in
     force.  */
  void (*order) (void *ctx, const struct wy_order_request *r,
                 void (*on_done) (void *done_ctx, int result, int64_t version),
                 void *done_ctx);
  /* Fill OUT with at most LIMIT targets of MODEL.  Returns their number.  */
  size_t (*targets) (void *ctx, const char *model, struct wy_target_view *out,
                     size_t limit);
  void *ctx;
};

#endif
