/* Invariants on the order of what processes say of themselves: they start
   before they work, what is left was announced, what is regained was lost,
   what holds was taken.  */
#include <string.h>

#include "check/incarnations.h"
#include "check/invariants.h"

static void
verify_starts (struct wy_check *c)
{
  GHashTable *seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTable *ready
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTable *stopped
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      char *life = wy_event_life (e);
      bool known = g_hash_table_contains (seen, life);
      bool starts = wy_event_is (e, "process.start");

      if (starts && known)
        wy_check_violation (c, "order", e, NULL, "%s started twice", life);
      if (!starts && !known)
        wy_check_violation (c, "order", e, NULL,
                            "%s did something before it started", life);
      if (g_hash_table_contains (stopped, life))
        wy_check_violation (c, "order", e, NULL,
                            "%s did something after it stopped", life);
      if (wy_event_is (e, "process.stop"))
        g_hash_table_add (stopped, g_strdup (life));
      /* Agents find out with their next sweep that they are ready, and take
         work before it.  */
      if (wy_event_is (e, "request.received")
          && !g_hash_table_contains (ready, life))
        {
          wy_check_violation (c, "order", e, NULL,
                              "%s took a request before it was ready", life);
          g_hash_table_add (ready, g_strdup (life));
        }
      if (wy_event_is (e, "process.ready"))
        g_hash_table_add (ready, g_strdup (life));
      g_hash_table_add (seen, life);
    }
  g_hash_table_destroy (stopped);
  g_hash_table_destroy (ready);
  g_hash_table_destroy (seen);
}

/* A pair of events of which the second needs the first.  */
struct pair
{
  const char *first;
  const char *second;
  const char *key;   /* field that joins them; NULL: none */
  bool same_process; /* and both of one incarnation */
  bool must_follow;  /* the second comes if the process stops in order */
  bool counted;      /* as many seconds as firsts; else one ends them all */
};

static const struct pair pairs[] = {
  { "target.leaving", "target.left", "target", true, true, false },
  { "store.outage", "store.back", NULL, true, false, false },
  { "fault.injected", "fault.cleared", "target", true, false, true },
  { "run.paused", "run.resumed", "run", false, false, false },
};

/* Firsts that await their second.  */
struct open
{
  guint n;
  struct wy_event *last;
};

static struct open *
open_of (GHashTable *all, const struct pair *p, const struct wy_event *e)
{
  char *key = !p->key           ? wy_event_life (e)
              : p->same_process ? wy_event_life_key (e, p->key)
                                : g_strdup (wy_event_text (e, p->key));
  struct open *o = g_hash_table_lookup (all, key);

  if (o)
    {
      g_free (key);
      return o;
    }
  o = g_new0 (struct open, 1);
  g_hash_table_insert (all, key, o);
  return o;
}

static void
verify_pair (struct wy_check *c, const struct wy_lives *lives,
             const struct pair *p)
{
  GHashTable *all
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  GHashTableIter it;
  gpointer v;

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      bool first = wy_event_is (e, p->first);
      struct open *o;

      if (!first && !wy_event_is (e, p->second))
        continue;
      o = open_of (all, p, e);
      o->last = e;
      if (first)
        o->n = p->counted ? o->n + 1 : 1;
      else if (o->n > 0)
        o->n--;
      else
        wy_check_violation (c, "order", e, NULL, "%s without %s", p->second,
                            p->first);
    }
  g_hash_table_iter_init (&it, all);
  while (p->must_follow && g_hash_table_iter_next (&it, NULL, &v))
    {
      const struct open *o = v;

      if (o->n && wy_lives_ended (lives, o->last))
        wy_check_violation (c, "order", o->last, NULL, "%s without %s",
                            p->first, p->second);
    }
  g_hash_table_destroy (all);
}

/* An agent notes when its target comes up and when it goes, and runs nothing
   on one that is not up.  A target that was doubted after a broken connection
   and answers is noted as up once more.  */
static void
verify_targets (struct wy_check *c)
{
  GHashTable *up
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      char *life = wy_event_life (e);
      const struct wy_event *before = g_hash_table_lookup (up, life);

      if (wy_event_is (e, "target.up"))
        g_hash_table_replace (up, g_strdup (life), e);
      else if (wy_event_is (e, "target.down"))
        {
          if (!before)
            wy_check_violation (c, "order", e, NULL,
                                "target %s went and was not up",
                                wy_event_text (e, "target"));
          g_hash_table_remove (up, life);
        }
      else if (wy_event_is (e, "run.start") && !before)
        wy_check_violation (c, "order", e, NULL,
                            "a run on %s, which was not up",
                            wy_event_text (e, "target"));
      g_free (life);
    }
  g_hash_table_destroy (up);
}

static char *
lease_key (const struct wy_event *e)
{
  return g_strdup_printf ("%s/%" G_GINT64_FORMAT, wy_event_text (e, "lease"),
                          wy_event_number (e, "fence", -1));
}

/* A fence that is accepted was acquired by somebody, and is let go of once.
   A holder that is killed may not have noted either.  */
static void
verify_leases (struct wy_check *c, const struct wy_lives *lives)
{
  GHashTable *held
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTable *released
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  bool unsure = wy_lives_any_killed (lives, "entry")
                || !wy_check_has (c, "lease.acquired");

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      char *key = lease_key (e);
      bool is_held = g_hash_table_contains (held, key);

      if (wy_event_is (e, "lease.acquired"))
        g_hash_table_add (held, g_strdup (key));
      else if (wy_event_is (e, "fence.accepted") && !is_held && !unsure)
        wy_check_violation (c, "fencing", e, NULL,
                            "fence %s was accepted and never acquired", key);
      else if (wy_event_is (e, "lease.released"))
        {
          if (!is_held)
            wy_check_violation (c, "fencing", e, NULL,
                                "lease %s was released and never acquired",
                                key);
          if (!g_hash_table_add (released, g_strdup (key)))
            wy_check_violation (c, "fencing", e, NULL,
                                "lease %s was released twice", key);
        }
      g_free (key);
    }
  g_hash_table_destroy (released);
  g_hash_table_destroy (held);
}

void
wy_verify_order (struct wy_check *c)
{
  struct wy_lives *lives = wy_lives_new (c->timeline);

  verify_starts (c);
  for (size_t i = 0; i < G_N_ELEMENTS (pairs); i++)
    verify_pair (c, lives, &pairs[i]);
  verify_targets (c);
  verify_leases (c, lives);
  wy_lives_free (lives);
}
