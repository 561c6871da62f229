/* Rate limit for the calls to the store.

   The table service handles a few hundred writes and about two thousand reads
   a second for all processes together.  A process that sends all its waiting
   calls when the store is back from an outage exceeds that limit, and the
   rejections cause retries in addition.  A limit at the sender keeps each
   process within its share, however many calls are waiting.  */
#include "store/rate_limiter.h"

#include <math.h>

#include "base/clock.h"

/* Initialize R, with the full burst available.  */
void
wy_rate_limiter_init (struct wy_rate_limiter *r, uint32_t per_s,
                      uint32_t burst, int64_t now_ms)
{
  r->per_s = per_s;
  r->burst = burst;
  r->tokens = burst;
  r->updated_ms = now_ms;
}

/* Take one call out of R.  Returns 0 if it may be sent now, otherwise the
   milliseconds after which to try again; then nothing is taken.  */
uint32_t
wy_rate_limiter_take (struct wy_rate_limiter *r, int64_t now_ms)
{
  if (now_ms > r->updated_ms)
    {
      r->tokens += (double)(now_ms - r->updated_ms) * r->per_s / WY_MS_PER_S;
      r->updated_ms = now_ms;
    }
  if (r->tokens > r->burst)
    r->tokens = r->burst;
  if (r->tokens >= 1)
    {
      r->tokens -= 1;
      return 0;
    }
  return (uint32_t)ceil ((1 - r->tokens) * WY_MS_PER_S / r->per_s);
}
