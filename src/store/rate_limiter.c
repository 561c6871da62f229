/* Pacing of calls.

   The table service handles a few hundred writes and about two thousand reads
   a second for all processes together.  A process that sends all it has when
   the store comes back from an outage drives it over its limit, and the
   refusals bring retries on top.  Pacing at the sender keeps each process
   inside its share whatever has piled up.  */
#include "store/rate_limiter.h"

#include <math.h>

#include "base/clock.h"

/* Start R full.  */
void
wy_rate_init (struct wy_rate *r, uint32_t per_s, uint32_t burst,
              int64_t now_ms)
{
  r->per_s = per_s;
  r->burst = burst;
  r->saved = burst;
  r->seen_ms = now_ms;
}

/* Take one call out of R: 0 when it may go now, else the milliseconds after
   which to ask again, with nothing taken.  */
uint32_t
wy_rate_take (struct wy_rate *r, int64_t now_ms)
{
  if (now_ms > r->seen_ms)
    {
      r->saved += (double)(now_ms - r->seen_ms) * r->per_s / WY_MS_PER_S;
      r->seen_ms = now_ms;
    }
  if (r->saved > r->burst)
    r->saved = r->burst;
  if (r->saved >= 1)
    {
      r->saved -= 1;
      return 0;
    }
  return (uint32_t)ceil ((1 - r->saved) * WY_MS_PER_S / r->per_s);
}
