/* Invariant "order" on the order in which processes record events: a process
   starts before it works, and the second event of a pair (an outage and its
   end) never comes without the first.  Leases that are accepted or released
   without being acquired violate "fencing".  */
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
      char *incarnation_key = wy_event_incarnation (e);
      bool known = g_hash_table_contains (seen, incarnation_key);
      bool starts = wy_event_is (e, "process.start");

      if (starts && known)
        wy_check_violation (c, "order", e, NULL, "%s started twice",
                            incarnation_key);
      if (!starts && !known)
        wy_check_violation (c, "order", e, NULL,
                            "%s recorded an event before it started",
                            incarnation_key);
      if (g_hash_table_contains (stopped, incarnation_key))
        wy_check_violation (c, "order", e, NULL,
                            "%s recorded an event after it stopped",
                            incarnation_key);
      if (wy_event_is (e, "process.stop"))
        g_hash_table_add (stopped, g_strdup (incarnation_key));
      /* Only entries are checked: an agent detects that it is ready in its
         next periodic check, and accepts work before.  */
      if (wy_event_is (e, "request.received")
          && !g_hash_table_contains (ready, incarnation_key))
        {
          wy_check_violation (c, "order", e, NULL,
                              "%s accepted a request before it was ready",
                              incarnation_key);
          g_hash_table_add (ready, g_strdup (incarnation_key));
        }
      if (wy_event_is (e, "process.ready"))
        g_hash_table_add (ready, g_strdup (incarnation_key));
      g_hash_table_add (seen, incarnation_key);
    }
  g_hash_table_destroy (stopped);
  g_hash_table_destroy (ready);
  g_hash_table_destroy (seen);
}

/* A pair of events, of which the second requires the first.  */
struct pair
{
  const char *first;
  const char *second;
  const char *key;   /* field that both share; NULL: none */
  bool same_process; /* both come from the same incarnation */
  bool must_follow;  /* the second must come before process.stop */
  bool counted;      /* each first needs a second; else one second
                        ends all */
};

static const struct pair pairs[] = {
  { "target.leaving", "target.left", "target", true, true, false },
  { "store.outage", "store.back", NULL, true, false, false },
  { "fault.injected", "fault.cleared", "target", true, false, true },
  { "run.paused", "run.resumed", "run", false, false, false },
};

/* Firsts that have no second yet.  */
struct unmatched
{
  guint n;
  struct wy_event *last;
};

static struct unmatched *
unmatched_of (GHashTable *all, const struct pair *p, const struct wy_event *e)
{
  char *key = !p->key           ? wy_event_incarnation (e)
              : p->same_process ? wy_event_incarnation_field (e, p->key)
                                : g_strdup (wy_event_text (e, p->key));
  struct unmatched *o = g_hash_table_lookup (all, key);

  if (o)
    {
      g_free (key);
      return o;
    }
  o = g_new0 (struct unmatched, 1);
  g_hash_table_insert (all, key, o);
  return o;
}

static void
verify_pair (struct wy_check *c, const struct wy_incarnations *incarnations,
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
      struct unmatched *o;

      if (!first && !wy_event_is (e, p->second))
        continue;
      o = unmatched_of (all, p, e);
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
      const struct unmatched *o = v;

      if (o->n && wy_incarnations_stopped (incarnations, o->last))
        wy_check_violation (c, "order", o->last, NULL, "%s without %s",
                            p->first, p->second);
    }
  g_hash_table_destroy (all);
}

/* An agent records when its target comes up and goes down, and runs nothing
   while it is not up.  A target that responds after its connection broke is
   recorded as up once more, without target.down.  */
static void
verify_targets (struct wy_check *c)
{
  GHashTable *up
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      char *incarnation_key = wy_event_incarnation (e);
      const struct wy_event *before
          = g_hash_table_lookup (up, incarnation_key);

      if (wy_event_is (e, "target.up"))
        g_hash_table_replace (up, g_strdup (incarnation_key), e);
      else if (wy_event_is (e, "target.down"))
        {
          if (!before)
            wy_check_violation (c, "order", e, NULL,
                                "target %s went down and was not up",
                                wy_event_text (e, "target"));
          g_hash_table_remove (up, incarnation_key);
        }
      else if (wy_event_is (e, "run.start") && !before)
        wy_check_violation (c, "order", e, NULL,
                            "a run started on target %s, which was not up",
                            wy_event_text (e, "target"));
      g_free (incarnation_key);
    }
  g_hash_table_destroy (up);
}

static char *
lease_key (const struct wy_event *e)
{
  return g_strdup_printf ("%s/%" G_GINT64_FORMAT, wy_event_text (e, "lease"),
                          wy_event_number (e, "fence", -1));
}

/* A fencing token that is accepted was acquired before, and its lease is
   released once at most.  A holder that was killed may have recorded
   neither.  */
static void
verify_leases (struct wy_check *c, const struct wy_incarnations *incarnations)
{
  GHashTable *acquired
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTable *released
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  bool may_be_unrecorded = wy_incarnations_role_killed (incarnations, "entry")
                           || !wy_check_has (c, "lease.acquired");

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      char *key = lease_key (e);
      bool was_acquired = g_hash_table_contains (acquired, key);

      if (wy_event_is (e, "lease.acquired"))
        g_hash_table_add (acquired, g_strdup (key));
      else if (wy_event_is (e, "fence.accepted") && !was_acquired
               && !may_be_unrecorded)
        wy_check_violation (c, "fencing", e, NULL,
                            "fencing token %s was accepted and never "
                            "acquired",
                            key);
      else if (wy_event_is (e, "lease.released"))
        {
          if (!was_acquired)
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
  g_hash_table_destroy (acquired);
}

void
wy_verify_order (struct wy_check *c)
{
  struct wy_incarnations *incarnations = wy_incarnations_new (c->timeline);

  verify_starts (c);
  for (size_t i = 0; i < G_N_ELEMENTS (pairs); i++)
    verify_pair (c, incarnations, &pairs[i]);
  verify_targets (c);
  verify_leases (c, incarnations);
  wy_incarnations_free (incarnations);
}
