/* Order, size and pace of weight activation.

   Swapping all replicas at once stops all callers for the length of a swap;
   one after another takes minutes at thousands of replicas, and samples grow
   stale.  */
#include "decide/waves.h"

#include <math.h>

/* A swap of staged weights stops a replica for about this long.  */
#define SWAP_MS 500
/* Staged ahead, all replicas should change within this time.  */
#define WINDOW_MS 6000
/* Callers' load on the replicas that stay may rise to this share of their
   capacity.  */
#define LOAD_MAX 0.8

/* How many of REPLICAS may swap at the same time: what the window needs, but
   no more than leaves the rest under LOAD_MAX, and at least one.  Callers
   come before the window; under their full load the swap takes longer.  */
uint32_t
wy_wave_size (const struct wy_wave_options *o, uint32_t replicas)
{
  uint32_t swap_ms = o->swap_ms ? o->swap_ms : SWAP_MS;
  uint32_t window_ms = o->window_ms ? o->window_ms : WINDOW_MS;
  uint32_t waves = window_ms > swap_ms ? window_ms / swap_ms : 1;
  uint32_t need = (replicas + waves - 1) / waves;
  double spare = 1 - o->load_share / LOAD_MAX;
  uint32_t may = spare > 0 ? (uint32_t)floor (spare * replicas) : 0;

  if (replicas == 0)
    return 0;
  if (may < 1)
    may = 1;
  return need < may ? need : may;
}

static bool
better (const struct wy_wave_replica *a, const struct wy_wave_replica *b)
{
  if (a->callers != b->callers)
    return a->callers < b->callers;
  return a->remaining_tokens < b->remaining_tokens;
}

static bool
ready (const struct wy_wave_replica *r)
{
  return r->staged && !r->done && !r->failed;
}

/* Put replica I into the N best of OUT, which are in order.  */
static uint32_t
insert (const struct wy_wave_replica *r, uint32_t *out, uint32_t n,
        uint32_t max, uint32_t i)
{
  uint32_t at = n < max ? n : max - 1;

  if (n == max && !better (&r[i], &r[out[at]]))
    return n;
  while (at > 0 && better (&r[i], &r[out[at - 1]]))
    {
      out[at] = out[at - 1];
      at--;
    }
  out[at] = i;
  return n < max ? n + 1 : n;
}

/* Fill OUT with the replicas among the N of R to swap next while SWAPPING
   are at it; how many.  Replicas with few callers first: callers of the
   others may have ended when their turn comes.  Among equals, those whose
   samples end soonest, for these stay whole in one version.  */
uint32_t
wy_wave_next (const struct wy_wave_options *o, const struct wy_wave_replica *r,
              uint32_t n, uint32_t swapping, uint32_t *out, uint32_t out_max)
{
  uint32_t size = wy_wave_size (o, n);
  uint32_t max = size > swapping ? size - swapping : 0;
  uint32_t got = 0;

  if (max > out_max)
    max = out_max;
  for (uint32_t i = 0; i < n && max > 0; i++)
    if (ready (&r[i]))
      got = insert (r, out, got, max, i);
  return got;
}

/* Start P at BYTES_PER_S with BURST_BYTES saved.  */
void
wy_token_bucket_init (struct wy_token_bucket *p, uint64_t bytes_per_s,
                      uint64_t burst_bytes, int64_t now_ms)
{
  p->bytes_per_s = bytes_per_s;
  p->burst_bytes = burst_bytes;
  p->saved_bytes = (double)burst_bytes;
  p->seen_ms = now_ms;
}

/* Take SIZE_BYTES from the budget of the weight store: 0 when they may be
   read now, else the milliseconds to wait, with nothing taken.  A size over
   the burst goes through when the budget is full, and leaves a debt.  */
uint32_t
wy_token_bucket_take (struct wy_token_bucket *p, uint64_t size_bytes,
                      int64_t now_ms)
{
  double need
      = (double)(size_bytes < p->burst_bytes ? size_bytes : p->burst_bytes);

  if (now_ms > p->seen_ms)
    p->saved_bytes
        += (double)p->bytes_per_s * (double)(now_ms - p->seen_ms) / 1000;
  p->seen_ms = now_ms;
  if (p->saved_bytes > (double)p->burst_bytes)
    p->saved_bytes = (double)p->burst_bytes;
  if (p->saved_bytes >= need)
    {
      p->saved_bytes -= (double)size_bytes;
      return 0;
    }
  if (p->bytes_per_s == 0)
    return UINT32_MAX;
  return (uint32_t)ceil ((need - p->saved_bytes) * 1000
                         / (double)p->bytes_per_s);
}

/* The replica from which replica I gets staged weights, -1 for the weight
   store.  The first ROOTS replicas read from the store.  */
int32_t
wy_relay_parent (uint32_t i, uint32_t fan_out, uint32_t roots)
{
  if (i < roots || fan_out == 0)
    return -1;
  return (int32_t)((i - roots) / fan_out);
}

/* The children of replica I among N: FIRST and how many.  */
uint32_t
wy_relay_children (uint32_t i, uint32_t fan_out, uint32_t roots, uint32_t n,
                   uint32_t *first)
{
  uint64_t from = roots + (uint64_t)i * fan_out;

  *first = (uint32_t)from;
  if (from >= n)
    return 0;
  return from + fan_out <= n ? fan_out : (uint32_t)(n - from);
}
