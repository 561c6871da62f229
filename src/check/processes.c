/* Invariants on processes: leaving, graceful stop, configuration, fencing.  */
#include <string.h>

#include "check/incarnations.h"
#include "check/invariants.h"

enum
{
  /* A leaving target announces itself over open connections; two seconds
     cover a connection that has to be redialled once.  */
  LEAVING_LIMIT_MS = 2000,
  /* The operators' bound for a change to be in force on every process.  */
  IN_FORCE_LIMIT_MS = 8000
};

void
wy_verify_leaving (struct wy_check *c)
{
  GHashTable *leaving
      = g_hash_table_new (g_str_hash, g_str_equal); /* target -> event */

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      const char *target = wy_event_text (e, "target");
      const struct wy_event *left = g_hash_table_lookup (leaving, target);

      if (wy_event_is (e, "target.leaving") && !left)
        g_hash_table_insert (leaving, (char *)target, e);
      else if (wy_event_is (e, "target.up"))
        g_hash_table_remove (leaving, target);
      else if (wy_event_is (e, "run.start") && left
               && wy_event_ms (e) - wy_event_ms (left) > LEAVING_LIMIT_MS)
        wy_check_violation (c, "leaving", left, e,
                            "target %s got new work while leaving", target);
    }
  g_hash_table_destroy (leaving);
}

void
wy_verify_graceful_stop (struct wy_check *c)
{
  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];

      if (wy_event_is (e, "process.stop") && wy_event_number (e, "cut", 0) > 0)
        wy_check_violation (c, "graceful-stop", e, NULL,
                            "%s stopped and cut off %" G_GINT64_FORMAT
                            " requests",
                            e->process, wy_event_number (e, "cut", 0));
    }
}

/* One incarnation of an entry or agent, as far as configuration goes.  */
struct follower
{
  const char *process;
  const char *incarnation;
  GPtrArray *in_force; /* struct wy_event */
  int64_t ready_ms;    /* 0: never ready */
  int64_t last_ms;
  bool frozen;
  bool must; /* an entry or agent: it has to take each revision */
  int64_t highest;
};

static void
follower_free (gpointer p)
{
  struct follower *f = p;

  g_ptr_array_free (f->in_force, TRUE);
  g_free (f);
}

static struct follower *
follower_of (GHashTable *followers, const struct wy_event *e)
{
  char *key = g_strdup_printf ("%s/%s", e->process, e->incarnation);
  struct follower *f = g_hash_table_lookup (followers, key);

  if (f)
    {
      g_free (key);
      return f;
    }
  f = g_new0 (struct follower, 1);
  f->process = e->process;
  f->incarnation = e->incarnation;
  f->in_force = g_ptr_array_new ();
  g_hash_table_insert (followers, key, f);
  return f;
}

static void
note_follower (struct wy_check *c, struct follower *f, struct wy_event *e)
{
  int64_t revision;

  f->last_ms = wy_event_ms (e);
  if (wy_event_is (e, "process.start"))
    f->must = !strcmp (wy_event_text (e, "role"), "entry")
              || !strcmp (wy_event_text (e, "role"), "agent");
  if (!f->ready_ms && wy_event_is (e, "process.ready"))
    f->ready_ms = wy_event_ms (e);
  if (!wy_event_is (e, "config.in_force"))
    return;
  revision = wy_event_number (e, "revision", -1);
  if (revision < f->highest)
    wy_check_violation (c, "configuration", e, NULL,
                        "%s went back from revision %" G_GINT64_FORMAT
                        " to %" G_GINT64_FORMAT,
                        f->process, f->highest, revision);
  else
    f->highest = revision;
  g_ptr_array_add (f->in_force, e);
}

/* Tell whether F had REVISION or a later one in force by the stamp BY.  */
static bool
had_revision (const struct follower *f, int64_t revision, int64_t by_ms)
{
  for (guint i = 0; i < f->in_force->len; i++)
    {
      const struct wy_event *e = f->in_force->pdata[i];
      if (wy_event_ms (e) <= by_ms
          && wy_event_number (e, "revision", -1) >= revision)
        return true;
    }
  return false;
}

static void
verify_spread (struct wy_check *c, GHashTable *followers,
               const struct wy_event *accepted)
{
  int64_t revision = wy_event_number (accepted, "revision", -1);
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, followers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct follower *f = value;
      int64_t by_ms
          = MAX (wy_event_ms (accepted), f->ready_ms) + IN_FORCE_LIMIT_MS;

      if (f->frozen || (f->in_force->len == 0 && !f->must) || !f->ready_ms
          || f->last_ms < by_ms)
        continue;
      if (!had_revision (f, revision, by_ms))
        wy_check_violation (c, "configuration", accepted, NULL,
                            "revision %" G_GINT64_FORMAT
                            " was not in force on %s in time",
                            revision, f->process);
    }
}

static void
freeze (GHashTable *followers, const char *process)
{
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, followers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (!strcmp (((struct follower *)value)->process, process))
      ((struct follower *)value)->frozen = true;
}

/* A revision in force was accepted by somebody; an entry that is killed may
   not have noted it.  */
static void
verify_accepted (struct wy_check *c, GHashTable *accepted)
{
  struct wy_lives *lives = wy_lives_new (c->timeline);

  for (guint i = 0;
       i < c->timeline->events->len && !wy_lives_any_killed (lives, "entry");
       i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      gint64 revision = wy_event_number (e, "revision", -1);

      if (wy_event_is (e, "config.in_force") && revision > 0
          && !g_hash_table_contains (accepted, &revision))
        wy_check_violation (c, "configuration", e, NULL,
                            "revision %" G_GINT64_FORMAT
                            " is in force and nobody accepted it",
                            revision);
    }
  wy_lives_free (lives);
}

/* Each revision is accepted with one content, spreads to every process that
   lives through the bound, and is never followed by a lower one on any
   process.  A process that was frozen or cut off on purpose is not held to
   the bound, but is to the order.  */
void
wy_verify_configuration (struct wy_check *c)
{
  GHashTable *followers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, follower_free);
  GHashTable *digests = g_hash_table_new (g_int64_hash, g_int64_equal);
  GArray *revisions = g_array_new (FALSE, FALSE, sizeof (gint64));

  g_array_set_size (revisions, c->timeline->events->len);
  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      struct wy_event *before;
      gint64 *slot = &g_array_index (revisions, gint64, i);

      note_follower (c, follower_of (followers, e), e);
      if (wy_event_is (e, "fault.injected"))
        freeze (followers, wy_event_text (e, "target"));
      if (!wy_event_is (e, "config.accepted"))
        continue;
      *slot = wy_event_number (e, "revision", -1);
      before = g_hash_table_lookup (digests, slot);
      if (before
          && strcmp (wy_event_text (before, "digest"),
                     wy_event_text (e, "digest"))
                 != 0)
        wy_check_violation (c, "configuration", before, e,
                            "revision %" G_GINT64_FORMAT
                            " was accepted with two contents",
                            *slot);
      g_hash_table_insert (digests, slot, e);
    }
  verify_accepted (c, digests);
  for (guint i = 0; i < c->timeline->events->len; i++)
    if (wy_event_is (c->timeline->events->pdata[i], "config.accepted"))
      verify_spread (c, followers, c->timeline->events->pdata[i]);
  g_hash_table_destroy (followers);
  g_hash_table_destroy (digests);
  g_array_free (revisions, TRUE);
}

/* A fencing number is given to one holder only, and no place accepts a lower
   one after a higher one.  */
void
wy_verify_fencing (struct wy_check *c)
{
  GHashTable *holders
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTable *highest
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      int64_t fence = wy_event_number (e, "fence", -1);
      const char *lease = wy_event_text (e, "lease");
      struct wy_event *before;
      char *key;

      if (wy_event_is (e, "lease.acquired"))
        {
          key = g_strdup_printf ("%s/%" G_GINT64_FORMAT, lease, fence);
          before = g_hash_table_lookup (holders, key);
          if (before)
            wy_check_violation (c, "fencing", before, e,
                                "fencing number %s was given twice", key);
          g_hash_table_insert (holders, key, e);
        }
      if (wy_event_is (e, "fence.accepted"))
        {
          key = g_strdup_printf ("%s/%s", lease, wy_event_text (e, "at"));
          before = g_hash_table_lookup (highest, key);
          if (before && wy_event_number (before, "fence", -1) > fence)
            wy_check_violation (c, "fencing", before, e,
                                "an old fencing number of %s was accepted",
                                lease);
          else
            g_hash_table_replace (highest, g_strdup (key), e);
          g_free (key);
        }
    }
  g_hash_table_destroy (holders);
  g_hash_table_destroy (highest);
}
