/* A range of the replicas of a service in the order of their addresses.

   Orderers rank replicas by their addresses among those that accept work.  An
   entry that ranks them alike finds the replicas that load a model's versions
   without asking.  */
#include "gate/target_range.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "gate/targets.h"

struct wy_target_ranks
{
  const char *service;
  GArray *keys; /* uint64_t, ascending */
};

static void
add_target (void *ctx, const struct wy_target *g)
{
  struct wy_target_ranks *r = ctx;
  uint64_t key = wy_replica_address_key (&g->info.address);

  if (g->listed && !g->info.draining && !strcmp (g->info.service, r->service))
    g_array_append_val (r->keys, key);
}

static int
compare_keys (const void *a, const void *b)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;

  return x < y ? -1 : x > y;
}

/* Rank the ready targets of SERVICE, which must stay allocated.  */
struct wy_target_ranks *
wy_target_ranks_new (const struct wy_targets *t, const char *service)
{
  struct wy_target_ranks *r = g_new0 (struct wy_target_ranks, 1);

  r->service = service;
  r->keys = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  wy_targets_each (t, add_target, r);
  g_array_sort (r->keys, compare_keys);
  return r;
}

void
wy_target_ranks_free (struct wy_target_ranks *r)
{
  g_array_free (r->keys, TRUE);
  g_free (r);
}

uint32_t
wy_target_ranks_count (const struct wy_target_ranks *r)
{
  return r->keys->len;
}

/* Store in OUT the range of COUNT targets from the rank FIRST on.  Return
   false if there is none.  */
bool
wy_target_ranks_range (const struct wy_target_ranks *r, uint32_t first,
                       uint32_t count, struct wy_target_range *out)
{
  if (count == 0 || (uint64_t)first + count > r->keys->len)
    return false;
  out->first = g_array_index (r->keys, uint64_t, first);
  out->last = g_array_index (r->keys, uint64_t, first + count - 1);
  return true;
}

/* Whether G is in R.  */
bool
wy_target_range_has (const struct wy_target_range *r,
                     const struct wy_target *g)
{
  uint64_t key = wy_replica_address_key (&g->info.address);

  return key >= r->first && key <= r->last;
}
