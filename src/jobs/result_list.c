/* The result list of a job: results in the store at consecutive positions,
   which never change.  A result is listed once it is stored there.

   Each write has two conditions.  The job's row must have the version that
   this entry knows, so an entry that lost the job to a takeover can't write
   any more.  The first position written must be empty, so a write whose
   response was lost can be sent again: whichever of the two takes effect
   first, the other one fails.  In place of an unreadable result, the position
   must still have the row that was read.  */
#include "jobs/active_job.h"

#include <string.h>

#include "decide/listing.h"
#include "jobs/result_rows.h"
#include "trace/json_log.h"

enum
{
  /* Results that are complete within this time share a transaction; a
     partition of the store takes some hundred a second.  */
  BATCH_DELAY_MS = 15,
  BATCH_MAX = 90,
  /* Of a transaction's results before base64; the store takes 1 MB.  */
  BATCH_BYTES = 500000,
  RETRY_MIN_MS = 50,
  RETRY_MAX_MS = 500
};

static void write_batch (struct wy_active_job *o);

static void
on_flush (uv_timer_t *t)
{
  struct wy_active_job *o = t->data;

  o->flush_scheduled = false;
  if (!o->writing && !o->closed && !o->lingering)
    write_batch (o);
}

static void
schedule (struct wy_active_job *o, uint32_t delay_ms)
{
  if (o->flush_scheduled || o->writing || o->closed || o->lingering)
    return;
  o->flush_scheduled = true;
  uv_timer_start (&o->flush, on_flush, delay_ms, 0);
}

static bool
listing_is_deferred (const struct wy_active_job *o)
{
  const struct wy_route *route = wy_active_job_route (o);
  struct wy_listing_options l = { .items = o->n_items,
                                  .results = o->n_listed + o->unlisted.length,
                                  .complete_groups = o->complete_groups,
                                  .wanted_groups = o->spec->wanted_groups,
                                  .age_ms = wy_active_job_age_ms (o),
                                  .exceeds_capacity = o->plan.planned,
                                  .stopping = o->env->stopping };

  l.due_ms = route ? route->result_deadline_ms : 0;
  return wy_listing_is_deferred (&l);
}

/* Schedule a write of the unlisted results, unless listing is deferred until
   more results are complete.  */
void
wy_result_list_schedule (struct wy_active_job *o)
{
  if (!listing_is_deferred (o))
    schedule (o, BATCH_DELAY_MS);
}

/* Return the unreadable result whose place the next write takes, or NULL.  */
static const struct wy_unreadable_result *
next_unreadable (const struct wy_active_job *o)
{
  return o->unreadable->len
             ? &g_array_index (o->unreadable, struct wy_unreadable_result, 0)
             : NULL;
}

/* Return the position of the next result that is written.  */
static uint64_t
next_position (const struct wy_active_job *o)
{
  const struct wy_unreadable_result *u = next_unreadable (o);

  return u ? u->position : o->n_listed;
}

/* Fill the batch with results for one transaction, up to its limits, and
   append their rows to ROWS.  The place of an unreadable result is taken by
   one only.  */
static void
fill_batch (struct wy_active_job *o, GArray *rows)
{
  size_t size = 0;
  guint max = next_unreadable (o) ? 1 : BATCH_MAX;

  g_ptr_array_set_size (o->batch, 0);
  for (GList *l = o->unlisted.head, *next; l && o->batch->len < max; l = next)
    {
      struct wy_item *i = l->data;
      char *value = NULL;
      size_t n;
      uint32_t n_rows;

      next = l->next;
      if (wy_result_encode (i->result, &value))
        {
          wy_item_discard_result (i);
          continue;
        }
      n = strlen (value);
      n_rows = wy_result_row_count (n, o->row_bytes);
      size += n;
      if (o->batch->len
          && (size > BATCH_BYTES || rows->len + n_rows > BATCH_MAX))
        {
          g_free (value);
          return;
        }
      wy_result_split (value, next_position (o) + o->batch->len, o->row_bytes,
                       rows);
      g_ptr_array_add (o->batch, i);
      g_free (value);
    }
}

static void
mark_listed (struct wy_active_job *o, struct wy_item *i)
{
  i->state = WY_ITEM_LISTED;
  o->n_listed++;
  wy_result_free (i->result);
  i->result = NULL;
  g_queue_remove (&o->unlisted, i);
  g_string_free (i->text, TRUE);
  i->text = g_string_new (NULL);
  wy_item_count_memory (i);
}

static void
report_lost (struct wy_active_job *o, const char *why)
{
  wy_json_log ("job.lost", "id=%s reason=%s listed=%u of=%u", o->record->id,
               why, o->n_listed, o->n_items);
  o->on_end (o->ctx, o, WY_ACTIVE_JOB_LOST);
}

static void
after_listing (struct wy_active_job *o)
{
  o->write_failures = 0;
  o->on_listed (o->ctx, o);
  if (o->closed)
    return;
  if (wy_active_job_is_done (o))
    o->on_end (o->ctx, o, WY_ACTIVE_JOB_DONE);
  else if (o->unlisted.length && !listing_is_deferred (o))
    schedule (o, 0);
}

static void
retry (struct wy_active_job *o)
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

/* Mark the item of RES, which is in the store, as listed.  Return false if it
   was not unlisted here.  */
static bool
mark_listed_by_id (struct wy_active_job *o, const struct wy_result *res)
{
  for (GList *l = o->unlisted.head; l; l = l->next)
    {
      struct wy_item *i = l->data;

      if (strcmp (i->spec->id, res->item) != 0)
        continue;
      mark_listed (o, i);
      return true;
    }
  return false;
}

/* Handle the rows that an earlier write of ours has left although its response
   was lost: their items are listed.  */
static void
on_read_back (void *ctx, const struct wy_rows_result *r)
{
  struct wy_active_job *o = ctx;
  GPtrArray *results;
  bool any = false;

  if (!wy_active_job_store_call_ended (o) || o->lingering)
    return;
  results = g_ptr_array_new_with_free_func (free_result);
  if (!r->err)
    wy_result_join (r, results);
  if (next_unreadable (o) && results->len && results->pdata[0])
    g_array_remove_index (o->unreadable, 0);
  for (guint k = 0; k < results->len; k++)
    any = (results->pdata[k] && mark_listed_by_id (o, results->pdata[k]))
          || any;
  g_ptr_array_free (results, TRUE);
  if (any)
    after_listing (o);
  else
    retry (o);
}

static void
read_back (struct wy_active_job *o)
{
  char from[WY_RESULT_KEY_SIZE_BYTES];
  struct wy_rows_range range = { .table = WY_RESULTS_TABLE,
                                 .partition = o->record->id,
                                 .from = from };

  wy_result_key (next_position (o), from);
  o->writing = true;
  wy_rows_get (o->env->rows, &range, on_read_back, o);
}

/* A condition failed: another entry took the job over, the job has been ended,
   or an earlier write of ours took effect after all.  */
static void
on_conflict (struct wy_active_job *o, const struct wy_rows_result *r)
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
          report_lost (o, why);
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
  struct wy_active_job *o = ctx;

  if (!wy_active_job_store_call_ended (o) || o->lingering)
    return;
  if (r->err == WY_ROWS_ECONFLICT)
    on_conflict (o, r);
  else if (r->err)
    retry (o);
  else
    {
      if (next_unreadable (o))
        g_array_remove_index (o->unreadable, 0);
      for (guint k = 0; k < o->batch->len; k++)
        mark_listed (o, g_ptr_array_index (o->batch, k));
      after_listing (o);
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
write_batch (struct wy_active_job *o)
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

  if (o->unlisted.length == 0)
    return;
  wy_result_key (next_position (o), first);
  if (next_unreadable (o))
    conditions[1].version = next_unreadable (o)->row_version;
  rows = g_array_new (FALSE, FALSE, sizeof (struct wy_result_row));
  fill_batch (o, rows);
  if (rows->len == 0)
    {
      free_rows (rows);
      return;
    }
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
