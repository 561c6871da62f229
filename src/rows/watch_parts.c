/* Reading the parts of a table page by page: all parts of a full read, and
   skipped parts that are included later.  */
#include "rows/watch_state.h"

enum
{
  PART_READS_AT_ONCE = 8
};

struct part_read
{
  struct wy_watch *watch;
  char *part;
  char *from; /* start of the page; NULL: first page */
  uint64_t generation;
};

static void on_part (void *ctx, const struct wy_rows_result *r);

static void
read_part_page (struct part_read *p)
{
  struct wy_watch *w = p->watch;
  struct wy_rows_range range
      = { .table = w->o.table, .part = p->part, .from = p->from };

  w->reading++;
  w->pending_calls++;
  wy_rows_get (w->o.rows, &range, on_part, p);
}

static void
on_part (void *ctx, const struct wy_rows_result *r)
{
  struct part_read *p = ctx;
  struct wy_watch *w = p->watch;

  w->reading--;
  if (wy_watch_finish_call (w) && p->generation == w->generation)
    {
      if (r->err)
        {
          w->read_failed = true;
          g_ptr_array_add (w->parts, g_steal_pointer (&p->part));
        }
      for (size_t i = 0; i < r->n; i++)
        wy_watch_tell (w, &r->rows[i]);
      if (!r->err && r->more && r->n)
        {
          g_free (p->from);
          p->from = wy_watch_next_key (&r->rows[r->n - 1]);
          read_part_page (p);
          return;
        }
      wy_watch_read_parts (w);
    }
  g_free (p->from);
  g_free (p->part);
  g_free (p);
}

/* Read the parts listed, at most PART_READS_AT_ONCE in parallel; the feed
   starts when all have been read.  After a failure the reading goes on, after
   a pause, with the parts not yet read: if many processes that start at once
   each began again with all parts, none of them might ever finish.  */
void
wy_watch_read_parts (struct wy_watch *w)
{
  while (!w->read_failed && w->parts->len && w->reading < PART_READS_AT_ONCE)
    {
      struct part_read *p = g_new0 (struct part_read, 1);

      p->watch = w;
      p->generation = w->generation;
      p->part = g_ptr_array_steal_index_fast (w->parts, w->parts->len - 1);
      read_part_page (p);
    }
  if (w->reading)
    return;
  if (w->read_failed)
    {
      w->read_failed = false;
      w->reading_parts = true;
      wy_watch_schedule_retry (w);
    }
  else
    wy_watch_end_sync (w);
}

static void on_skipped_part (void *ctx, const struct wy_rows_result *r);

static void
read_skipped_page (struct part_read *p)
{
  struct wy_watch *w = p->watch;
  struct wy_rows_range range
      = { .table = w->o.table, .part = p->part, .from = p->from };

  w->reading_skipped++;
  w->pending_calls++;
  wy_rows_get (w->o.rows, &range, on_skipped_part, p);
}

static void
on_skipped_part (void *ctx, const struct wy_rows_result *r)
{
  struct part_read *p = ctx;
  struct wy_watch *w = p->watch;

  w->reading_skipped--;
  if (wy_watch_finish_call (w) && p->generation == w->generation)
    {
      for (size_t i = 0; i < r->n; i++)
        wy_watch_tell (w, &r->rows[i]);
      if (!r->err && r->more && r->n)
        {
          g_free (p->from);
          p->from = wy_watch_next_key (&r->rows[r->n - 1]);
          read_skipped_page (p);
          return;
        }
      if (r->err)
        {
          g_hash_table_add (w->skipped, g_steal_pointer (&p->part));
          w->skipped_check_due = true;
        }
    }
  g_free (p->from);
  g_free (p->part);
  g_free (p);
}

/* If a check is due, read the skipped parts that should_read_part now
   includes, at most PART_READS_AT_ONCE in parallel.  */
void
wy_watch_read_skipped (struct wy_watch *w)
{
  GHashTableIter it;
  gpointer part;

  if (!w->skipped_check_due || w->reading_skipped)
    return;
  w->skipped_check_due = false;
  g_hash_table_iter_init (&it, w->skipped);
  while (g_hash_table_iter_next (&it, &part, NULL))
    {
      struct part_read *p;

      if (!w->o.should_read_part (w->o.ctx, part))
        continue;
      if (w->reading_skipped == PART_READS_AT_ONCE)
        {
          w->skipped_check_due = true;
          return;
        }
      p = g_new0 (struct part_read, 1);
      p->watch = w;
      p->generation = w->generation;
      p->part = g_strdup (part);
      g_hash_table_iter_remove (&it);
      read_skipped_page (p);
    }
}
