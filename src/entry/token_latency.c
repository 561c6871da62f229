/* Token latency of the targets, measured for placement.

   A target can report little load and send its heartbeats while its streams
   are slow.  The latency is reported every few tokens rather than at the end
   of a response, since the slowest streams end last.  When an agent pauses a
   rollout in favour of callers, that says nothing about the target's speed; it
   shows as one long gap, and the tokens around the gap are left out.  */
#include "entry/token_latency.h"

#include <string.h>

enum
{
  TOKENS_PER_WINDOW = 8,
  /* Twenty times the usual token latency of an engine at capacity.  */
  GAP_US = 500000,
  /* An event has one line and an empty line after it.  */
  NEWLINES_PER_TOKEN = 2
};

static void
start_window (struct wy_request *r, int64_t now_us)
{
  r->latency_window_start_us = now_us;
  r->latency_window_newlines = 0;
}

/* The response of R begins or is resumed.  */
void
wy_token_latency_begin (struct wy_request *r)
{
  int64_t now_us = wy_clock_mono_us (r->entry->clock);

  r->last_chunk_us = now_us;
  start_window (r, now_us);
}

static uint32_t
newlines (const char *p, size_t n)
{
  const char *end = p + n;
  uint32_t found = 0;

  while ((p = memchr (p, '\n', (size_t)(end - p))) != NULL)
    {
      found++;
      p++;
    }
  return found;
}

/* N bytes at P of R's response arrived.  */
void
wy_token_latency_chunk (struct wy_request *r, const char *p, size_t n)
{
  int64_t now_us;
  uint32_t tokens;

  if (!r->pool->is_model || !r->placed)
    return;
  now_us = wy_clock_mono_us (r->entry->clock);
  if (now_us - r->last_chunk_us > GAP_US
      && r->request_class == WY_REQUEST_ROLLOUT)
    start_window (r, now_us);
  else
    r->latency_window_newlines += newlines (p, n);
  r->last_chunk_us = now_us;
  tokens = r->latency_window_newlines / NEWLINES_PER_TOKEN;
  if (tokens < TOKENS_PER_WINDOW)
    return;
  wy_placement_token_latency (
      r->pool->placement, r->slot,
      (uint32_t)((now_us - r->latency_window_start_us) / tokens),
      now_us / WY_US_PER_MS);
  start_window (r, now_us);
}
