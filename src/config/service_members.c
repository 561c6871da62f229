/* Changes of the members of services.

   Members are the homes of non-idempotent requests.  An entry that has not yet
   received a change sends a request to its old home, while one that has sends
   the same request to the new one, and it would run twice.  A change therefore
   applies only to requests issued after a time by which no process uses the
   old list any more; requests issued earlier stay with the previous
   members.  */
#include "config/service_members.h"

#include <string.h>

static bool
same_names (const GPtrArray *a, const GPtrArray *b)
{
  if (a->len != b->len)
    return false;
  for (guint i = 0; i < a->len; i++)
    if (strcmp (a->pdata[i], b->pdata[i]) != 0)
      return false;
  return true;
}

static void
copy_names (GPtrArray *to, const GPtrArray *from)
{
  g_ptr_array_set_size (to, 0);
  for (guint i = 0; i < from->len; i++)
    g_ptr_array_add (to, g_strdup (from->pdata[i]));
}

static int
schedule_change (const struct wy_config_service_options *o,
                 const struct wy_service_config *old,
                 struct wy_service_config *s, int64_t now_ms, GString *why)
{
  if (same_names (old->members, s->members))
    {
      copy_names (s->previous, old->previous);
      s->effective_ms = old->effective_ms;
      return 0;
    }
  /* Only one previous list is stored, so a further change must wait until the
     pending one is in effect everywhere.  */
  if (now_ms < old->effective_ms)
    {
      g_string_append_printf (why,
                              "a change of the members of service %s takes "
                              "effect in %lld ms; no other is possible "
                              "before",
                              s->name,
                              (long long)(old->effective_ms - now_ms));
      return WY_CONFIG_ECONFLICT;
    }
  copy_names (s->previous, old->members);
  s->effective_ms = now_ms + o->roster_trust_ms;
  if (o->acknowledged && o->acknowledged (o->ctx, old, s))
    s->effective_ms = now_ms;
  return 0;
}

/* Check that services removed from the document have no members.  A service
   that is removed and added again with other members would have no previous
   ones, and the new ones would be used at once.  So it can be removed only
   after its members have been and that change is in effect.  */
static int
check_removed (const struct wy_document *before,
               const struct wy_document *after, int64_t now_ms, GString *why)
{
  for (guint i = 0; i < before->services->len; i++)
    {
      const struct wy_service_config *s = before->services->pdata[i];

      if (wy_document_service (after, s->name)
          || (s->members->len == 0 && now_ms >= s->effective_ms))
        continue;
      g_string_append_printf (why,
                              "service %s still has members; remove them "
                              "first and wait until that is in effect",
                              s->name);
      return WY_CONFIG_ECONFLICT;
    }
  return 0;
}

/* Set previous and effective_ms of all services of AFTER, the document that
   replaces BEFORE.  Returns 0, or WY_CONFIG_ECONFLICT with the reason appended
   to WHY.  */
int
wy_service_members_schedule (const struct wy_config_service_options *o,
                             const struct wy_document *before,
                             struct wy_document *after, GString *why)
{
  int64_t now_ms = wy_clock_wall_ms (o->clock);

  if (check_removed (before, after, now_ms, why))
    return WY_CONFIG_ECONFLICT;

  for (guint i = 0; i < after->services->len; i++)
    {
      struct wy_service_config *s = after->services->pdata[i];
      const struct wy_service_config *old
          = wy_document_service (before, s->name);
      int err = 0;

      if (old)
        err = schedule_change (o, old, s, now_ms, why);
      else
        {
          g_ptr_array_set_size (s->previous, 0);
          s->effective_ms = 0;
        }
      if (err)
        return err;
    }
  return 0;
}
