/* Homes: the one target that may run a non-idempotent request.

   Such a request may reach this system twice, through two entries whose
   instance lists differ.  Were each entry free to choose, two targets would
   run it and neither would know.  The home is therefore computed from the
   request's identifier and the members that the configuration names.  Entries
   choose by this function and agents check by it, so both hash alike.  */
#include "config/home.h"

#include <string.h>

#include "base/id.h"
#include "decide/placement.h"

enum
{
  /* Members looked at; a service with more uses the first in order of name,
     the same at every process.  */
  MEMBERS_MAX = 1024
};

static const char *
pick (const GPtrArray *members, const char *id)
{
  uint64_t ids[MEMBERS_MAX];
  uint32_t n = 0;
  int i;

  for (; n < members->len && n < MEMBERS_MAX; n++)
    ids[n] = wy_hash64 (members->pdata[n], strlen (members->pdata[n]), 0);
  i = wy_placement_rendezvous (wy_hash64 (id, strlen (id), 0), ids, n);
  return i < 0 ? NULL : members->pdata[i];
}

/* The home of request ID of S that was issued at ISSUED_MS of wall time, or
   NULL when S names no members.  A change of members counts for requests
   issued after it only, so that a request sent again keeps its home.  */
const char *
wy_service_home (const struct wy_service_config *s, const char *id,
                 int64_t issued_ms)
{
  if (issued_ms < s->effective_ms && s->previous->len > 0)
    return pick (s->previous, id);
  return pick (s->members, id);
}

/* The home that ID had before the last change of members, or NULL.  */
const char *
wy_service_previous_home (const struct wy_service_config *s, const char *id)
{
  return pick (s->previous, id);
}
