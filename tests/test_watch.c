/* Following a table of the store: lost history, silence, refusals.  */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "rows/watch.h"
#include "support/platform_world.h"

static struct platform_world w;

static void
start (void)
{
  platform_world_init (&w);
  platform_world_add_env (&w, "n1");
}

struct followed
{
  GHashTable *rows; /* value by "part/key" */
  uint32_t synced;
  const char *wanted_key;
  const char *wanted; /* NULL: gone */
};

static void
on_row (void *ctx, const struct wy_row *row)
{
  struct followed *f = ctx;
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
  ((struct followed *)ctx)->synced++;
}

static bool
has_wanted (void *ctx)
{
  const struct followed *f = ctx;

  return f->synced
         && g_strcmp0 (g_hash_table_lookup (f->rows, f->wanted_key), f->wanted)
                == 0;
}

static bool
comes (struct followed *f, const char *key, const char *value)
{
  f->wanted_key = key;
  f->wanted = value;
  return platform_world_until (&w, has_wanted, f);
}

static struct wy_watch *
follow (struct followed *f, bool all_parts)
{
  struct wy_watch_options o = { .loop = &w.loop,
                                .clock = wy_clock_system (),
                                .rows = w.env.rows,
                                .table = "t",
                                .all_partitions = all_parts,
                                .on_row = on_row,
                                .on_synced = on_synced,
                                .ctx = f };

  memset (f, 0, sizeof *f);
  f->rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return wy_watch_new (&o);
}

/* Rows change, go, and the store forgets its history in between, so that a
   row goes unseen.  What is believed must follow all the same.  */
Test (watch, follows_through_lost_history)
{
  struct followed f;
  struct wy_watch *watch;
  struct wy_platform_store_faults *faults;

  start ();
  faults = wy_platform_store_faults (w.store);
  wy_platform_store_put (w.store, "t", "", "a", "1");
  watch = follow (&f, false);
  cr_expect (comes (&f, "/a", "1"));
  wy_platform_store_put (w.store, "t", "", "a", "2");
  cr_expect (comes (&f, "/a", "2"));
  wy_platform_store_put (w.store, "t", "", "b", "1");
  wy_platform_store_drop (w.store, "t", "", "a");
  cr_expect (comes (&f, "/a", NULL));
  faults->silent = true;
  platform_world_run_ms (&w, 50);
  wy_platform_store_drop (w.store, "t", "", "b");
  wy_platform_store_put (w.store, "t", "", "c", "1");
  faults->forget_history = true;
  faults->silent = false;
  cr_expect (comes (&f, "/c", "1"));
  cr_expect (comes (&f, "/b", NULL));
  wy_watch_free (watch);
  platform_world_free (&w);
}

/* A wait for changes never ends, without its connection closing.  The change
   made meanwhile must still show within about a second.  */
Test (watch, silent_feed_is_left)
{
  struct followed f;
  struct wy_watch *watch;
  int64_t began_ms;

  start ();
  watch = follow (&f, false);
  wy_platform_store_put (w.store, "t", "", "a", "1");
  cr_expect (comes (&f, "/a", "1"));
  wy_platform_store_faults (w.store)->deaf = true;
  platform_world_run_ms (&w, 50);
  wy_platform_store_put (w.store, "t", "", "a", "2");
  wy_platform_store_put (w.store, "t", "", "b", "2");
  began_ms = wy_clock_mono_ms (wy_clock_system ());
  while (wy_clock_mono_ms (wy_clock_system ()) - began_ms < 1000)
    platform_world_run_ms (&w, 50);
  wy_platform_store_faults (w.store)->deaf = false;
  cr_expect (comes (&f, "/b", "2"));
  wy_watch_free (watch);
  platform_world_free (&w);
}

Test (watch, all_parts_of_a_table)
{
  struct followed f;
  struct wy_watch *watch;

  start ();
  wy_platform_store_put (w.store, "t", "p1", "k", "1");
  wy_platform_store_put (w.store, "t", "p2", "k", "2");
  watch = follow (&f, true);
  cr_expect (comes (&f, "p1/k", "1"));
  cr_expect (comes (&f, "p2/k", "2"));
  wy_platform_store_put (w.store, "t", "p3", "k", "3");
  cr_expect (comes (&f, "p3/k", "3"));
  wy_watch_free (watch);
  platform_world_free (&w);
}

static bool
has_any (void *ctx)
{
  return g_hash_table_size (((struct followed *)ctx)->rows) > 0;
}

static bool
is_synced (void *ctx)
{
  return ((struct followed *)ctx)->synced > 0;
}

/* Guards against a part being cut off after its first page.  */
Test (watch, parts_of_several_pages)
{
  enum
  {
    ROWS = 1200
  };
  struct followed f;
  struct wy_watch *t;
  char key[16];

  start ();
  for (int i = 0; i < ROWS; i++)
    {
      snprintf (key, sizeof key, "k%04d", i);
      wy_platform_store_put (w.store, "t", "p", key, "v");
    }
  t = follow (&f, true);
  cr_expect (comes (&f, "p/k1199", "v"));
  cr_expect_eq (g_hash_table_size (f.rows), ROWS);
  wy_watch_free (t);
  g_hash_table_destroy (f.rows);
  platform_world_free (&w);
}

/* All processes start at once and read a table of many parts; the store
   refuses a third of the reads for the rate.  If each of them then read all
   parts again, the load would grow with every refusal, and for seconds none
   would know the others.  */
Test (watch, refused_parts_alone_are_read_again)
{
  enum
  {
    PARTS = 24,
    REFUSED = 8,
    /* The list of parts, and first waits for changes.  */
    OTHER_CALLS = 3
  };
  struct followed f;
  struct wy_watch *watch;
  struct wy_rows_stats before;
  struct wy_rows_stats after;

  start ();
  for (int i = 0; i < PARTS; i++)
    {
      char part[8];

      g_snprintf (part, sizeof part, "p%d", i);
      wy_platform_store_put (w.store, "t", part, "k", "1");
    }
  wy_rows_stats (w.env.rows, &before);
  watch = follow (&f, true);
  cr_assert (platform_world_until (&w, has_any, &f));
  wy_platform_store_faults (w.store)->busy = REFUSED;
  cr_assert (platform_world_until (&w, is_synced, &f));
  cr_expect_eq (g_hash_table_size (f.rows), PARTS);
  wy_rows_stats (w.env.rows, &after);
  cr_expect_leq (after.calls - before.calls, PARTS + REFUSED + OTHER_CALLS);
  wy_watch_free (watch);
  platform_world_free (&w);
}
