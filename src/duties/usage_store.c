/* Stores the counts of this entry.

   One row for each entry and window has the counts so far.  It is written as
   soon as they change, but at most once in WRITE_INTERVAL_MS.  Counts not
   stored when the entry is killed are missing from the report.  Each write is
   conditional on the row version left by the previous one, so that a write
   which the store executes late can't overwrite a newer one.  */
#include "duties/usage_state.h"

#include <string.h>

#include "trace/json_log.h"

enum
{
  /* Minimum time between two writes of one entry.  */
  WRITE_INTERVAL_MS = 100,
  RETRY_MS = 200
};

static void store_next (struct wy_usage *u);

static void
on_timer (uv_timer_t *t)
{
  store_next (t->data);
}

static void
schedule (struct wy_usage *u, int64_t interval_ms)
{
  int64_t due_ms = u->stored_ms + interval_ms - wy_usage_now_ms (u);

  if (!uv_is_active ((uv_handle_t *)&u->store_timer))
    uv_timer_start (&u->store_timer, on_timer,
                    due_ms > 0 ? (uint64_t)due_ms : 0, 0);
}

static void
on_stored (void *ctx, const struct wy_rows_result *r)
{
  struct wy_usage *u = ctx;
  struct wy_usage_window *w = u->storing;

  if (u->freed)
    return;
  u->storing = NULL;
  if (!r->err)
    {
      w->row_version = r->version;
      w->stored = w->storing;
    }
  else if (r->err == WY_ROWS_ECONFLICT)
    /* An earlier write of this entry, whose response was lost.  */
    w->row_version = r->n ? r->rows[0].version : 0;
  else
    wy_json_log ("usage.unstored", "window=%lld err=%d", (long long)w->number,
                 r->err);
  w->storing = 0;
  if (wy_usage_counts_next (u->counts))
    schedule (u, r->err ? RETRY_MS : WRITE_INTERVAL_MS);
}

static void
store_next (struct wy_usage *u)
{
  struct wy_usage_window *w = wy_usage_counts_next (u->counts);
  char partition[WY_USAGE_PARTITION_SIZE_BYTES];
  struct wy_row_ref condition
      = { .table = WY_USAGE_COUNTS_TABLE, .key = u->o.counts_row_key };
  struct wy_row_write write
      = { .table = WY_USAGE_COUNTS_TABLE, .key = u->o.counts_row_key };
  struct wy_rows_tx tx = { .partition = partition,
                           .conditions = &condition,
                           .n_conditions = 1,
                           .writes = &write,
                           .n_writes = 1 };
  char *value;

  if (!w || u->storing)
    return;
  wy_usage_partition (w->number, partition);
  value = wy_usage_counts_encode (w);
  condition.version = w->row_version;
  write.value = value;
  write.size_bytes = strlen (value);
  w->storing = w->changes;
  u->storing = w;
  u->stored_ms = wy_usage_now_ms (u);
  wy_rows_tx (u->o.rows, &tx, on_stored, u);
  g_free (value);
}

/* Schedule a write after a change of the counts.  */
void
wy_usage_schedule_store (struct wy_usage *u)
{
  if (!u->storing)
    schedule (u, WRITE_INTERVAL_MS);
}
