/* Which incarnations of processes ended in good order.

   What a killed process was about to note is missing from its timeline, so a
   promise that is judged by the absence of an event holds only for those that
   said they stopped.  */
#include "check/incarnations.h"

#include <string.h>

struct life
{
  char *incarnation;
  char *role;
  bool ended;
};

struct wy_lives
{
  GHashTable *lives; /* struct life by "process/incarnation" */
};

static void
free_life (gpointer p)
{
  struct life *l = p;

  g_free (l->incarnation);
  g_free (l->role);
  g_free (l);
}

/* "process/incarnation" of E.  */
char *
wy_event_life (const struct wy_event *e)
{
  return g_strdup_printf ("%s/%s", e->process, e->incarnation);
}

/* The same, with the text of E's field KEY.  */
char *
wy_event_life_key (const struct wy_event *e, const char *key)
{
  return g_strdup_printf ("%s/%s/%s", e->process, e->incarnation,
                          wy_event_text (e, key));
}

/* The incarnations of T.  */
struct wy_lives *
wy_lives_new (const struct wy_timeline *t)
{
  struct wy_lives *l = g_new0 (struct wy_lives, 1);

  l->lives
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_life);
  for (guint i = 0; i < t->events->len; i++)
    {
      const struct wy_event *e = t->events->pdata[i];
      char *key = wy_event_life (e);
      struct life *one = g_hash_table_lookup (l->lives, key);

      if (one)
        g_free (key);
      else
        {
          one = g_new0 (struct life, 1);
          one->incarnation = g_strdup (e->incarnation);
          one->role = g_strdup ("");
          g_hash_table_insert (l->lives, key, one);
        }
      if (!strcmp (e->name, "process.start"))
        {
          g_free (one->role);
          one->role = g_strdup (wy_event_text (e, "role"));
        }
      one->ended = one->ended || !strcmp (e->name, "process.stop");
    }
  return l;
}

void
wy_lives_free (struct wy_lives *l)
{
  g_hash_table_destroy (l->lives);
  g_free (l);
}

/* Whether the incarnation that noted E stopped in good order.  */
bool
wy_lives_ended (const struct wy_lives *l, const struct wy_event *e)
{
  char *key = wy_event_life (e);
  const struct life *one = g_hash_table_lookup (l->lives, key);

  g_free (key);
  return one && one->ended;
}

static bool
any_killed (const struct wy_lives *l, const char *incarnation,
            const char *role)
{
  GHashTableIter it;
  gpointer p;

  g_hash_table_iter_init (&it, l->lives);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      const struct life *one = p;

      if (!one->ended
          && (!incarnation || !strcmp (one->incarnation, incarnation))
          && (!role || !strcmp (one->role, role)))
        return true;
    }
  return false;
}

/* Whether INCARNATION, of whatever process, was killed.  */
bool
wy_lives_killed (const struct wy_lives *l, const char *incarnation)
{
  return any_killed (l, incarnation, NULL);
}

/* Whether an incarnation of ROLE was killed.  */
bool
wy_lives_any_killed (const struct wy_lives *l, const char *role)
{
  return any_killed (l, NULL, role);
}
