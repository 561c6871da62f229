/* The home of a non-idempotent request: the one target that may run it.

   A request may arrive twice, through two entries with different instance
   lists.  If each entry chose freely, two targets could run it, neither
   knowing of the other.  The home is therefore computed by rendezvous hashing
   from the request id and the members named in the configuration.  Entries
   route by this function and agents check by it, so both compute the same.  */
#include "config/home.h"

#include <string.h>

#include "base/id.h"
#include "decide/placement.h"

enum
{
  /* Of a service with more members only the first by name are used, the same
     ones in every process.  */
  MEMBERS_MAX = 1024
};

static const char *
pick_home (const GPtrArray *members, const char *id)
{
  uint64_t ids[MEMBERS_MAX];
  uint32_t n = 0;
  int i;

  for (; n < members->len && n < MEMBERS_MAX; n++)
    ids[n] = wy_hash64 (members->pdata[n], strlen (members->pdata[n]), 0);
  i = wy_placement_rendezvous (wy_hash64 (id, strlen (id), 0), ids, n);
  return i < 0 ? NULL : members->pdata[i];
}

/* The home of request ID to service S, issued at the wall-clock time
   ISSUED_MS; NULL if S has no members.  A change of members applies only to
   requests issued after it took effect, so that a retried request keeps its
   home.  */
const char *
wy_service_home (const struct wy_service_config *s, const char *id,
                 int64_t issued_ms)
{
  if (issued_ms < s->effective_ms && s->previous->len > 0)
    return pick_home (s->previous, id);
  return pick_home (s->members, id);
}

/* The home of request ID before the last change of members of S, or NULL.  */
const char *
wy_service_previous_home (const struct wy_service_config *s, const char *id)
{
  return pick_home (s->previous, id);
}
