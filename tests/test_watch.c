/* Watch on a table of the store: compaction, stalled feed, rejected calls.  */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "rows/watch.h"
#include "support/platform_fixture.h"

static struct platform_fixture w;

static void
start_world (void)
{
  platform_fixture_init (&w);
  platform_fixture_add_env (&w, "n1");
}

struct observed_table
{
  GHashTable *rows; /* value by "partition/key" */
  uint32_t synced;
  const char *expected_key;
  const char *expected_value; /* NULL: deleted */
};

static void
on_row (void *ctx, const struct wy_row *row)
{
  struct observed_table *f = ctx;
  char *key = g_strdup_printf ("%s/%s", row->partition, row->key);

  if (row->deleted)
    g_hash_table_remove (f->rows, key);
  else
    g_hash_table_insert (f->rows, g_strdup (key),
                         g_strndup (row->value, row->size_bytes));
  g_free (key);
}

static void
on_synced (void *ctx)
{
  ((struct observed_table *)ctx)->synced++;
}

static bool
has_expected (void *ctx)
{
  const struct observed_table *f = ctx;

  return f->synced
         && g_strcmp0 (g_hash_table_lookup (f->rows, f->expected_key),
                       f->expected_value)
                == 0;
}

static bool
wait_for_value (struct observed_table *f, const char *key, const char *value)
{
  f->expected_key = key;
  f->expected_value = value;
  return platform_fixture_run_until (&w, has_expected, f);
}

static struct wy_watch *
start_watch (struct observed_table *f, bool all_partitions)
{
  struct wy_watch_options o = { .loop = &w.loop,
                                .clock = wy_clock_system (),
                                .rows = w.env.rows,
                                .table = "t",
                                .all_partitions = all_partitions,
                                .on_row = on_row,
                                .on_synced = on_synced,
                                .ctx = f };

  memset (f, 0, sizeof *f);
  f->rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return wy_watch_new (&o);
}

/* Rows are changed and deleted, and the store compacts its history while the
   feed is stalled, so that one deletion is never in the feed.  The watch must
   still report it.  */
Test (watch, survives_compaction)
{
  struct observed_table f;
  struct wy_watch *watch;
  struct wy_platform_store_faults *faults;

  start_world ();
  faults = wy_platform_store_faults (w.store);
  wy_platform_store_put (w.store, "t", "", "a", "1");
  watch = start_watch (&f, false);
  cr_expect (wait_for_value (&f, "/a", "1"));
  wy_platform_store_put (w.store, "t", "", "a", "2");
  cr_expect (wait_for_value (&f, "/a", "2"));
  wy_platform_store_put (w.store, "t", "", "b", "1");
  wy_platform_store_delete (w.store, "t", "", "a");
  cr_expect (wait_for_value (&f, "/a", NULL));
  faults->silent = true;
  platform_fixture_run_ms (&w, 50);
  wy_platform_store_delete (w.store, "t", "", "b");
  wy_platform_store_put (w.store, "t", "", "c", "1");
  faults->compact_history = true;
  faults->silent = false;
  cr_expect (wait_for_value (&f, "/c", "1"));
  cr_expect (wait_for_value (&f, "/b", NULL));
  wy_watch_free (watch);
  platform_fixture_free (&w);
}

/* A feed call gets no response and its connection stays open.  A change made
   meanwhile must still be reported within about a second.  */
Test (watch, stalled_feed_times_out)
{
  struct observed_table f;
  struct wy_watch *watch;
  int64_t start_ms;

  start_world ();
  watch = start_watch (&f, false);
  wy_platform_store_put (w.store, "t", "", "a", "1");
  cr_expect (wait_for_value (&f, "/a", "1"));
  wy_platform_store_faults (w.store)->stall_feed = true;
  platform_fixture_run_ms (&w, 50);
  wy_platform_store_put (w.store, "t", "", "a", "2");
  wy_platform_store_put (w.store, "t", "", "b", "2");
  start_ms = wy_clock_mono_ms (wy_clock_system ());
  while (wy_clock_mono_ms (wy_clock_system ()) - start_ms < 1000)
    platform_fixture_run_ms (&w, 50);
  wy_platform_store_faults (w.store)->stall_feed = false;
  cr_expect (wait_for_value (&f, "/b", "2"));
  wy_watch_free (watch);
  platform_fixture_free (&w);
}

Test (watch, all_partitions_of_a_table)
{
  struct observed_table f;
  struct wy_watch *watch;

  start_world ();
  wy_platform_store_put (w.store, "t", "p1", "k", "1");
  wy_platform_store_put (w.store, "t", "p2", "k", "2");
  watch = start_watch (&f, true);
  cr_expect (wait_for_value (&f, "p1/k", "1"));
  cr_expect (wait_for_value (&f, "p2/k", "2"));
  wy_platform_store_put (w.store, "t", "p3", "k", "3");
  cr_expect (wait_for_value (&f, "p3/k", "3"));
  wy_watch_free (watch);
  platform_fixture_free (&w);
}

static bool
has_any (void *ctx)
{
  return g_hash_table_size (((struct observed_table *)ctx)->rows) > 0;
}

static bool
is_synced (void *ctx)
{
  return ((struct observed_table *)ctx)->synced > 0;
}

/* A partition must not end after its first page.  */
Test (watch, partitions_of_several_pages)
{
  enum
  {
    ROWS = 1200
  };
  struct observed_table f;
  struct wy_watch *t;
  char key[16];

  start_world ();
  for (int i = 0; i < ROWS; i++)
    {
      snprintf (key, sizeof key, "k%04d", i);
      wy_platform_store_put (w.store, "t", "p", key, "v");
    }
  t = start_watch (&f, true);
  cr_expect (wait_for_value (&f, "p/k1199", "v"));
  cr_expect_eq (g_hash_table_size (f.rows), ROWS);
  wy_watch_free (t);
  g_hash_table_destroy (f.rows);
  platform_fixture_free (&w);
}

/* All processes start at once and read a table of many partitions; a third of
   the reads are over the store's rate limit.  If each process then reread all
   partitions, the load would grow with every rejection, and for seconds no
   process would know the others.  */
Test (watch, only_rejected_partitions_are_reread)
{
  enum
  {
    PARTITIONS = 24,
    REJECTED = 8,
    /* The list of partitions, and the first feed calls.  */
    OTHER_CALLS = 3
  };
  struct observed_table f;
  struct wy_watch *watch;
  struct wy_rows_stats before;
  struct wy_rows_stats after;

  start_world ();
  for (int i = 0; i < PARTITIONS; i++)
    {
      char partition[8];

      g_snprintf (partition, sizeof partition, "p%d", i);
      wy_platform_store_put (w.store, "t", partition, "k", "1");
    }
  wy_rows_stats (w.env.rows, &before);
  watch = start_watch (&f, true);
  cr_assert (platform_fixture_run_until (&w, has_any, &f));
  wy_platform_store_faults (w.store)->respond_429 = REJECTED;
  cr_assert (platform_fixture_run_until (&w, is_synced, &f));
  cr_expect_eq (g_hash_table_size (f.rows), PARTITIONS);
  wy_rows_stats (w.env.rows, &after);
  cr_expect_leq (after.calls - before.calls,
                 PARTITIONS + REJECTED + OTHER_CALLS);
  wy_watch_free (watch);
  platform_fixture_free (&w);
}
