/* Continuous batching: each step makes one token for every running stream and
   takes longer the more streams run.  All streams are accepted; those without
   a slot or KV memory wait in order of arrival.  */
#include "standin/engine_batch.h"

#include "base/clock.h"

enum
{
  /* Steps missed by more than this while the process was stopped are skipped,
     as a real engine makes no tokens while it is stopped.  */
  CATCH_UP_MAX_US = 50000
};

/* Initialise B without streams.  */
void
wy_engine_batch_init (struct wy_engine_batch *b,
                      const struct wy_engine_batch_options *o)
{
  *b = (struct wy_engine_batch){ .o = *o };
  wy_engine_cache_init (&b->cache, &o->cache);
  for (int i = 0; i < 3; i++)
    g_queue_init (&b->queue[i]);
}

/* Free S, which must not be in a batch.  */
void
wy_engine_stream_free (struct wy_engine_stream *s)
{
  g_free (s->request_id);
  g_free (s->run);
  g_free (s->nonce);
  g_free (s->prompt);
  g_free (s->prefix_name);
  g_array_free (s->segments, TRUE);
  g_free (s);
}

/* Return the segments of S as a JSON array.  */
json_t *
wy_engine_segments_json (const struct wy_engine_stream *s)
{
  json_t *list = json_array ();

  for (guint i = 0; i < s->segments->len; i++)
    {
      struct wy_engine_segment g
          = g_array_index (s->segments, struct wy_engine_segment, i);

      json_array_append_new (list, json_pack ("{s:I, s:i, s:i}", "version",
                                              (json_int_t)g.version, "from",
                                              (int)g.from, "to", (int)g.to));
    }
  return list;
}

static void
move_to_queue (struct wy_engine_batch *b, struct wy_engine_stream *s,
               enum wy_engine_stream_state to)
{
  g_queue_unlink (&b->queue[s->state], &s->link);
  s->state = to;
  g_queue_push_tail_link (&b->queue[to], &s->link);
}

/* Queue S for a slot, whatever the load.  */
void
wy_engine_batch_add (struct wy_engine_batch *b, struct wy_engine_stream *s)
{
  s->link.data = s;
  s->state = WY_ENGINE_WAITING;
  g_queue_push_tail_link (&b->queue[WY_ENGINE_WAITING], &s->link);
}

static void
release_kv (struct wy_engine_batch *b, struct wy_engine_stream *s)
{
  b->kv_used -= s->kv;
  s->kv = 0;
  if (s->prefix)
    wy_engine_cache_release (&b->cache, s->prefix);
  s->prefix = NULL;
}

/* Remove S from the batch and release its KV memory.  */
void
wy_engine_batch_remove (struct wy_engine_batch *b, struct wy_engine_stream *s)
{
  release_kv (b, s);
  g_queue_unlink (&b->queue[s->state], &s->link);
}

/* Pause S: it loses its slot but keeps its KV memory.  */
void
wy_engine_batch_pause (struct wy_engine_batch *b, struct wy_engine_stream *s)
{
  move_to_queue (b, s, WY_ENGINE_PAUSED);
}

/* Queue the paused stream S for a slot, ahead of all waiting streams.  */
void
wy_engine_batch_resume (struct wy_engine_batch *b, struct wy_engine_stream *s)
{
  if (s->state != WY_ENGINE_PAUSED)
    return;
  g_queue_unlink (&b->queue[WY_ENGINE_PAUSED], &s->link);
  s->state = WY_ENGINE_WAITING;
  g_queue_push_head_link (&b->queue[WY_ENGINE_WAITING], &s->link);
}

/* Allocate KV memory for N tokens, evicting cached prefixes as needed.  Return
   false if there is not enough.  */
static bool
take_kv (struct wy_engine_batch *b, uint32_t n, int64_t now_us)
{
  while (b->kv_used + n > b->o.kv_total)
    {
      uint32_t freed
          = wy_engine_cache_evict (&b->cache, now_us / WY_US_PER_MS);

      if (freed == 0)
        return false;
      b->kv_used -= freed;
    }
  b->kv_used += n;
  return true;
}

/* Allocate KV memory for the prompt of S and set the time its prefill ends;
   only the part that is not cached needs prefill.  */
static bool
admit (struct wy_engine_batch *b, struct wy_engine_stream *s, int64_t now_us)
{
  uint32_t prefix_tokens = MIN (
      s->prompt_tokens, wy_engine_token_count (WY_ENGINE_PREFIX_SIZE_BYTES));
  uint32_t own = s->prompt_tokens - prefix_tokens + s->next;
  uint32_t prefill = own;

  if (s->kv || s->prefix)
    return true; /* resumed with its KV memory */
  s->prefix = wy_engine_cache_use (&b->cache, s->prefix_name);
  if (!s->prefix)
    {
      if (!take_kv (b, prefix_tokens, now_us))
        return false;
      s->prefix = wy_engine_cache_store (&b->cache, s->prefix_name,
                                         prefix_tokens, now_us / WY_US_PER_MS);
      prefill += prefix_tokens;
    }
  if (!take_kv (b, own, now_us))
    {
      wy_engine_cache_release (&b->cache, s->prefix);
      s->prefix = NULL;
      return false;
    }
  s->kv = own;
  if (!s->prefilled)
    s->ready_us = now_us
                  + (int64_t)((double)prefill * b->o.prefill_token_us
                              / b->o.time_scale);
  s->prefilled = false;
  return true;
}

static void
admit_waiting (struct wy_engine_batch *b, int64_t now_us)
{
  GQueue *waiting = &b->queue[WY_ENGINE_WAITING];

  while (waiting->length > 0
         && b->queue[WY_ENGINE_RUNNING].length < b->o.batch_max)
    {
      struct wy_engine_stream *s = waiting->head->data;

      if (!admit (b, s, now_us))
        return;
      move_to_queue (b, s, WY_ENGINE_RUNNING);
    }
}

static void
add_token (struct wy_engine_batch *b, struct wy_engine_stream *s)
{
  struct wy_engine_segment fresh = { b->version, s->next, s->next + 1 };
  struct wy_engine_segment *last = NULL;

  if (s->segments->len > 0)
    last = &g_array_index (s->segments, struct wy_engine_segment,
                           s->segments->len - 1);
  if (last && last->version == b->version)
    last->to++;
  else
    g_array_append_val (s->segments, fresh);
  s->next++;
  b->o.on_token (s, b->o.ctx);
}

/* Make one token for each running stream whose prefill is done and for which
   there is KV memory.  Return whether any stream made progress or is in
   prefill.  */
static bool
make_tokens (struct wy_engine_batch *b, int64_t now_us)
{
  bool progress = false;
  GList *prev;

  /* Youngest first, so that the oldest stall when memory is short.  */
  for (GList *l = b->queue[WY_ENGINE_RUNNING].tail; l; l = prev)
    {
      struct wy_engine_stream *s = l->data;

      prev = l->prev;
      if (s->ready_us > now_us)
        {
          progress = true;
          continue;
        }
      if (!take_kv (b, 1, now_us))
        continue;
      s->kv++;
      progress = true;
      add_token (b, s);
      if (s->next < s->total)
        continue;
      wy_engine_batch_remove (b, s);
      b->o.on_done (s, b->o.ctx);
    }
  return progress;
}

/* Resolve a deadlock in which no running stream gets KV memory: preempt the
   youngest, which computes its KV state again later.  */
static void
preempt_youngest (struct wy_engine_batch *b)
{
  struct wy_engine_stream *s
      = g_queue_peek_tail (&b->queue[WY_ENGINE_RUNNING]);

  if (!s)
    return;
  release_kv (b, s);
  g_queue_unlink (&b->queue[WY_ENGINE_RUNNING], &s->link);
  s->state = WY_ENGINE_WAITING;
  g_queue_push_head_link (&b->queue[WY_ENGINE_WAITING], &s->link);
}

static int64_t
step_us (const struct wy_engine_batch *b, int64_t slow_us)
{
  double us = b->o.token_base_us
              + (double)b->o.token_per_stream_us
                    * b->queue[WY_ENGINE_RUNNING].length;

  return (int64_t)(us / b->o.time_scale) + slow_us;
}

/* Run all steps that end by NOW_US, each lengthened by SLOW_US.  Return the
   time at which the next step ends, or 0 if nothing runs.  */
int64_t
wy_engine_batch_advance (struct wy_engine_batch *b, int64_t now_us,
                         int64_t slow_us)
{
  if (b->step_at_us && b->step_at_us < now_us - CATCH_UP_MAX_US)
    b->step_at_us = now_us;
  while (b->step_at_us && b->step_at_us <= now_us)
    {
      if (!make_tokens (b, b->step_at_us))
        preempt_youngest (b);
      admit_waiting (b, b->step_at_us);
      if (b->queue[WY_ENGINE_RUNNING].length > 0)
        b->step_at_us += step_us (b, slow_us);
      else
        b->step_at_us = 0;
    }
  if (b->step_at_us == 0)
    {
      admit_waiting (b, now_us);
      if (b->queue[WY_ENGINE_RUNNING].length > 0)
        b->step_at_us = now_us + step_us (b, slow_us);
    }
  return b->step_at_us;
}

/* Make no tokens until UNTIL_US, as during a change of weights.  */
void
wy_engine_batch_stall (struct wy_engine_batch *b, int64_t until_us)
{
  if (b->step_at_us)
    b->step_at_us = MAX (b->step_at_us, until_us);
}

/* Use VERSION of the weights for all tokens from now on.  */
void
wy_engine_batch_swap (struct wy_engine_batch *b, int64_t version,
                      int64_t now_us)
{
  uint32_t freed;

  b->version = version;
  wy_engine_cache_clear (&b->cache, now_us / WY_US_PER_MS, &freed);
  b->kv_used -= freed;
}
