/* Continuous batching of the engine stand-in, without I/O.  */
#ifndef WY_STANDIN_ENGINE_BATCH_H
#define WY_STANDIN_ENGINE_BATCH_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "standin/engine_cache.h"

enum wy_engine_stream_state
{
  WY_ENGINE_WAITING,
  WY_ENGINE_RUNNING,
  WY_ENGINE_PAUSED
};

/* Tokens FROM to TO - 1 were made with VERSION of the weights.  */
struct wy_engine_segment
{
  int64_t version;
  uint32_t from;
  uint32_t to;
};

struct wy_engine_stream
{
  char *request_id;
  char *run;
  char *nonce; /* in the text of each token; kept when exported */
  char *prompt;
  char *prefix_name;
  uint32_t prompt_tokens;
  uint32_t next; /* index of the next token */
  uint32_t total;
  bool by_length; /* ends at max_tokens */
  bool prefilled; /* its KV memory was imported */
  enum wy_engine_stream_state state;
  GList link;       /* in the queue of its state */
  int64_t ready_us; /* end of its prefill */
  uint32_t kv;      /* tokens allocated, without the cached prefix */
  struct wy_engine_prefix *prefix;
  GArray *segments; /* struct wy_engine_segment */
  void *ctx;
};

struct wy_engine_batch_options
{
  uint32_t token_base_us;
  uint32_t token_per_stream_us;
  uint32_t prefill_token_us;
  uint32_t batch_max;
  uint32_t kv_total; /* tokens */
  double time_scale; /* 2: twice as fast */
  struct wy_engine_cache_options cache;
  /* Called for each token made; its index is s->next - 1.  */
  void (*on_token) (struct wy_engine_stream *s, void *ctx);
  /* Called when all tokens are made and the stream has left the batch.  */
  void (*on_done) (struct wy_engine_stream *s, void *ctx);
  void *ctx;
};

struct wy_engine_batch
{
  struct wy_engine_batch_options o;
  struct wy_engine_cache cache;
  GQueue queue[3]; /* by state, oldest first */
  uint32_t kv_used;
  int64_t version;
  int64_t step_at_us; /* end of the step in progress; 0: idle */
};

void wy_engine_batch_init (struct wy_engine_batch *b,
                           const struct wy_engine_batch_options *o);
void wy_engine_batch_add (struct wy_engine_batch *b,
                          struct wy_engine_stream *s);
void wy_engine_batch_remove (struct wy_engine_batch *b,
                             struct wy_engine_stream *s);
void wy_engine_batch_pause (struct wy_engine_batch *b,
                            struct wy_engine_stream *s);
void wy_engine_batch_resume (struct wy_engine_batch *b,
                             struct wy_engine_stream *s);
int64_t wy_engine_batch_advance (struct wy_engine_batch *b, int64_t now_us,
                                 int64_t slow_us);
void wy_engine_batch_stall (struct wy_engine_batch *b, int64_t until_us);
void wy_engine_batch_swap (struct wy_engine_batch *b, int64_t version,
                           int64_t now_us);
void wy_engine_stream_free (struct wy_engine_stream *s);
json_t *wy_engine_segments_json (const struct wy_engine_stream *s);

#endif
