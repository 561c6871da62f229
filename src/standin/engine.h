/* Engine stand-in: declarations shared by engine*.c.  */
#ifndef WY_STANDIN_ENGINE_H
#define WY_STANDIN_ENGINE_H

#include "standin/engine_batch.h"
#include "standin/standin.h"

struct wy_engine_settings
{
  struct wy_standin_settings common;
  char *model;
  char *weights;
  int64_t initial_version;
  int64_t token_base_us;
  int64_t token_per_stream_us;
  int64_t prefill_token_us;
  int64_t batch_max;
  int64_t kv_total;
  double time_scale;
  int64_t load_lag_ms;
  int64_t cache_lag_ms;
  double cache_gap_share;
  int64_t tokens_median;
  double tokens_sigma;
  double tail_share;
  int64_t tail_factor;
  int64_t activate_ms;
  int64_t chunk_size_bytes;
  bool check_fence;
};

#define WY_ENGINE_SETTINGS 19

extern const struct wy_setting wy_engine_table[WY_ENGINE_SETTINGS];

/* Download of a version of the weights: first its size, then its bytes in
   chunks.  */
struct wy_engine_stage
{
  int64_t version; /* 0: none in progress */
  int64_t size_bytes;
  int64_t offset;
  uint32_t failures;
  char *host;
  uint16_t port;
  uv_timer_t timer;
  GPtrArray *calls; /* struct wy_standin_call *, waiting for its end */
};

struct wy_engine
{
  struct wy_standin *standin;
  const struct wy_engine_settings *o;
  struct wy_engine_batch batch;
  uv_timer_t step_timer;
  uv_timer_t load_timer;
  json_t *load;        /* load report, renewed every load_lag_ms */
  GHashTable *streams; /* request id -> struct wy_engine_stream */
  struct wy_rng rng;
  struct wy_engine_stage stage;
  int64_t staged;
  int64_t fence;
  int64_t activating_version;
  uv_timer_t activate_timer;
  struct wy_standin_call *activation_call;
};

int64_t wy_engine_now_us (const struct wy_engine *e);
void wy_engine_run_due_steps (struct wy_engine *e);

void wy_engine_start_completion (struct wy_engine *e,
                                 struct wy_standin_call *c);
void wy_engine_import (struct wy_engine *e, struct wy_standin_call *c);
void wy_engine_cancel (struct wy_engine *e, struct wy_standin_call *c);
void wy_engine_pause (struct wy_engine *e, struct wy_standin_call *c,
                      bool resume);
void wy_engine_export (struct wy_engine *e, struct wy_standin_call *c);
void wy_engine_on_token (struct wy_engine_stream *s, void *ctx);
void wy_engine_on_done (struct wy_engine_stream *s, void *ctx);

void wy_engine_order_init (struct wy_engine *e);
void wy_engine_handle_order (struct wy_engine *e, struct wy_standin_call *c);
void wy_engine_stage_start (struct wy_engine *e, struct wy_standin_call *c,
                            int64_t version, const char *source);

#endif
