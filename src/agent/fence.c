/* Highest fencing numbers seen, one for each lease.

   A number lower than the highest comes from a holder that lost its lease
   while it was paused, and is refused here, since not all engines do.  A
   fresh incarnation knows no highest number: any order could be a stale one
   that it would have refused before it restarted.  So the first order under
   a lease is sent back.  Its giver checks its lease and gives it again;
   that it did so after it had the answer, and not by orders already on their
   way, shows by a PONG to a PING sent after the answer, since a connection
   keeps its order.  A holder that has lost its lease finds out in that
   check.  */
#include "agent/fence.h"

#include <glib.h>

struct fence
{
  int64_t highest; /* 0: none accepted by this incarnation */
  /* The order that was sent back.  */
  uint64_t giver;
  uint64_t sent_seq;
};

struct wy_fences
{
  GHashTable *leases; /* of struct fence, by name */
};

/* No numbers.  */
struct wy_fences *
wy_fences_new (void)
{
  struct wy_fences *f = g_new0 (struct wy_fences, 1);

  f->leases = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return f;
}

static struct fence *
get (struct wy_fences *f, const char *lease)
{
  struct fence *x = g_hash_table_lookup (f->leases, lease);

  if (!x)
    {
      x = g_new0 (struct fence, 1);
      g_hash_table_insert (f->leases, g_strdup (lease), x);
    }
  return x;
}

/* Judge an order with FENCE under LEASE.  GIVER is the connection it came
   on, HEARD_SEQ the PING that its last PONG answered and SENT_SEQ the last
   PING sent on it.  */
enum wy_fence_verdict
wy_fences_offer (struct wy_fences *f, const char *lease, int64_t fence,
                 uint64_t giver, uint64_t heard_seq, uint64_t sent_seq)
{
  struct fence *x = get (f, lease);

  if (fence <= 0 || fence < x->highest)
    return WY_FENCE_STALE;
  if (x->highest == 0 && (x->giver != giver || heard_seq <= x->sent_seq))
    {
      if (x->giver != giver)
        {
          x->giver = giver;
          x->sent_seq = sent_seq;
        }
      return WY_FENCE_CONFIRM;
    }
  x->highest = fence;
  return WY_FENCE_ACCEPT;
}

/* FENCE under LEASE is known from elsewhere, such as the engine.  */
void
wy_fences_learn (struct wy_fences *f, const char *lease, int64_t fence)
{
  struct fence *x = get (f, lease);

  if (fence > x->highest)
    x->highest = fence;
}

/* The highest number accepted under LEASE, 0: none.  */
int64_t
wy_fences_highest (const struct wy_fences *f, const char *lease)
{
  const struct fence *x = g_hash_table_lookup (f->leases, lease);

  return x ? x->highest : 0;
}
