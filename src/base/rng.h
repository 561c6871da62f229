/* Seeded pseudorandom numbers for jitter and sampling; not cryptographically
   secure.  */
#ifndef WY_BASE_RNG_H
#define WY_BASE_RNG_H

#include <stdint.h>

struct wy_rng
{
  uint64_t s;
};

void wy_rng_seed (struct wy_rng *r, uint64_t seed);
uint64_t wy_rng_u64 (struct wy_rng *r);
uint32_t wy_rng_below (struct wy_rng *r, uint32_t n);
double wy_rng_unit (struct wy_rng *r);

#endif
