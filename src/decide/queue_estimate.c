/* Expected duration of a run and expected wait of a caller.  */
#include <stddef.h>

#include "decide/queue.h"

static uint32_t
us_per_token (const struct wy_queue *q, uint32_t streams)
{
  return (uint32_t)(q->slowness
                    * (q->o.token_base_us
                       + (double)q->o.token_per_stream_us * streams));
}

/* Expected milliseconds from now until IT ends if it runs without
   interruption.  */
uint32_t
wy_queue_expected_run_ms (const struct wy_queue *q,
                          const struct wy_queue_item *it)
{
  uint32_t streams = q->running_callers.n + q->running_rollouts.n + 1;
  uint64_t us;
  uint32_t uncached;

  if (q->o.kind == WY_QUEUE_SERVICE)
    return (uint32_t)(q->slowness * q->o.service_ms);
  if (streams > q->o.streams_max)
    streams = q->o.streams_max;
  uncached = it->prompt_tokens > it->cached_tokens
                 ? it->prompt_tokens - it->cached_tokens
                 : 0;
  us = (uint64_t)uncached * q->o.prefill_token_us;
  if (it->predicted_tokens > it->tokens)
    us += (uint64_t)(it->predicted_tokens - it->tokens)
          * us_per_token (q, streams);
  return (uint32_t)(us / 1000);
}

/* Expected wait in milliseconds of a caller that arrives now.  Rollouts are
   paused immediately, so only callers count; the mean duration of their runs
   is measured.  */
uint32_t
wy_queue_expected_wait_ms (const struct wy_queue *q, int64_t now_ms)
{
  uint32_t before = q->callers.n + q->suspects.n;
  double each;

  (void)now_ms;
  if (!q->isolated && before == 0 && q->running_callers.n < q->o.streams_max)
    return 0;
  each = q->caller_ms > 0 ? q->caller_ms : q->o.service_ms;
  return (uint32_t)(each * (before + 1) / q->o.streams_max);
}

/* Store the load of the target in OUT.  */
void
wy_queue_load (const struct wy_queue *q, int64_t now_ms,
               struct wy_queue_load *out)
{
  uint64_t caller_kv = q->kv_used_tokens - q->kv_paused_tokens;

  out->callers_running = q->running_callers.n;
  out->callers_waiting = q->callers.n + q->suspects.n;
  out->rollouts_running = q->running_rollouts.n;
  out->rollouts_waiting = q->rollouts_waiting + q->rollouts_paused;
  out->streams_max = q->o.streams_max;
  out->kv_free_tokens = caller_kv < q->o.kv_tokens_max
                            ? (uint32_t)(q->o.kv_tokens_max - caller_kv)
                            : 0;
  out->caller_wait_ms = wy_queue_expected_wait_ms (q, now_ms);
  out->us_per_token
      = us_per_token (q, q->running_callers.n + q->running_rollouts.n);
  out->closing = q->closing;
}
