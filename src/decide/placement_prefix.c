/* Which targets hold which prompt prefix in their cache.

   Engines publish cache events late and with gaps, so the table also notes
   where this entry sent a prefix, and forgets what it has not heard of for a
   while.  A wrong note costs one prefill.  */
#include "decide/placement_state.h"

/* Caches are small against the traffic; after this time without use the
   prefix is likely gone.  */
#define PREFIX_TTL_MS 60000

static struct wy_prefix *
set_of (const struct wy_placement *p, uint64_t hash)
{
  uint64_t i = hash % p->o.prefix_slots;

  return &p->prefix[i * WY_PREFIX_WAYS];
}

/* Note that SLOT holds HASH; the note not renewed longest gives way.  */
void
wy_prefix_note (struct wy_placement *p, uint64_t hash, uint32_t slot,
                int64_t now_ms)
{
  struct wy_prefix *set = set_of (p, hash);
  struct wy_prefix *old = &set[0];

  for (uint32_t i = 0; i < WY_PREFIX_WAYS; i++)
    {
      if (set[i].hash == hash && set[i].slot == slot)
        {
          old = &set[i];
          break;
        }
      if (set[i].hash == 0 || set[i].seen_ms < old->seen_ms)
        old = &set[i];
    }
  old->hash = hash;
  old->slot = slot;
  old->seen_ms = now_ms;
}

/* Forget that SLOT holds HASH.  */
void
wy_prefix_drop (struct wy_placement *p, uint64_t hash, uint32_t slot)
{
  struct wy_prefix *set = set_of (p, hash);

  for (uint32_t i = 0; i < WY_PREFIX_WAYS; i++)
    if (set[i].hash == hash && set[i].slot == slot)
      set[i] = (struct wy_prefix){ 0 };
}

/* Fill OUT with the slots believed to hold HASH; how many.  */
uint32_t
wy_prefix_holders (const struct wy_placement *p, uint64_t hash, int64_t now_ms,
                   uint32_t out[WY_PREFIX_WAYS])
{
  const struct wy_prefix *set = set_of (p, hash);
  uint32_t n = 0;

  if (hash == 0)
    return 0;
  for (uint32_t i = 0; i < WY_PREFIX_WAYS; i++)
    if (set[i].hash == hash && now_ms - set[i].seen_ms < PREFIX_TTL_MS)
      out[n++] = set[i].slot;
  return n;
}
