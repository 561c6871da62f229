/* Which targets have which prompt prefix in their cache.

   Cache events of engines arrive late and may be lost, so the table also
   records where this entry sent a prefix, and records expire.  A wrong one
   costs one prefill.  */
#include "decide/placement_state.h"

/* Caches are small compared with the traffic: a prefix not used for this long
   has probably been evicted.  */
#define PREFIX_TTL_MS 60000

static struct wy_placement_prefix *
set_of (const struct wy_placement *p, uint64_t hash)
{
  uint64_t i = hash % p->o.prefix_slots;

  return &p->prefix[i * WY_PLACEMENT_PREFIX_WAYS];
}

/* Record that SLOT has HASH in its cache, replacing the least recently renewed
   record of its set if that is full.  */
void
wy_placement_prefix_add (struct wy_placement *p, uint64_t hash, uint32_t slot,
                         int64_t now_ms)
{
  struct wy_placement_prefix *set = set_of (p, hash);
  struct wy_placement_prefix *oldest = &set[0];

  for (uint32_t i = 0; i < WY_PLACEMENT_PREFIX_WAYS; i++)
    {
      if (set[i].hash == hash && set[i].slot == slot)
        {
          oldest = &set[i];
          break;
        }
      if (set[i].hash == 0 || set[i].updated_ms < oldest->updated_ms)
        oldest = &set[i];
    }
  oldest->hash = hash;
  oldest->slot = slot;
  oldest->updated_ms = now_ms;
}

/* Remove the record that SLOT has HASH in its cache.  */
void
wy_placement_prefix_remove (struct wy_placement *p, uint64_t hash,
                            uint32_t slot)
{
  struct wy_placement_prefix *set = set_of (p, hash);

  for (uint32_t i = 0; i < WY_PLACEMENT_PREFIX_WAYS; i++)
    if (set[i].hash == hash && set[i].slot == slot)
      set[i] = (struct wy_placement_prefix){ 0 };
}

/* Store the slots that probably have HASH in their cache in OUT; returns their
   number.  */
uint32_t
wy_placement_prefix_holders (const struct wy_placement *p, uint64_t hash,
                             int64_t now_ms,
                             uint32_t out[WY_PLACEMENT_PREFIX_WAYS])
{
  const struct wy_placement_prefix *set = set_of (p, hash);
  uint32_t n = 0;

  if (hash == 0)
    return 0;
  for (uint32_t i = 0; i < WY_PLACEMENT_PREFIX_WAYS; i++)
    if (set[i].hash == hash && now_ms - set[i].updated_ms < PREFIX_TTL_MS)
      out[n++] = set[i].slot;
  return n;
}
