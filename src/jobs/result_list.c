/* Lists results: writes them to the store's log of the job, at positions that
   never change.

   Each write carries the job's row at the version under which this entry
   holds the job, so that an entry that has been taken for gone writes nothing
   more, and the absence of a row at the first position it writes to, so that
   a write whose answer was lost can be sent again: whichever of the two is
   performed first, the other does nothing.  */
#include "jobs/active_job.h"

#include <string.h>

#include "decide/listing.h"
#include "jobs/result_rows.h"
#include "trace/json_log.h"

enum
{
  /* Results that end close together share a transaction; a part of the store
     takes some hundred a second.  */
  GATHER_MS = 15,
  BATCH_MAX = 90,
  /* Of results in one transaction, before base64; the store takes 1 MB.  */
  BATCH_BYTES = 500000,
  RETRY_MIN_MS = 50,
  RETRY_MAX_MS = 500
};

static void write_batch (struct wy_owned *o);

static void
on_flush (uv_timer_t *t)
{
  struct wy_owned *o = t->data;

  o->scheduled = false;
  if (!o->writing && !o->dropped && !o->lingering)
    write_batch (o);
}

static void
schedule (struct wy_owned *o, uint32_t delay_ms)
{
  if (o->scheduled || o->writing || o->dropped || o->lingering)
    return;
  o->scheduled = true;
  uv_timer_start (&o->flush, on_flush, delay_ms, 0);
}

static bool
waits_for_others (const struct wy_owned *o)
{
  const struct wy_route *route = wy_owned_route (o);
  struct wy_listing_options l = { .items = o->n_items,
                                  .results = o->n_listed + o->ended.length,
                                  .complete_groups = o->whole_groups,
                                  .wanted_groups = o->spec->wanted_groups,
                                  .age_ms = wy_owned_age_ms (o),
                                  .stopping = o->env->stopping };

  l.due_ms = route ? route->result_deadline_ms : 0;
  return wy_listing_is_deferred (&l);
}

/* Results wait to be listed: now, or with others that are still to come.  */
void
wy_lister_schedule (struct wy_owned *o)
{
  if (!waits_for_others (o))
    schedule (o, GATHER_MS);
}

/* Take results off the queue for one transaction, up to its limits; their rows
   go to ROWS.  */
static void
take_batch (struct wy_owned *o, GArray *rows)
{
  size_t size = 0;

  g_ptr_array_set_size (o->batch, 0);
  for (GList *l = o->ended.head; l && o->batch->len < BATCH_MAX; l = l->next)
    {
      struct wy_item *i = l->data;
      char *value = wy_result_encode (i->result);
      size_t n = strlen (value);
      uint32_t n_rows = wy_result_row_count (n, o->row_bytes);

      size += n;
      if (o->batch->len
          && (size > BATCH_BYTES || rows->len + n_rows > BATCH_MAX))
        {
          g_free (value);
          return;
        }
      wy_result_split (value, o->n_listed + o->batch->len, o->row_bytes, rows);
      g_ptr_array_add (o->batch, i);
      g_free (value);
    }
}

static void
listed (struct wy_owned *o, struct wy_item *i)
{
  i->state = WY_ITEM_LISTED;
  o->n_listed++;
  wy_result_free (i->result);
  i->result = NULL;
  g_queue_remove (&o->ended, i);
  g_string_free (i->text, TRUE);
  i->text = g_string_new (NULL);
}

static void
lose (struct wy_owned *o, const char *why)
{
  wy_json_log ("job.lost", "id=%s reason=%s listed=%u of=%u", o->record->id,
               why, o->n_listed, o->n_items);
  o->on_end (o->ctx, o, WY_OWNED_LOST);
}

static void
progressed (struct wy_owned *o)
{
  o->write_failures = 0;
  o->on_listed (o->ctx, o);
  if (o->dropped)
    return;
  if (wy_owned_is_done (o))
    o->on_end (o->ctx, o, WY_OWNED_DONE);
  else if (o->ended.length && !waits_for_others (o))
    schedule (o, 0);
}

static void
retry (struct wy_owned *o)
{
  uint32_t n = MIN (o->write_failures, 4);

  o->write_failures++;
  schedule (o, MIN (RETRY_MIN_MS << n, RETRY_MAX_MS));
}

static void
free_result (gpointer p)
{
  wy_result_free (p);
}

/* The result RES stands in the store: whether it was still waiting here.  */
static bool
list_known (struct wy_owned *o, const struct wy_result *res)
{
  for (GList *l = o->ended.head; l; l = l->next)
    {
      struct wy_item *i = l->data;

      if (strcmp (i->spec->id, res->item) != 0)
        continue;
      listed (o, i);
      return true;
    }
  return false;
}

/* Rows that a write of ours with a lost answer has left: what they list is
   listed.  */
static void
on_read_back (void *ctx, const struct wy_rows_result *r)
{
  struct wy_owned *o = ctx;
  GPtrArray *results;
  bool any = false;

  if (!wy_owned_write_ended (o) || o->lingering)
    return;
  results = g_ptr_array_new_with_free_func (free_result);
  if (!r->err)
    wy_result_join (r, results);
  for (guint k = 0; k < results->len; k++)
    any = list_known (o, g_ptr_array_index (results, k)) || any;
  g_ptr_array_free (results, TRUE);
  if (any)
    progressed (o);
  else
    retry (o);
}

static void
read_back (struct wy_owned *o)
{
  char from[WY_RESULT_KEY_SIZE_BYTES];
  struct wy_rows_range range = { .table = WY_RESULTS_TABLE,
                                 .partition = o->record->id,
                                 .from = from };

  wy_result_key (o->n_listed, from);
  o->writing = true;
  wy_rows_get (o->env->rows, &range, on_read_back, o);
}

/* A condition did not hold: the job is another's, has been ended, or an
   earlier write of ours was performed after all.  */
static void
conflict (struct wy_owned *o, const struct wy_rows_result *r)
{
  bool present = false;

  for (size_t k = 0; k < r->n; k++)
    {
      const struct wy_row *row = &r->rows[k];
      struct wy_job_record *rec;

      if (strcmp (row->key, WY_JOB_ROW_KEY) != 0)
        {
          present = present || row->version > 0;
          continue;
        }
      rec = wy_job_record_decode (row);
      if (!rec || rec->state == WY_JOB_ENDED
          || strcmp (rec->holder, o->record->holder) != 0)
        {
          const char *why = !rec                         ? "row_gone"
                            : rec->state == WY_JOB_ENDED ? "ended"
                                                         : "taken_over";

          wy_job_record_free (rec);
          lose (o, why);
          return;
        }
      o->record->row_version = rec->row_version;
      wy_job_record_free (rec);
    }
  if (present)
    read_back (o);
  else
    retry (o);
}

static void
on_written (void *ctx, const struct wy_rows_result *r)
{
  struct wy_owned *o = ctx;

  if (!wy_owned_write_ended (o) || o->lingering)
    return;
  if (r->err == WY_ROWS_ECONFLICT)
    conflict (o, r);
  else if (r->err)
    retry (o);
  else
    {
      for (guint k = 0; k < o->batch->len; k++)
        listed (o, g_ptr_array_index (o->batch, k));
      progressed (o);
    }
}

static void
free_rows (GArray *rows)
{
  for (guint k = 0; k < rows->len; k++)
    g_free (g_array_index (rows, struct wy_result_row, k).value);
  g_array_free (rows, TRUE);
}

static void
write_batch (struct wy_owned *o)
{
  GArray *rows;
  struct wy_row_write *writes;
  char first[WY_RESULT_KEY_SIZE_BYTES];
  struct wy_row_ref conditions[2] = {
    { WY_JOBS_TABLE, WY_JOB_ROW_KEY, o->record->row_version },
    { WY_RESULTS_TABLE, first, 0 },
  };
  struct wy_rows_tx tx = { .partition = o->record->id,
                           .conditions = conditions,
                           .n_conditions = 2 };

  if (o->ended.length == 0)
    return;
  wy_result_key (o->n_listed, first);
  rows = g_array_new (FALSE, FALSE, sizeof (struct wy_result_row));
  take_batch (o, rows);
  writes = g_new0 (struct wy_row_write, rows->len);
  for (guint k = 0; k < rows->len; k++)
    {
      const struct wy_result_row *row
          = &g_array_index (rows, struct wy_result_row, k);

      writes[k] = (struct wy_row_write){ .table = WY_RESULTS_TABLE,
                                         .key = row->key,
                                         .value = row->value,
                                         .size_bytes = row->size_bytes };
    }
  tx.writes = writes;
  tx.n_writes = rows->len;
  o->writing = true;
  wy_rows_tx (o->env->rows, &tx, on_written, o);
  g_free (writes);
  free_rows (rows);
}
