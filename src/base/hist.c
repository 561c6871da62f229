/* Log-linear histogram.  */
#include "base/hist.h"

static uint32_t
bucket_of (uint64_t v)
{
  uint32_t shift;

  if (v < (1U << WY_HIST_SUB_BITS))
    return (uint32_t)v;
  shift = 63 - (uint32_t)__builtin_clzll (v) - WY_HIST_SUB_BITS;
  return ((shift + 1) << WY_HIST_SUB_BITS)
         + (uint32_t)((v >> shift) - (1U << WY_HIST_SUB_BITS));
}

static uint64_t
bucket_top (uint32_t i)
{
  uint32_t shift = i >> WY_HIST_SUB_BITS;
  uint64_t sub = i & ((1U << WY_HIST_SUB_BITS) - 1);

  if (shift == 0)
    return sub;
  shift--;
  return ((sub + (1U << WY_HIST_SUB_BITS) + 1) << shift) - 1;
}

void
wy_hist_add (struct wy_hist *h, uint64_t v)
{
  h->n++;
  h->sum += v;
  if (v > h->max)
    h->max = v;
  h->count[bucket_of (v)]++;
}

/* The quantile Q, from 0 to 1; 0 if H is empty.  */
uint64_t
wy_hist_quantile (const struct wy_hist *h, double q)
{
  uint64_t want = (uint64_t)(q * (double)h->n);
  uint64_t seen = 0;

  if (h->n == 0)
    return 0;
  if (want >= h->n)
    want = h->n - 1;
  for (uint32_t i = 0; i < WY_HIST_BUCKETS; i++)
    {
      seen += h->count[i];
      if (seen > want)
        return bucket_top (i) < h->max ? bucket_top (i) : h->max;
    }
  return h->max;
}

/* Arithmetic mean; 0 if H is empty.  */
double
wy_hist_mean (const struct wy_hist *h)
{
  return h->n ? (double)h->sum / (double)h->n : 0;
}
