/* Invariant "results" on result listings, from what the submitters of jobs
   read: the result at a position never changes, an item has one position, a
   listed item ran, and a result that was read once stays readable.  */
#include <string.h>

#include "check/invariants.h"

static char *
position_key (const struct wy_event *e)
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

struct job_results
{
  GHashTable *positions; /* result.read by job and position */
  GHashTable *items;     /* result.read by job and item */
  GHashTable *ran;       /* replica.ran by request */
  GHashTable *counts;    /* number of results read, by job */
};

static bool
differs (const struct wy_event *a, const struct wy_event *b, const char *key)
{
  return strcmp (wy_event_text (a, key), wy_event_text (b, key)) != 0;
}

static void
read_result (struct wy_check *c, struct job_results *r, struct wy_event *e)
{
  char *pos_key = position_key (e);
  char *item_id = item_key (e);
  const char *job = wy_event_text (e, "job");
  gint read = GPOINTER_TO_INT (g_hash_table_lookup (r->counts, job));
  gint position = (gint)wy_event_number (e, "position", -1);
  const struct wy_event *before = g_hash_table_lookup (r->positions, pos_key);
  const struct wy_event *same = g_hash_table_lookup (r->items, item_id);

  if (before && (differs (before, e, "digest") || differs (before, e, "item")))
    wy_check_violation (c, "results", before, e,
                        "the result at position %s changed", pos_key);
  if (same && wy_event_number (same, "position", -1) != position)
    wy_check_violation (c, "results", same, e, "item %s has two positions",
                        item_id);
  if (wy_check_has (c, "replica.ran")
      && !wy_check_lookup (r->ran, wy_event_text (e, "item")))
    wy_check_violation (c, "results", e, NULL,
                        "item %s is listed and never ran", item_id);
  if (position > read)
    wy_check_violation (c, "results", e, NULL,
                        "the results of job %s skip position %d", job, read);
  g_hash_table_insert (r->counts, g_strdup (job),
                       GINT_TO_POINTER (MAX (read, position + 1)));
  g_hash_table_insert (r->positions, pos_key, e);
  g_hash_table_insert (r->items, item_id, e);
}

static void
verify_final_read (struct wy_check *c, struct job_results *r,
                   GHashTable *accepted, struct wy_event *e)
{
  const char *job = wy_event_text (e, "job");
  gint read = GPOINTER_TO_INT (g_hash_table_lookup (r->counts, job));

  if (wy_event_number (e, "results", 0) != read)
    wy_check_violation (c, "results", e, NULL,
                        "job %s had %d results and a different number at "
                        "the end",
                        job, read);
  if (!wy_check_lookup (accepted, job))
    wy_check_violation (c, "results", e, NULL,
                        "job %s exists and was never accepted", job);
}

/* The submitter reads each accepted job once more at the end, as the event
   job.checked records.  */
static void
verify_final_reads (struct wy_check *c, struct job_results *r)
{
  GHashTable *accepted = wy_check_index (c, "job.accepted", "job");
  GHashTable *checked = wy_check_index (c, "job.checked", "job");

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];

      if (wy_event_is (e, "job.checked"))
        verify_final_read (c, r, accepted, e);
      else if (wy_event_is (e, "job.accepted")
               && !wy_check_lookup (checked, wy_event_text (e, "job")))
        wy_check_violation (c, "results", e, NULL,
                            "job %s was accepted and not found at the end",
                            wy_event_text (e, "job"));
    }
  g_hash_table_destroy (checked);
  g_hash_table_destroy (accepted);
}

void
wy_verify_results (struct wy_check *c)
{
  struct job_results r = {
    .positions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
    .items = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
    .ran = wy_check_index (c, "replica.ran", "req"),
    .counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL)
  };

  for (guint i = 0; i < c->timeline->events->len; i++)
    if (wy_event_is (c->timeline->events->pdata[i], "result.read"))
      read_result (c, &r, c->timeline->events->pdata[i]);
  verify_final_reads (c, &r);
  g_hash_table_destroy (r.counts);
  g_hash_table_destroy (r.ran);
  g_hash_table_destroy (r.items);
  g_hash_table_destroy (r.positions);
}
