/* Changes of the members of services.

   Members are homes of non-idempotent requests.  An entry that has not yet
   learnt of a change sends a key to its old home, while one that has sends
   the same key to the new one: the request would run twice.  So a change
   counts only for keys issued after a time by which nobody trusts the old
   list any longer; keys issued before stay with the previous members.  */
#include "config/service_members.h"

#include <string.h>

static bool
same (const GPtrArray *a, const GPtrArray *b)
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
settle_one (const struct wy_config_service_options *o,
            const struct wy_service_config *old, struct wy_service_config *s,
            int64_t now_ms, GString *why)
{
  if (same (old->members, s->members))
    {
      copy_names (s->previous, old->previous);
      s->effective_ms = old->effective_ms;
      return 0;
    }
  /* Only one earlier list is kept, so a second change must wait until the
     first counts everywhere.  */
  if (now_ms < old->effective_ms)
    {
      g_string_append_printf (why,
                              "the members of service %s are changing; a "
                              "further change can be made in %lld ms",
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

/* A service that was taken out and put in again with other members would have
   no previous ones, and count at once.  So it is taken out only after all its
   members have been, and that counts everywhere.  */
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
                              "service %s still has members; take them out "
                              "first and wait until that counts",
                              s->name);
      return WY_CONFIG_ECONFLICT;
    }
  return 0;
}

/* Set the previous members and the times of all services of AFTER, which is
   to follow BEFORE.  Returns 0, or WY_CONFIG_ECONFLICT with the reason in
   WHY.  */
int
wy_roster_settle (const struct wy_config_service_options *o,
                  const struct wy_document *before, struct wy_document *after,
                  GString *why)
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
        err = settle_one (o, old, s, now_ms, why);
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
