/* Highest fencing token seen for each lease.

   An order with a token lower than the highest comes from a holder that lost
   its lease while it was paused.  It is rejected here, since not every engine
   does so.

   After a restart no highest token is known, so any order could be stale.  The
   first order under a lease is therefore sent back.  Its sender checks that it
   still holds the lease, which reveals a lost lease, and repeats the order.
   The repetition must have been sent after the reply arrived; it could
   otherwise be another order already in transit.  A PONG to a PING sent after
   the reply proves this, since a connection preserves order.  */
#include "agent/fence.h"

#include <glib.h>

struct fence
{
  int64_t highest; /* 0: none accepted by this incarnation */
  /* The order that was sent back: its connection, and the last PING sent on it
     before.  */
  uint64_t sender;
  uint64_t sent_seq;
};

struct wy_fences
{
  GHashTable *leases; /* struct fence by lease name */
};

/* Create an empty set of fencing tokens.  */
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

/* Check an order with the token FENCE under LEASE.  SENDER is the connection
   that it came on, PONG_SEQ the last PING on it that was answered and SENT_SEQ
   the last PING sent on it.  */
enum wy_fence_verdict
wy_fences_check (struct wy_fences *f, const char *lease, int64_t fence,
                 uint64_t sender, uint64_t pong_seq, uint64_t sent_seq)
{
  struct fence *x = get (f, lease);

  if (fence <= 0 || fence < x->highest)
    return WY_FENCE_STALE;
  if (x->highest == 0 && (x->sender != sender || pong_seq <= x->sent_seq))
    {
      if (x->sender != sender)
        {
          x->sender = sender;
          x->sent_seq = sent_seq;
        }
      return WY_FENCE_CONFIRM;
    }
  x->highest = fence;
  return WY_FENCE_ACCEPT;
}

/* Raise the highest token of LEASE to FENCE, which was learned elsewhere, such
   as from the engine.  */
void
wy_fences_raise (struct wy_fences *f, const char *lease, int64_t fence)
{
  struct fence *x = get (f, lease);

  if (fence > x->highest)
    x->highest = fence;
}

/* Return the highest token accepted under LEASE; 0 if none.  */
int64_t
wy_fences_highest (const struct wy_fences *f, const char *lease)
{
  const struct fence *x = g_hash_table_lookup (f->leases, lease);

  return x ? x->highest : 0;
}
