/* Failure detection from heartbeats in a store.

   Silence is accumulated between successful reads instead of being measured
   from the last heartbeat: otherwise all peers would appear failed after an
   outage of the store or a pause of the reader.  */
#include "decide/liveness.h"

/* Record a successful read at NOW_MS that returned the heartbeat at VERSION.
 */
void
wy_liveness_observe (struct wy_liveness *l, int64_t now_ms, int64_t version)
{
  int64_t passed_ms = now_ms - l->read_ms;

  if (l->read_ms == 0 || passed_ms > WY_LIVENESS_GAP_MS
      || version != l->version)
    l->silent_ms = 0;
  else
    l->silent_ms += passed_ms;
  l->read_ms = now_ms;
  l->version = version;
}

/* Whether the next heartbeat of the peer is overdue.  */
bool
wy_liveness_is_late (const struct wy_liveness *l)
{
  return l->silent_ms >= WY_LIVENESS_LATE_MS;
}

/* Whether the peer has been silent long enough to be considered failed.  */
bool
wy_liveness_has_failed (const struct wy_liveness *l)
{
  return l->silent_ms >= WY_LIVENESS_FAILED_MS;
}
