/* Deterministic choice of the targets an entry is connected to.

   For thousands of targets and tens of entries: if each entry were connected
   to each target, every target would exchange heartbeats with all entries.  By
   rendezvous hashing each entry gets its own subset without coordination, the
   subsets of all entries together load the targets evenly, and adding or
   removing one target changes one connection.  The best target of each
   availability zone is always included, so that the entry still has a target
   when all other zones fail.  */
#include "entry/subset.h"

#include <stdlib.h>
#include <string.h>

#include "base/id.h"

static int
by_weight (const void *a, const void *b)
{
  const struct wy_subset_item *x = a;
  const struct wy_subset_item *y = b;

  if (x->weight != y->weight)
    return x->weight > y->weight ? -1 : 1;
  return strcmp (x->id, y->id);
}

static bool
zone_seen (const struct wy_subset_item *items, size_t i)
{
  for (size_t k = 0; k < i; k++)
    if (!strcmp (items[k].availability_zone, items[i].availability_zone))
      return true;
  return false;
}

/* Mark SIZE of the N ITEMS as chosen by ENTRY, at least one of each
   availability zone even if there are more zones than SIZE.  Sorts the
   items.  */
void
wy_subset_choose (const char *entry, struct wy_subset_item *items, size_t n,
                  size_t size)
{
  uint64_t seed = wy_hash64 (entry, strlen (entry), 0);
  size_t chosen = 0;

  for (size_t i = 0; i < n; i++)
    {
      items[i].weight = wy_hash64 (items[i].id, strlen (items[i].id), seed);
      items[i].chosen = false;
    }
  qsort (items, n, sizeof *items, by_weight);
  for (size_t i = 0; i < n; i++)
    if (!zone_seen (items, i))
      {
        items[i].chosen = true;
        chosen++;
      }
  for (size_t i = 0; i < n && chosen < size; i++)
    if (!items[i].chosen)
      {
        items[i].chosen = true;
        chosen++;
      }
}
