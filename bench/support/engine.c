/* Batching-rate model of an engine.

   The progress of a stream is stored as the value of the engine's token
   counter at which the stream ends, so that a change of rate needs no update
   of each stream.  */
#include "engine.h"

#include <math.h>
#include <stddef.h>
#include <string.h>

/* Milliseconds per token of each stream when STREAMS are running.  */
double
wb_token_ms (uint32_t streams)
{
  return WB_TOKEN_BASE_MS + WB_TOKEN_PER_STREAM_MS * streams;
}

/* Maximum tokens per millisecond of an engine.  */
double
wb_capacity_tokens_per_ms (void)
{
  return WB_STREAMS_MAX / wb_token_ms (WB_STREAMS_MAX);
}

/* Initialize E as an idle engine at time 0.  */
void
wb_engine_init (struct wb_engine *e)
{
  memset (e, 0, sizeof *e);
  e->speed = 1;
}

/* Advance E to NOW_MS.  */
void
wb_engine_advance (struct wb_engine *e, double now_ms)
{
  if (!e->stopped && e->n > 0)
    e->v += (now_ms - e->now_ms) * e->speed / wb_token_ms (e->n);
  e->now_ms = now_ms;
}

/* Start S on E, after a prefill of PREFILL_TOKENS.  */
void
wb_engine_start (struct wb_engine *e, struct wb_stream *s,
                 double prefill_tokens, double now_ms)
{
  wb_engine_advance (e, now_ms);
  s->pos = e->n;
  e->stream[e->n++] = s;
  s->end_v = e->v + s->left_tokens
             + prefill_tokens * WB_PREFILL_TOKEN_MS / wb_token_ms (e->n);
}

/* Stop S on E and save its remaining tokens.  */
void
wb_engine_stop (struct wb_engine *e, struct wb_stream *s, double now_ms)
{
  wb_engine_advance (e, now_ms);
  s->left_tokens = s->end_v - e->v;
  e->stream[s->pos] = e->stream[--e->n];
  e->stream[s->pos]->pos = s->pos;
}

/* The time at which the next stream of E ends, and in OUT that stream.
   INFINITY if none runs.  */
double
wb_engine_next_ms (const struct wb_engine *e, struct wb_stream **out)
{
  double end_v = INFINITY;
  double left;

  if (e->stopped || e->n == 0)
    return INFINITY;
  for (uint32_t i = 0; i < e->n; i++)
    if (e->stream[i]->end_v < end_v)
      {
        end_v = e->stream[i]->end_v;
        *out = e->stream[i];
      }
  left = end_v > e->v ? end_v - e->v : 0;
  return e->now_ms + left * wb_token_ms (e->n) / e->speed;
}

/* Use PREFIX on E.  Returns whether it was cached, and in EVICTED the prefix
   that was evicted for it, or 0.  */
bool
wb_engine_prefix (struct wb_engine *e, uint64_t prefix, uint64_t *evicted)
{
  uint32_t i = 0;
  bool hit;

  *evicted = 0;
  while (i < WB_CACHE_PREFIXES - 1 && e->prefix[i] != prefix)
    i++;
  hit = e->prefix[i] == prefix;
  if (!hit)
    *evicted = e->prefix[i];
  memmove (&e->prefix[1], &e->prefix[0], i * sizeof e->prefix[0]);
  e->prefix[0] = prefix;
  return hit;
}
