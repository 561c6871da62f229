/* Pacing of calls: a bucket that fills at a steady rate.  */
#ifndef WY_STORE_RATE_LIMITER_H
#define WY_STORE_RATE_LIMITER_H

#include <stdint.h>

struct wy_rate
{
  uint32_t per_s;
  uint32_t burst;
  double saved;
  int64_t seen_ms;
};

void wy_rate_init (struct wy_rate *r, uint32_t per_s, uint32_t burst,
                   int64_t now_ms);
uint32_t wy_rate_take (struct wy_rate *r, int64_t now_ms);

#endif
