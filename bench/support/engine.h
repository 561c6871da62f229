/* Batching-rate model of an engine in virtual time: all streams get a token at
   the same interval, which grows with their number.  */
#ifndef WY_BENCH_ENGINE_H
#define WY_BENCH_ENGINE_H

#include <stdbool.h>
#include <stdint.h>

/* Parameters of the stand-in engine.  */
#define WB_TOKEN_BASE_MS 8.0
#define WB_TOKEN_PER_STREAM_MS 0.25
#define WB_STREAMS_MAX 64
#define WB_KV_TOKENS_MAX 65536
#define WB_PREFILL_TOKEN_MS 0.02
#define WB_CACHE_PREFIXES 16

struct wb_stream
{
  double left_tokens; /* remaining; valid while stopped */
  double end_v; /* value of wb_engine.v at the end; valid while running */
  uint32_t pos;
};

struct wb_engine
{
  double v; /* tokens per stream since the start */
  double now_ms;
  double speed; /* 1; less: slow */
  bool stopped; /* swapping weights, or failed */
  uint32_t n;
  struct wb_stream *stream[WB_STREAMS_MAX];
  uint64_t prefix[WB_CACHE_PREFIXES]; /* most recently used first */
};

double wb_token_ms (uint32_t streams);
double wb_capacity_tokens_per_ms (void);
void wb_engine_init (struct wb_engine *e);
void wb_engine_advance (struct wb_engine *e, double now_ms);
void wb_engine_start (struct wb_engine *e, struct wb_stream *s,
                      double prefill_tokens, double now_ms);
void wb_engine_stop (struct wb_engine *e, struct wb_stream *s, double now_ms);
double wb_engine_next_ms (const struct wb_engine *e, struct wb_stream **out);
bool wb_engine_prefix (struct wb_engine *e, uint64_t prefix,
                       uint64_t *evicted);

#endif
