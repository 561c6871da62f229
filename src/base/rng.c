/* SplitMix64.  */
#include "base/rng.h"

/* The same SEED gives the same sequence.  */
void
wy_rng_seed (struct wy_rng *r, uint64_t seed)
{
  r->s = seed;
}

/* The next 64 bits.  */
uint64_t
wy_rng_u64 (struct wy_rng *r)
{
  uint64_t z = (r->s += UINT64_C (0x9e3779b97f4a7c15));

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

/* A random number from 0 to N - 1; N must not be 0.  */
uint32_t
wy_rng_below (struct wy_rng *r, uint32_t n)
{
  return (uint32_t)(((wy_rng_u64 (r) >> 32) * n) >> 32);
}

/* A random number in [0, 1).  */
double
wy_rng_unit (struct wy_rng *r)
{
  return (double)(wy_rng_u64 (r) >> 11) * 0x1p-53;
}
