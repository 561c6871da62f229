/* Rolling activation of weights, in waves.

   Activating weights on all replicas at once would stop all callers meanwhile;
   one after another would take minutes with thousands of replicas, during
   which samples become stale.  */
#include "decide/waves.h"

#include <math.h>

/* Activation of staged weights stops a replica for about this long.  */
#define ACTIVATION_MS 500
/* All replicas should activate staged weights within this time.  */
#define WINDOW_MS 6000
/* Callers' load on the other replicas may reach this share of their
   capacity.  */
#define LOAD_MAX 0.8

/* How many of REPLICAS may activate weights concurrently: as many as the
   window requires, but at least one and no more than keeps the load of the
   others below LOAD_MAX.  Callers have precedence over the window, so the
   activation takes longer under full load.  */
uint32_t
wy_wave_size (const struct wy_wave_options *o, uint32_t replicas)
{
  uint32_t swap_ms = o->swap_ms ? o->swap_ms : ACTIVATION_MS;
  uint32_t window_ms = o->window_ms ? o->window_ms : WINDOW_MS;
  uint32_t waves = window_ms > swap_ms ? window_ms / swap_ms : 1;
  uint32_t required = (replicas + waves - 1) / waves;
  double spare = 1 - o->load_share / LOAD_MAX;
  uint32_t limit = spare > 0 ? (uint32_t)floor (spare * replicas) : 0;

  if (replicas == 0)
    return 0;
  if (limit < 1)
    limit = 1;
  return required < limit ? required : limit;
}

static bool
precedes (const struct wy_wave_replica *a, const struct wy_wave_replica *b)
{
  if (a->callers != b->callers)
    return a->callers < b->callers;
  return a->remaining_tokens < b->remaining_tokens;
}

static bool
can_activate (const struct wy_wave_replica *r)
{
  return r->staged && !r->done && !r->failed;
}

/* Insert replica I into OUT, the sorted list of the N replicas to activate
   first, MAX at most.  Returns the new length.  */
static uint32_t
insert (const struct wy_wave_replica *r, uint32_t *out, uint32_t n,
        uint32_t max, uint32_t i)
{
  uint32_t at = n < max ? n : max - 1;

  if (n == max && !precedes (&r[i], &r[out[at]]))
    return n;
  while (at > 0 && precedes (&r[i], &r[out[at - 1]]))
    {
      out[at] = out[at - 1];
      at--;
    }
  out[at] = i;
  return n < max ? n + 1 : n;
}

/* Store in OUT the replicas among the N in R that activate weights next while
   ACTIVATING others do.  Returns their number.  Replicas with few callers go
   first, as the requests of the others may have ended later; among equals,
   those whose samples end first, as these samples then use only one
   version.  */
uint32_t
wy_wave_next (const struct wy_wave_options *o, const struct wy_wave_replica *r,
              uint32_t n, uint32_t activating, uint32_t *out, uint32_t out_max)
{
  uint32_t size = wy_wave_size (o, n);
  uint32_t max = size > activating ? size - activating : 0;
  uint32_t got = 0;

  if (max > out_max)
    max = out_max;
  for (uint32_t i = 0; i < n && max > 0; i++)
    if (can_activate (&r[i]))
      got = insert (r, out, got, max, i);
  return got;
}

/* Initialize B with BYTES_PER_S and a capacity of BURST_BYTES, full.  */
void
wy_token_bucket_init (struct wy_token_bucket *b, uint64_t bytes_per_s,
                      uint64_t burst_bytes, int64_t now_ms)
{
  b->bytes_per_s = bytes_per_s;
  b->burst_bytes = burst_bytes;
  b->available_bytes = (double)burst_bytes;
  b->updated_ms = now_ms;
}

/* Take SIZE_BYTES from B.  Returns 0, or the milliseconds to wait if not
   enough is available, with nothing taken; UINT32_MAX if the rate is 0.  A
   size beyond the capacity is granted when B is full, and makes it negative.
 */
uint32_t
wy_token_bucket_take (struct wy_token_bucket *b, uint64_t size_bytes,
                      int64_t now_ms)
{
  double need
      = (double)(size_bytes < b->burst_bytes ? size_bytes : b->burst_bytes);

  if (now_ms > b->updated_ms)
    b->available_bytes
        += (double)b->bytes_per_s * (double)(now_ms - b->updated_ms) / 1000;
  b->updated_ms = now_ms;
  if (b->available_bytes > (double)b->burst_bytes)
    b->available_bytes = (double)b->burst_bytes;
  if (b->available_bytes >= need)
    {
      b->available_bytes -= (double)size_bytes;
      return 0;
    }
  if (b->bytes_per_s == 0)
    return UINT32_MAX;
  return (uint32_t)ceil ((need - b->available_bytes) * 1000
                         / (double)b->bytes_per_s);
}

/* The replica from which replica I gets the weights to be staged, in a tree
   with FAN_OUT children per replica; -1 for the weight store.  The first ROOTS
   replicas read from the store.  */
int32_t
wy_relay_parent (uint32_t i, uint32_t fan_out, uint32_t roots)
{
  if (i < roots || fan_out == 0)
    return -1;
  return (int32_t)((i - roots) / fan_out);
}

/* The children of replica I in a tree of N.  Stores the first in FIRST and
   returns their number.  */
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
