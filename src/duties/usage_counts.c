/* Counts of executed requests by window and organisation.

   A request is counted when it is sent to a target, so that the count can be
   stored before the entry is killed.  The count is taken back if no target has
   executed the request.  */
#include "duties/usage_counts.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

enum
{
  /* Bound of the difference between the entries' clocks, which is a few ms. */
  CLOCK_SKEW_MS = 150,
  /* A request still open this long after its window's end no longer delays
     the window's completion.  */
  OPEN_MAX_MS = 1500,
  /* Time that windows are kept after their end, to outlast a store outage.  */
  RETENTION_MS = 60000
};

struct wy_usage_counts
{
  uint32_t window_ms;
  GHashTable *windows; /* struct wy_usage_window by number */
};

static void
free_window (gpointer p)
{
  struct wy_usage_window *w = p;

  g_hash_table_destroy (w->counts);
  g_free (w);
}

/* An empty hash table of counts (gint64 *) by organisation.  */
GHashTable *
wy_usage_counts_table_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Create counts for windows of WINDOW_MS.  */
struct wy_usage_counts *
wy_usage_counts_new (uint32_t window_ms)
{
  struct wy_usage_counts *c = g_new0 (struct wy_usage_counts, 1);

  c->window_ms = window_ms;
  c->windows
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_window);
  return c;
}

/* Free C, which may be NULL.  */
void
wy_usage_counts_free (struct wy_usage_counts *c)
{
  if (!c)
    return;
  g_hash_table_destroy (c->windows);
  g_free (c);
}

static void
add (GHashTable *counts, const char *organisation, gint64 n)
{
  gint64 *v = g_hash_table_lookup (counts, organisation);

  if (!v)
    {
      v = g_new0 (gint64, 1);
      g_hash_table_insert (counts, g_strdup (organisation), v);
    }
  *v += n;
}

/* The window number WINDOW; NULL: nothing was counted in it.  */
struct wy_usage_window *
wy_usage_counts_find (struct wy_usage_counts *c, int64_t window)
{
  return g_hash_table_lookup (c->windows, &window);
}

static struct wy_usage_window *
window_at (struct wy_usage_counts *c, int64_t number)
{
  struct wy_usage_window *w = wy_usage_counts_find (c, number);

  if (w)
    return w;
  w = g_new0 (struct wy_usage_window, 1);
  w->number = number;
  w->counts = wy_usage_counts_table_new ();
  g_hash_table_insert (c->windows, &w->number, w);
  return w;
}

/* Count a request of ORGANISATION sent to a target at WALL_MS since the epoch.
   Returns its window, for wy_usage_counts_end.  */
int64_t
wy_usage_counts_begin (struct wy_usage_counts *c, const char *organisation,
                       int64_t wall_ms)
{
  struct wy_usage_window *w = window_at (c, wall_ms / c->window_ms);

  add (w->counts, organisation, 1);
  w->open++;
  w->changes++;
  return w->number;
}

/* A request of ORGANISATION counted in WINDOW has ended.  Unless EXECUTED, its
   count is taken back.  */
void
wy_usage_counts_end (struct wy_usage_counts *c, int64_t window,
                     const char *organisation, bool executed)
{
  struct wy_usage_window *w = wy_usage_counts_find (c, window);

  if (!w)
    return;
  w->open--;
  if (executed)
    return;
  add (w->counts, organisation, -1);
  w->changes++;
}

/* Oldest window with unstored changes and no write in progress; NULL: none. */
struct wy_usage_window *
wy_usage_counts_next (struct wy_usage_counts *c)
{
  struct wy_usage_window *oldest = NULL;
  GHashTableIter it;
  gpointer p;

  g_hash_table_iter_init (&it, c->windows);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      struct wy_usage_window *w = p;

      if (w->changes != w->stored && !w->storing
          && (!oldest || w->number < oldest->number))
        oldest = w;
    }
  return oldest;
}

static bool
is_settled (const struct wy_usage_window *w, int64_t since_end_ms)
{
  return w->changes == w->stored && !w->storing
         && (w->open == 0 || since_end_ms >= OPEN_MAX_MS);
}

/* The newest window that is complete at WALL_MS: its counts and those of all
   earlier windows are stored and final.  Discards old windows.  */
int64_t
wy_usage_counts_complete (struct wy_usage_counts *c, int64_t wall_ms)
{
  int64_t complete = (wall_ms - CLOCK_SKEW_MS) / c->window_ms - 1;
  GHashTableIter it;
  gpointer p;

  g_hash_table_iter_init (&it, c->windows);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      const struct wy_usage_window *w = p;
      int64_t since_end_ms = wall_ms - (w->number + 1) * c->window_ms;

      if (since_end_ms > RETENTION_MS && !w->storing && w->open == 0)
        g_hash_table_iter_remove (&it);
      else if (!is_settled (w, since_end_ms) && w->number <= complete)
        complete = w->number - 1;
    }
  return complete;
}

/* The counts of W as a JSON object, the value of its row; the caller frees
   it.  */
char *
wy_usage_counts_encode (const struct wy_usage_window *w)
{
  json_t *doc = json_object ();
  GHashTableIter it;
  gpointer name;
  gpointer n;
  char *text;
  char *out;

  g_hash_table_iter_init (&it, w->counts);
  while (g_hash_table_iter_next (&it, &name, &n))
    json_object_set_new (doc, name, json_integer (*(gint64 *)n));
  text = json_dumps (doc, JSON_COMPACT);
  out = g_strdup (text);
  free (text);
  json_decref (doc);
  return out;
}

/* Add the stored counts in the N bytes at P to SUM.  Malformed values and
   counts that are not positive are ignored.  */
void
wy_usage_counts_add (GHashTable *sum, const void *p, size_t n)
{
  json_t *doc = json_loadb (p, n, 0, NULL);
  const char *name;
  json_t *v;

  json_object_foreach (doc, name, v)
  {
    if (json_integer_value (v) > 0)
      add (sum, name, json_integer_value (v));
  }
  json_decref (doc);
}
