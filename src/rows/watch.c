/* Watch on a table: a snapshot, then the table's change feed.

   A feed can stop sending without closing, lose its history, or be rejected
   for this instance alone.  So each wait is short, each call has its own
   timeout, and a feed that has lost its history restarts from a new snapshot,
   which also shows which rows were deleted in between.  */
#include "rows/watch.h"

#include <string.h>

#include <glib.h>

#include "base/rng.h"
#include "trace/json_log.h"

enum
{
  /* Longer waits save calls but delay the detection of a stalled feed.  */
  FEED_WAIT_MS = 700,
  RETRY_MIN_MS = 60,
  RETRY_MAX_MS = 600,
  CONCURRENT_READS_MAX = 8
};

struct wy_watch
{
  struct wy_watch_options o;
  uv_timer_t timer;
  struct wy_rng rng;
  GHashTable *known; /* "partition\nkey" -> generation last seen */
  uint64_t generation;
  int64_t version; /* position in the feed */
  int64_t snapshot_version;
  int64_t last_response_ms;
  int64_t last_call_ms;
  uint32_t retry_ms;
  char *from; /* start of the next page */
  GPtrArray *unread_partitions;
  uint32_t pending_reads;
  bool read_failed;
  bool retry_partitions; /* failed ones are due again */
  bool synced;
  bool calling;
  uint32_t pending_calls; /* calls to the store in progress */
  bool timer_closed;
  bool closing;
};

static void
free_if_idle (struct wy_watch *w)
{
  if (w->pending_calls || !w->timer_closed)
    return;
  g_hash_table_destroy (w->known);
  g_ptr_array_set_free_func (w->unread_partitions, g_free);
  g_ptr_array_free (w->unread_partitions, TRUE);
  g_free (w->from);
  g_free (w);
}

static void
on_timer_closed (uv_handle_t *h)
{
  struct wy_watch *w = h->data;

  w->timer_closed = true;
  free_if_idle (w);
}

/* Count the end of a call of W.  Returns false if W is closing; it may have
   been freed then.  */
static bool
finish_call (struct wy_watch *w)
{
  w->pending_calls--;
  if (!w->closing)
    return true;
  free_if_idle (w);
  return false;
}

struct partition_read
{
  struct wy_watch *watch;
  char *partition;
  char *from; /* NULL: first page */
  uint64_t generation;
};

static void next_call (struct wy_watch *w);

static void
on_timer (uv_timer_t *t)
{
  next_call (t->data);
}

static void
schedule (struct wy_watch *w, uint32_t delay_ms)
{
  w->calling = false;
  if (!w->closing)
    uv_timer_start (&w->timer, on_timer, delay_ms, 0);
}

static void
schedule_retry (struct wy_watch *w)
{
  uint32_t jitter_ms = wy_rng_below (&w->rng, w->retry_ms + 1);

  schedule (w, w->retry_ms / 2 + jitter_ms / 2);
  w->retry_ms = MIN (w->retry_ms * 2, RETRY_MAX_MS);
}

static void
schedule_next (struct wy_watch *w)
{
  int64_t now_ms = wy_clock_mono_ms (w->o.clock);
  int64_t due_ms = w->last_call_ms + w->o.min_interval_ms;

  w->retry_ms = RETRY_MIN_MS;
  schedule (w, due_ms > now_ms ? (uint32_t)(due_ms - now_ms) : 0);
}

/* The least key after that of ROW, allocated.  */
static char *
next_key (const struct wy_row *row)
{
  return g_strconcat (row->key, "\x01", NULL);
}

static char *
key_of (const struct wy_row *row)
{
  return g_strconcat (row->partition, "\n", row->key, NULL);
}

static void
report_row (struct wy_watch *w, const struct wy_row *row)
{
  char *key = key_of (row);

  if (row->deleted)
    g_hash_table_remove (w->known, key);
  else
    {
      uint64_t *g = g_new (uint64_t, 1);

      *g = w->generation;
      g_hash_table_insert (w->known, g_strdup (key), g);
    }
  w->o.on_row (w->o.ctx, row);
  g_free (key);
}

/* Report rows that the snapshot does not have as deleted.  */
static void
report_missing_rows (struct wy_watch *w)
{
  GHashTableIter it;
  gpointer key;
  gpointer g;

  g_hash_table_iter_init (&it, w->known);
  while (g_hash_table_iter_next (&it, &key, &g))
    {
      char **words;
      struct wy_row row = { .table = w->o.table, .deleted = true };

      if (*(uint64_t *)g == w->generation)
        continue;
      words = g_strsplit (key, "\n", 2);
      row.partition = words[0];
      row.key = words[1];
      row.version = w->snapshot_version;
      g_hash_table_iter_remove (&it);
      w->o.on_row (w->o.ctx, &row);
      g_strfreev (words);
    }
}

static void
finish_snapshot (struct wy_watch *w)
{
  report_missing_rows (w);
  w->version = w->snapshot_version;
  if (!w->synced)
    wy_json_log ("watch.synced", "table=%s rows=%u version=%lld", w->o.table,
                 g_hash_table_size (w->known), (long long)w->version);
  w->synced = true;
  if (w->o.on_synced)
    w->o.on_synced (w->o.ctx);
  schedule_next (w);
}

static void
reset_snapshot (struct wy_watch *w)
{
  w->synced = false;
  w->generation++;
  w->snapshot_version = 0;
  w->read_failed = false;
  w->retry_partitions = false;
  g_clear_pointer (&w->from, g_free);
  g_ptr_array_set_size (w->unread_partitions, 0);
}

static void
on_page (void *ctx, const struct wy_rows_result *r)
{
  struct wy_watch *w = ctx;

  if (!finish_call (w))
    return;
  if (r->err)
    {
      reset_snapshot (w);
      schedule_retry (w);
      return;
    }
  w->last_response_ms = wy_clock_mono_ms (w->o.clock);
  /* Changes made while pages are read are in the feed after the first page's
     version.  */
  if (w->snapshot_version == 0)
    w->snapshot_version = r->version;
  for (size_t i = 0; i < r->n; i++)
    report_row (w, &r->rows[i]);
  if (!r->has_more || r->n == 0)
    {
      finish_snapshot (w);
      return;
    }
  g_free (w->from);
  w->from = next_key (&r->rows[r->n - 1]);
  schedule (w, 0);
}

static void read_partitions (struct wy_watch *w);
static void on_partition_page (void *ctx, const struct wy_rows_result *r);

static void
read_partition_page (struct partition_read *p)
{
  struct wy_watch *w = p->watch;
  struct wy_rows_range range
      = { .table = w->o.table, .partition = p->partition, .from = p->from };

  w->pending_reads++;
  w->pending_calls++;
  wy_rows_get (w->o.rows, &range, on_partition_page, p);
}

static void
on_partition_page (void *ctx, const struct wy_rows_result *r)
{
  struct partition_read *p = ctx;
  struct wy_watch *w = p->watch;

  w->pending_reads--;
  if (finish_call (w) && p->generation == w->generation)
    {
      if (r->err)
        {
          w->read_failed = true;
          g_ptr_array_add (w->unread_partitions,
                           g_steal_pointer (&p->partition));
        }
      for (size_t i = 0; i < r->n; i++)
        report_row (w, &r->rows[i]);
      if (!r->err && r->has_more && r->n)
        {
          g_free (p->from);
          p->from = next_key (&r->rows[r->n - 1]);
          read_partition_page (p);
          return;
        }
      read_partitions (w);
    }
  g_free (p->from);
  g_free (p->partition);
  g_free (p);
}

/* Read the listed partitions, several at once; the feed starts after the last.
   Only partitions that could not be read are read again, after a pause: if
   many processes that start together each reread everything, the load would
   keep all of them from completing.  */
static void
read_partitions (struct wy_watch *w)
{
  while (!w->read_failed && w->unread_partitions->len
         && w->pending_reads < CONCURRENT_READS_MAX)
    {
      struct partition_read *p = g_new0 (struct partition_read, 1);

      p->watch = w;
      p->generation = w->generation;
      p->partition = g_ptr_array_steal_index_fast (
          w->unread_partitions, w->unread_partitions->len - 1);
      read_partition_page (p);
    }
  if (w->pending_reads)
    return;
  if (w->read_failed)
    {
      w->read_failed = false;
      w->retry_partitions = true;
      schedule_retry (w);
    }
  else
    finish_snapshot (w);
}

static void
on_partitions (void *ctx, const struct wy_rows_result *r)
{
  struct wy_watch *w = ctx;

  if (!finish_call (w))
    return;
  if (r->err)
    {
      reset_snapshot (w);
      schedule_retry (w);
      return;
    }
  w->last_response_ms = wy_clock_mono_ms (w->o.clock);
  if (w->snapshot_version == 0)
    w->snapshot_version = r->version;
  for (size_t i = 0; i < r->n_partitions; i++)
    g_ptr_array_add (w->unread_partitions, g_strdup (r->partitions[i]));
  if (r->has_more && r->n_partitions)
    {
      g_free (w->from);
      w->from = g_strdup (r->partitions[r->n_partitions - 1]);
      schedule (w, 0);
      return;
    }
  read_partitions (w);
}

static void
on_feed (void *ctx, const struct wy_rows_result *r)
{
  struct wy_watch *w = ctx;

  if (!finish_call (w))
    return;
  if (r->err == WY_ROWS_ECOMPACTED)
    {
      wy_json_log ("watch.restarted", "table=%s reason=history version=%lld",
                   w->o.table, (long long)w->version);
      reset_snapshot (w);
      schedule (w, 0);
      return;
    }
  if (r->err)
    {
      schedule_retry (w);
      return;
    }
  w->last_response_ms = wy_clock_mono_ms (w->o.clock);
  for (size_t i = 0; i < r->n; i++)
    if (w->o.all_partitions || !*r->rows[i].partition)
      report_row (w, &r->rows[i]);
  if (r->version > w->version)
    w->version = r->version;
  schedule_next (w);
}

static void
next_call (struct wy_watch *w)
{
  struct wy_rows_range range
      = { .table = w->o.table, .partition = "", .from = w->from };

  w->calling = true;
  w->last_call_ms = wy_clock_mono_ms (w->o.clock);
  if (w->retry_partitions)
    {
      w->retry_partitions = false;
      read_partitions (w);
      return;
    }
  w->pending_calls++;
  if (w->synced)
    wy_rows_read_feed (w->o.rows, w->o.table, w->version, FEED_WAIT_MS,
                       on_feed, w);
  else if (w->o.all_partitions)
    wy_rows_list_partitions (w->o.rows, w->o.table, w->from, on_partitions, w);
  else
    wy_rows_get (w->o.rows, &range, on_page, w);
}

/* Start a watch with the options O.  */
struct wy_watch *
wy_watch_new (const struct wy_watch_options *o)
{
  struct wy_watch *w = g_new0 (struct wy_watch, 1);

  w->o = *o;
  w->retry_ms = RETRY_MIN_MS;
  w->known = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  w->unread_partitions = g_ptr_array_new ();
  wy_rng_seed (&w->rng, o->seed);
  uv_timer_init (o->loop, &w->timer);
  w->timer.data = w;
  reset_snapshot (w);
  schedule (w, 0);
  return w;
}

/* Stop watching.  W is freed when its pending calls have ended.  */
void
wy_watch_free (struct wy_watch *w)
{
  w->closing = true;
  uv_close ((uv_handle_t *)&w->timer, on_timer_closed);
}

/* Whether all rows have been reported.  */
bool
wy_watch_is_synced (const struct wy_watch *w)
{
  return w->synced;
}

/* Time in ms since the store's last response; -1 before the first.  */
int64_t
wy_watch_age_ms (const struct wy_watch *w)
{
  if (w->last_response_ms == 0)
    return -1;
  return wy_clock_mono_ms (w->o.clock) - w->last_response_ms;
}
