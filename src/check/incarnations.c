/* Which incarnations of processes recorded an orderly stop.

   A killed process may have lost its last events, so an invariant that is
   judged by the absence of an event is checked only for incarnations that
   recorded process.stop.  */
#include "check/incarnations.h"

#include <string.h>

struct incarnation
{
  char *id;
  char *role;
  bool stopped;
};

struct wy_incarnations
{
  GHashTable *by_key; /* struct incarnation by "process/incarnation" */
};

static void
free_incarnation (gpointer p)
{
  struct incarnation *inc = p;

  g_free (inc->id);
  g_free (inc->role);
  g_free (inc);
}

/* "process/incarnation" of E.  */
char *
wy_event_incarnation (const struct wy_event *e)
{
  return g_strdup_printf ("%s/%s", e->process, e->incarnation);
}

/* "process/incarnation/value", with the text of E's field KEY.  */
char *
wy_event_incarnation_field (const struct wy_event *e, const char *key)
{
  return g_strdup_printf ("%s/%s/%s", e->process, e->incarnation,
                          wy_event_text (e, key));
}

/* The incarnations of T.  */
struct wy_incarnations *
wy_incarnations_new (const struct wy_timeline *t)
{
  struct wy_incarnations *l = g_new0 (struct wy_incarnations, 1);

  l->by_key = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                     free_incarnation);
  for (guint i = 0; i < t->events->len; i++)
    {
      const struct wy_event *e = t->events->pdata[i];
      char *key = wy_event_incarnation (e);
      struct incarnation *inc = g_hash_table_lookup (l->by_key, key);

      if (inc)
        g_free (key);
      else
        {
          inc = g_new0 (struct incarnation, 1);
          inc->id = g_strdup (e->incarnation);
          inc->role = g_strdup ("");
          g_hash_table_insert (l->by_key, key, inc);
        }
      if (!strcmp (e->name, "process.start"))
        {
          g_free (inc->role);
          inc->role = g_strdup (wy_event_text (e, "role"));
        }
      inc->stopped = inc->stopped || !strcmp (e->name, "process.stop");
    }
  return l;
}

void
wy_incarnations_free (struct wy_incarnations *l)
{
  g_hash_table_destroy (l->by_key);
  g_free (l);
}

/* Whether the incarnation that recorded E has recorded process.stop.  */
bool
wy_incarnations_stopped (const struct wy_incarnations *l,
                         const struct wy_event *e)
{
  char *key = wy_event_incarnation (e);
  const struct incarnation *inc = g_hash_table_lookup (l->by_key, key);

  g_free (key);
  return inc && inc->stopped;
}

static bool
any_killed (const struct wy_incarnations *l, const char *id, const char *role)
{
  GHashTableIter it;
  gpointer p;

  g_hash_table_iter_init (&it, l->by_key);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      const struct incarnation *inc = p;

      if (!inc->stopped && (!id || !strcmp (inc->id, id))
          && (!role || !strcmp (inc->role, role)))
        return true;
    }
  return false;
}

/* Whether INCARNATION, of whatever process, was killed.  */
bool
wy_incarnations_killed (const struct wy_incarnations *l,
                        const char *incarnation)
{
  return any_killed (l, incarnation, NULL);
}

/* Whether an incarnation of ROLE was killed.  */
bool
wy_incarnations_role_killed (const struct wy_incarnations *l, const char *role)
{
  return any_killed (l, NULL, role);
}
