/* The list of invariants, and the helpers they share.  */
#include "check/check.h"

#include <string.h>

#include "check/invariants.h"

const struct wy_invariant wy_invariants[] = {
  { "attribution", "each sample names the weight versions that produced it",
    wy_verify_attribution },
  { "staleness", "no sample used in training exceeds the staleness bound",
    wy_verify_staleness },
  { "delivery", "each sample is delivered to its trainer exactly once",
    wy_verify_delivery },
  { "whole-answer",
    "a caller receives the complete response to its own request",
    wy_verify_whole_answer },
  { "not-run", "a request that was rejected as not run did not run",
    wy_verify_not_run },
  { "at-most-once", "a non-idempotent request runs at most once",
    wy_verify_at_most_once },
  { "leaving", "a target that is leaving gets no new work after the limit",
    wy_verify_leaving },
  { "graceful-stop", "a planned stop interrupts no request",
    wy_verify_graceful_stop },
  { "configuration",
    "an accepted configuration is in force on every process in time and "
    "never reverts",
    wy_verify_configuration },
  { "fencing", "no write is accepted with a stale fencing token",
    wy_verify_fencing },
  { "accounts",
    "each received request ends once, each run was submitted, and each "
    "response comes from a run",
    wy_verify_accounts },
  { "order",
    "no process works before its start, and paired events come in order",
    wy_verify_order },
  { "course",
    "a step passes each of its stages once, and versions are published "
    "before they are loaded",
    wy_verify_course },
  { "results", "a job's results keep their positions and stay available",
    wy_verify_results },
  { "scores",
    "a score is the response to its own scoring request, for the complete "
    "text",
    wy_verify_scores },
  { "crashes",
    "a request that is known to crash replicas reaches them no more",
    wy_verify_crashes },
};
const size_t wy_n_invariants = G_N_ELEMENTS (wy_invariants);

static void
violation_free (gpointer p)
{
  g_free (((struct wy_violation *)p)->text);
  g_free (p);
}

/* Verify all invariants on T, which must outlive C.  */
void
wy_check_run (struct wy_check *c, const struct wy_timeline *t)
{
  c->timeline = t;
  c->violations = g_ptr_array_new_with_free_func (violation_free);
  for (size_t i = 0; i < wy_n_invariants; i++)
    wy_invariants[i].verify (c);
}

/* Free the violations of C.  */
void
wy_check_free (struct wy_check *c)
{
  g_ptr_array_free (c->violations, TRUE);
}

static void
append_event (GString *s, const struct wy_event *e)
{
  if (e)
    g_string_append_printf (s, " [%s %s #%" G_GUINT64_FORMAT "]", e->name,
                            e->process, e->seq);
}

/* Add a violation of INVARIANT, shown by the events A and B, either of which
   may be NULL.  */
void
wy_check_violation (struct wy_check *c, const char *invariant,
                    const struct wy_event *a, const struct wy_event *b,
                    const char *fmt, ...)
{
  struct wy_violation *v = g_new0 (struct wy_violation, 1);
  GString *s = g_string_new (NULL);
  va_list ap;

  va_start (ap, fmt);
  g_string_append_vprintf (s, fmt, ap);
  va_end (ap);
  append_event (s, a);
  append_event (s, b);
  v->invariant = invariant;
  v->text = g_string_free (s, FALSE);
  g_ptr_array_add (c->violations, v);
}

/* Whether E is an event NAME.  */
bool
wy_event_is (const struct wy_event *e, const char *name)
{
  return !strcmp (e->name, name);
}

static void
array_free (gpointer p)
{
  g_ptr_array_free (p, TRUE);
}

/* All events NAME, by the text of their field KEY.  Free the result with
   g_hash_table_destroy.  */
GHashTable *
wy_check_index (const struct wy_check *c, const char *name, const char *key)
{
  GHashTable *index
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, array_free);

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      const char *value;
      GPtrArray *list;

      if (!wy_event_is (e, name))
        continue;
      value = wy_event_text (e, key);
      list = g_hash_table_lookup (index, value);
      if (!list)
        {
          list = g_ptr_array_new ();
          g_hash_table_insert (index, g_strdup (value), list);
        }
      g_ptr_array_add (list, e);
    }
  return index;
}

/* The events of INDEX under VALUE, or NULL.  */
GPtrArray *
wy_check_lookup (GHashTable *index, const char *value)
{
  return g_hash_table_lookup (index, value);
}

/* The set of the keys that KEY_OF gives for the events NAME.  Free it with
   g_hash_table_destroy.  */
GHashTable *
wy_check_keys (const struct wy_check *c, const char *name,
               char *(*key_of) (const struct wy_event *e))
{
  GHashTable *keys
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < c->timeline->events->len; i++)
    if (wy_event_is (c->timeline->events->pdata[i], name))
      g_hash_table_add (keys, key_of (c->timeline->events->pdata[i]));
  return keys;
}

/* Key of the step that E names: "yard/trainer/number".  */
char *
wy_check_step_key (const struct wy_event *e)
{
  return g_strdup_printf ("%s/%s/%" G_GINT64_FORMAT, wy_event_text (e, "yard"),
                          wy_event_text (e, "trainer"),
                          wy_event_number (e, "step", -1));
}

/* Whether the timeline has an event NAME.  */
bool
wy_check_has (const struct wy_check *c, const char *name)
{
  for (guint i = 0; i < c->timeline->events->len; i++)
    if (wy_event_is (c->timeline->events->pdata[i], name))
      return true;
  return false;
}
