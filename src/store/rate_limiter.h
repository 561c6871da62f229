/* Rate limit for the calls to the store: a token bucket.  */
#ifndef WY_STORE_RATE_LIMITER_H
#define WY_STORE_RATE_LIMITER_H

#include <stdint.h>

struct wy_rate_limiter
{
  uint32_t per_s;
  uint32_t burst;
  double tokens; /* one per call */
  int64_t updated_ms;
};

void wy_rate_limiter_init (struct wy_rate_limiter *r, uint32_t per_s,
                           uint32_t burst, int64_t now_ms);
uint32_t wy_rate_limiter_take (struct wy_rate_limiter *r, int64_t now_ms);

#endif
