/* Rendezvous hashing.  */
#include "base/id.h"
#include "decide/placement.h"

/* The index of the member in IDS, which has N elements, to which KEY is
   assigned.  Entries with the same list, in whatever order, choose the same
   member without communication, and adding or removing a member reassigns only
   its keys.  WY_DECIDE_ENONE for an empty list.  */
int
wy_placement_rendezvous (uint64_t key, const uint64_t *ids, uint32_t n)
{
  uint64_t best_weight = 0;
  int best = WY_DECIDE_ENONE;

  for (uint32_t i = 0; i < n; i++)
    {
      uint64_t weight = wy_hash64 (&ids[i], sizeof ids[i], key);

      if (best >= 0
          && (weight < best_weight
              || (weight == best_weight && ids[i] > ids[best])))
        continue;
      best_weight = weight;
      best = (int)i;
    }
  return best;
}
