/* Invariants on processes: leaving, graceful-stop, configuration, fencing.  */
#include <string.h>

#include "check/incarnations.h"
#include "check/invariants.h"

enum
{
  /* A target announces over its open connections that it is leaving.  Two
     seconds cover a connection that has to be re-established once.  */
  LEAVING_LIMIT_MS = 2000,
  /* Within this time an accepted change must be in force on every process, as
     operators require.  */
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
                            "target %s got new work while it was leaving",
                            target);
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
                            "%s stopped and interrupted %" G_GINT64_FORMAT
                            " requests",
                            e->process, wy_event_number (e, "cut", 0));
    }
}

/* Configuration events of one incarnation of a process.  */
struct config_history
{
  const char *process;
  const char *incarnation;
  GPtrArray *in_force; /* struct wy_event */
  int64_t ready_ms;    /* wall-clock time; 0: never ready */
  int64_t last_ms;
  bool faulted;
  bool must_apply; /* an entry or agent, which has to apply each revision */
  int64_t highest;
};

static void
history_free (gpointer p)
{
  struct config_history *h = p;

  g_ptr_array_free (h->in_force, TRUE);
  g_free (h);
}

static struct config_history *
history_of (GHashTable *histories, const struct wy_event *e)
{
  char *key = g_strdup_printf ("%s/%s", e->process, e->incarnation);
  struct config_history *h = g_hash_table_lookup (histories, key);

  if (h)
    {
      g_free (key);
      return h;
    }
  h = g_new0 (struct config_history, 1);
  h->process = e->process;
  h->incarnation = e->incarnation;
  h->in_force = g_ptr_array_new ();
  g_hash_table_insert (histories, key, h);
  return h;
}

static void
record_config_event (struct wy_check *c, struct config_history *h,
                     struct wy_event *e)
{
  int64_t revision;

  h->last_ms = wy_event_ms (e);
  if (wy_event_is (e, "process.start"))
    h->must_apply = !strcmp (wy_event_text (e, "role"), "entry")
                    || !strcmp (wy_event_text (e, "role"), "agent");
  if (!h->ready_ms && wy_event_is (e, "process.ready"))
    h->ready_ms = wy_event_ms (e);
  if (!wy_event_is (e, "config.in_force"))
    return;
  revision = wy_event_number (e, "revision", -1);
  if (revision < h->highest)
    wy_check_violation (c, "configuration", e, NULL,
                        "%s reverted from revision %" G_GINT64_FORMAT
                        " to %" G_GINT64_FORMAT,
                        h->process, h->highest, revision);
  else
    h->highest = revision;
  g_ptr_array_add (h->in_force, e);
}

/* Whether H had REVISION or a later one in force at the time BY_MS.  */
static bool
had_revision (const struct config_history *h, int64_t revision, int64_t by_ms)
{
  for (guint i = 0; i < h->in_force->len; i++)
    {
      const struct wy_event *e = h->in_force->pdata[i];
      if (wy_event_ms (e) <= by_ms
          && wy_event_number (e, "revision", -1) >= revision)
        return true;
    }
  return false;
}

static void
verify_propagation (struct wy_check *c, GHashTable *histories,
                    const struct wy_event *accepted)
{
  int64_t revision = wy_event_number (accepted, "revision", -1);
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, histories);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct config_history *h = value;
      int64_t by_ms
          = MAX (wy_event_ms (accepted), h->ready_ms) + IN_FORCE_LIMIT_MS;

      if (h->faulted || (h->in_force->len == 0 && !h->must_apply)
          || !h->ready_ms || h->last_ms < by_ms)
        continue;
      if (!had_revision (h, revision, by_ms))
        wy_check_violation (c, "configuration", accepted, NULL,
                            "revision %" G_GINT64_FORMAT
                            " was not in force on %s in time",
                            revision, h->process);
    }
}

static void
mark_faulted (GHashTable *histories, const char *process)
{
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, histories);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (!strcmp (((struct config_history *)value)->process, process))
      ((struct config_history *)value)->faulted = true;
}

/* A revision in force was accepted by an entry.  Not checked when an entry was
   killed, which may not have recorded that it accepted one.  */
static void
verify_accepted (struct wy_check *c, GHashTable *accepted)
{
  struct wy_incarnations *incarnations = wy_incarnations_new (c->timeline);

  for (guint i = 0; i < c->timeline->events->len
                    && !wy_incarnations_role_killed (incarnations, "entry");
       i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      gint64 revision = wy_event_number (e, "revision", -1);

      if (wy_event_is (e, "config.in_force") && revision > 0
          && !g_hash_table_contains (accepted, &revision))
        wy_check_violation (c, "configuration", e, NULL,
                            "revision %" G_GINT64_FORMAT
                            " is in force and was never accepted",
                            revision);
    }
  wy_incarnations_free (incarnations);
}

/* Each revision is accepted with one content only, comes into force on every
   process that runs until the time limit, and is never followed by a lower one
   on any process.  A process into which a fault was injected (paused or
   disconnected) is exempt from the time limit, but not from the order.  */
void
wy_verify_configuration (struct wy_check *c)
{
  GHashTable *histories
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, history_free);
  GHashTable *digests = g_hash_table_new (g_int64_hash, g_int64_equal);
  GArray *revisions = g_array_new (FALSE, FALSE, sizeof (gint64));

  g_array_set_size (revisions, c->timeline->events->len);
  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      struct wy_event *before;
      gint64 *slot = &g_array_index (revisions, gint64, i);

      record_config_event (c, history_of (histories, e), e);
      if (wy_event_is (e, "fault.injected"))
        mark_faulted (histories, wy_event_text (e, "target"));
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
                            " was accepted with two different contents",
                            *slot);
      g_hash_table_insert (digests, slot, e);
    }
  verify_accepted (c, digests);
  for (guint i = 0; i < c->timeline->events->len; i++)
    if (wy_event_is (c->timeline->events->pdata[i], "config.accepted"))
      verify_propagation (c, histories, c->timeline->events->pdata[i]);
  g_hash_table_destroy (histories);
  g_hash_table_destroy (digests);
  g_array_free (revisions, TRUE);
}

/* A fencing token is issued to one holder only, and whatever checks tokens
   never accepts a lower one after a higher one.  */
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
                                "fencing token %s was issued twice", key);
          g_hash_table_insert (holders, key, e);
        }
      if (wy_event_is (e, "fence.accepted"))
        {
          key = g_strdup_printf ("%s/%s", lease, wy_event_text (e, "at"));
          before = g_hash_table_lookup (highest, key);
          if (before && wy_event_number (before, "fence", -1) > fence)
            wy_check_violation (
                c, "fencing", before, e,
                "a stale fencing token of lease %s was accepted", lease);
          else
            g_hash_table_replace (highest, g_strdup (key), e);
          g_free (key);
        }
    }
  g_hash_table_destroy (holders);
  g_hash_table_destroy (highest);
}
