/* How a yard has its samples run: given by the entry, which knows targets and
   connections; the yard knows neither.  */
#ifndef WY_YARD_RUNNER_H
#define WY_YARD_RUNNER_H

#include <stddef.h>
#include <stdint.h>

#include "inner/frame.h"

struct wy_run_request
{
  const char *id; /* request id; the same id is never run twice at once */
  const char *model;
  const char *trainer;
  uint32_t worth_milli;
  const char *prompt;
  uint32_t max_tokens;
  uint32_t predicted_tokens;
  int64_t min_version;  /* weight version below which it must not start */
  uint32_t deadline_ms; /* 0: none */
};

struct wy_run_outcome
{
  enum wy_run_result result; /* WY_RUN_DONE or why not */
  enum wy_ran ran;
  enum wy_refusal_reason refusal; /* 0 unless refused */
  uint32_t retry_after_ms;
  const char *run_id;
  const char *text; /* the whole completion */
  uint32_t tokens;
  const struct wy_segment *segments;
  size_t n_segments;
};

struct wy_runner
{
  /* Start one sample.  on_done comes once, never before start returns.  */
  void (*start) (void *ctx, const struct wy_run_request *r,
                 void (*on_done) (void *done_ctx, const char *id,
                                  const struct wy_run_outcome *o),
                 void *done_ctx);
  /* Give a sample up; on_done still comes, as WY_RUN_CANCELLED.  */
  void (*cancel) (void *ctx, const char *id);
  /* Samples that could be started now without waiting.  */
  uint32_t (*capacity) (void *ctx, const char *model);
  /* Lowest and highest weight version in force over the model's targets.  */
  void (*versions) (void *ctx, const char *model, int64_t *lowest,
                    int64_t *highest);
  void *ctx;
};

/* One order to the agent of one target, for the weight rollout.  */
struct wy_order_request
{
  const char *target;
  const char *lease;
  int64_t fencing_token;
  enum wy_order_kind kind;
  const char *model;
  int64_t version;
  const char *source; /* "host:port" of an agent to fetch from, or "" */
};

struct wy_target_view
{
  const char *id;
  const char *availability_zone;
  const char *weights_source; /* "host:port" its agent relays from */
  int64_t version;
  int64_t staged_version;
  uint32_t interactive_running;
  uint32_t streams_max; /* that run at once */
  bool up;
};

struct wy_orderer
{
  /* on_done gives 0 or a negative error, and the version in force.  */
  void (*order) (void *ctx, const struct wy_order_request *r,
                 void (*on_done) (void *done_ctx, int result, int64_t version),
                 void *done_ctx);
  size_t (*targets) (void *ctx, const char *model, struct wy_target_view *out,
                     size_t limit);
  void *ctx;
};

#endif
