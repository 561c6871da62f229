/* Rolling activation of weights on the replicas of a model, and rate limit and
   distribution tree for staging them.  */
#ifndef WY_DECIDE_WAVES_H
#define WY_DECIDE_WAVES_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/errors.h"

struct wy_wave_replica
{
  uint32_t az;
  uint32_t callers;          /* callers' requests running on it */
  uint32_t remaining_tokens; /* of the longest sample running on it */
  bool staged;
  bool done; /* has activated the weights */
  bool failed;
};

struct wy_wave_options
{
  uint32_t swap_ms;   /* duration of one activation; 0: default */
  uint32_t window_ms; /* in which all replicas should activate; 0: default */
  double load_share;  /* callers' load / capacity of all replicas */
};

/* Rate limit for reading from the weight store.  */
struct wy_token_bucket
{
  uint64_t bytes_per_s;
  uint64_t burst_bytes;
  double available_bytes;
  int64_t updated_ms;
};

uint32_t wy_wave_size (const struct wy_wave_options *o, uint32_t replicas);
uint32_t wy_wave_next (const struct wy_wave_options *o,
                       const struct wy_wave_replica *r, uint32_t n,
                       uint32_t activating, uint32_t *out, uint32_t out_max);
void wy_token_bucket_init (struct wy_token_bucket *b, uint64_t bytes_per_s,
                           uint64_t burst_bytes, int64_t now_ms);
uint32_t wy_token_bucket_take (struct wy_token_bucket *b, uint64_t size_bytes,
                               int64_t now_ms);
int32_t wy_relay_parent (uint32_t i, uint32_t fan_out, uint32_t roots);
uint32_t wy_relay_children (uint32_t i, uint32_t fan_out, uint32_t roots,
                            uint32_t n, uint32_t *first);

#endif
