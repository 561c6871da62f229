/* How fast the targets generate, as placement asks for it.

   A target can report little load and answer its heartbeats while its streams
   crawl.  The pace is told every few tokens and not at the end, since the
   slowest streams end last.  A rollout that its agent holds back in favour of
   callers says nothing about the target; it shows as one long gap, and the
   tokens around it are left out.  */
#include "entry/token_latency.h"

#include <string.h>

enum
{
  TOKENS_PER_MARK = 8,
  /* Twenty times the usual time of a token on a full engine.  */
  GAP_US = 500000,
  /* An event ends with an empty line.  */
  NEWLINES_PER_TOKEN = 2
};

static void
mark (struct wy_request *r, int64_t now_us)
{
  r->pace_from_us = now_us;
  r->pace_newlines = 0;
}

/* The answer of R begins.  */
void
wy_pace_begin (struct wy_request *r)
{
  int64_t now_us = wy_clock_mono_us (r->entry->clock);

  r->pace_last_us = now_us;
  mark (r, now_us);
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

/* The N bytes at P of R's answer arrived.  */
void
wy_pace_chunk (struct wy_request *r, const char *p, size_t n)
{
  int64_t now_us;
  uint32_t tokens;

  if (!r->pool->is_model || !r->placed)
    return;
  now_us = wy_clock_mono_us (r->entry->clock);
  if (now_us - r->pace_last_us > GAP_US
      && r->request_class == WY_REQUEST_ROLLOUT)
    mark (r, now_us);
  else
    r->pace_newlines += newlines (p, n);
  r->pace_last_us = now_us;
  tokens = r->pace_newlines / NEWLINES_PER_TOKEN;
  if (tokens < TOKENS_PER_MARK)
    return;
  wy_placement_token_latency (r->pool->place, r->slot,
                              (uint32_t)((now_us - r->pace_from_us) / tokens),
                              now_us / WY_US_PER_MS);
  mark (r, now_us);
}
