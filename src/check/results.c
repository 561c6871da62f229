/* Invariant on the results of jobs, from what their submitters read: a
   position never changes, an item stands at one, what is listed ran, and what
   was read can be read to the end.  */
#include <string.h>

#include "check/invariants.h"

static char *
place_key (const struct wy_event *e)
{
  return g_strdup_printf ("%s/%" G_GINT64_FORMAT, wy_event_text (e, "job"),
                          wy_event_number (e, "position", -1));
}

static char *
item_key (const struct wy_event *e)
{
  return g_strdup_printf ("%s/%s", wy_event_text (e, "job"),
                          wy_event_text (e, "item"));
}

struct listing
{
  GHashTable *places; /* result.read by job and position */
  GHashTable *items;  /* the same by job and item */
  GHashTable *ran;    /* replica.ran by request */
  GHashTable *counts; /* results read, by job */
};

static bool
differs (const struct wy_event *a, const struct wy_event *b, const char *key)
{
  return strcmp (wy_event_text (a, key), wy_event_text (b, key)) != 0;
}

static void
read_result (struct wy_check *c, struct listing *l, struct wy_event *e)
{
  char *place = place_key (e);
  char *item = item_key (e);
  const char *job = wy_event_text (e, "job");
  gint read = GPOINTER_TO_INT (g_hash_table_lookup (l->counts, job));
  gint position = (gint)wy_event_number (e, "position", -1);
  const struct wy_event *before = g_hash_table_lookup (l->places, place);
  const struct wy_event *same = g_hash_table_lookup (l->items, item);

  if (before && (differs (before, e, "digest") || differs (before, e, "item")))
    wy_check_violation (c, "results", before, e, "position %s changed", place);
  if (same && wy_event_number (same, "position", -1) != position)
    wy_check_violation (c, "results", same, e, "item %s stands at two places",
                        item);
  if (wy_check_has (c, "replica.ran")
      && !wy_check_lookup (l->ran, wy_event_text (e, "item")))
    wy_check_violation (c, "results", e, NULL,
                        "item %s is listed and never ran", item);
  if (position > read)
    wy_check_violation (c, "results", e, NULL, "job %s skips position %d", job,
                        read);
  g_hash_table_insert (l->counts, g_strdup (job),
                       GINT_TO_POINTER (MAX (read, position + 1)));
  g_hash_table_insert (l->places, place, e);
  g_hash_table_insert (l->items, item, e);
}

static void
verify_checked (struct wy_check *c, struct listing *l, GHashTable *accepted,
                struct wy_event *e)
{
  const char *job = wy_event_text (e, "job");
  gint read = GPOINTER_TO_INT (g_hash_table_lookup (l->counts, job));

  if (wy_event_number (e, "results", 0) != read)
    wy_check_violation (c, "results", e, NULL,
                        "job %s had %d results and has others in the end", job,
                        read);
  if (!wy_check_lookup (accepted, job))
    wy_check_violation (c, "results", e, NULL,
                        "job %s is known and was not accepted", job);
}

/* Each accepted job is read once more in the end.  */
static void
verify_kept (struct wy_check *c, struct listing *l)
{
  GHashTable *accepted = wy_check_index (c, "job.accepted", "job");
  GHashTable *checked = wy_check_index (c, "job.checked", "job");

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];

      if (wy_event_is (e, "job.checked"))
        verify_checked (c, l, accepted, e);
      else if (wy_event_is (e, "job.accepted")
               && !wy_check_lookup (checked, wy_event_text (e, "job")))
        wy_check_violation (c, "results", e, NULL,
                            "job %s was accepted and not found in the end",
                            wy_event_text (e, "job"));
    }
  g_hash_table_destroy (checked);
  g_hash_table_destroy (accepted);
}

void
wy_verify_results (struct wy_check *c)
{
  struct listing l = {
    .places = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
    .items = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
    .ran = wy_check_index (c, "replica.ran", "req"),
    .counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL)
  };

  for (guint i = 0; i < c->timeline->events->len; i++)
    if (wy_event_is (c->timeline->events->pdata[i], "result.read"))
      read_result (c, &l, c->timeline->events->pdata[i]);
  verify_kept (c, &l);
  g_hash_table_destroy (l.counts);
  g_hash_table_destroy (l.ran);
  g_hash_table_destroy (l.items);
  g_hash_table_destroy (l.places);
}
