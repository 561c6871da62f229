/* Home of a key among the members of a list.  */
#include "base/id.h"
#include "decide/placement.h"

/* The index of the member that is home to KEY, by highest random weight: two
   entries with the same list agree without talking, and a change of the list
   moves only the keys of the member that changed.  WY_DECIDE_ENONE for an
   empty list.  */
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
