/* Home of a non-idempotent request: the one target that may run it, chosen by
   rendezvous hashing among the members of its service (see
   src/config/home.c).  */
#include "entry/home.h"

#include <string.h>

#include "config/home.h"

enum
{
  /* Identifiers drawn before the last one is used regardless of its home.
     With eight members, one of them available, about one request in 5000 gets
     there.  */
  DRAWS_MAX = 64
};

static const struct wy_service_config *
service_of (struct wy_entry *e, const char *service)
{
  return e->document ? wy_document_service (e->document, service) : NULL;
}

/* The home of request ID of SERVICE, issued at ISSUED_MS (wall clock; 0: now).
   NULL when the configuration has no members for SERVICE.  */
const char *
wy_home_of (struct wy_entry *e, const char *service, const char *id,
            int64_t issued_ms)
{
  const struct wy_service_config *c = service_of (e, service);

  if (!c)
    return NULL;
  if (issued_ms == 0)
    issued_ms = wy_clock_wall_ms (e->clock);
  return wy_service_home (c, id, issued_ms);
}

/* The home of ID before the last change of members, or NULL.  */
const char *
wy_home_previous (struct wy_entry *e, const char *service, const char *id)
{
  const struct wy_service_config *c = service_of (e, service);

  return c ? wy_service_previous_home (c, id) : NULL;
}

static bool
accepts_work (struct wy_entry *e, const char *target)
{
  const struct wy_peer *p
      = target ? g_hash_table_lookup (e->peers, target) : NULL;

  return p && p->ready && !p->leaving && !p->target_down;
}

/* Give R, which came without a key, an identifier whose home is connected and
   accepts work.  Nobody else can have sent a fresh identifier, so a suitable
   one may be drawn; then a member that is leaving or has failed costs no new
   request.  */
void
wy_home_draw_id (struct wy_request *r)
{
  struct wy_entry *e = r->entry;

  for (int i = 0; i < DRAWS_MAX; i++)
    {
      if (accepts_work (e, wy_home_of (e, r->name, r->id, r->issued_ms)))
        return;
      wy_id_new (e->clock, r->id);
    }
}
