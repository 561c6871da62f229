/* Counts of begun requests by window and organisation.

   A request is counted when it is sent to a target, since an entry that is
   killed must have told of it by then, and taken back when it turns out that
   no target has run it.  */
#include "duties/usage_counts.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

enum
{
  /* The clocks of entries agree to a few ms.  */
  SETTLE_MS = 150,
  /* A request that is still open so long after its window's end stays counted
     as it is.  */
  OPEN_MAX_MS = 1500,
  /* Windows kept after their end, for the store's outages.  */
  KEPT_MS = 60000
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

/* An empty table of counts (gint64 *) by organisation.  */
GHashTable *
wy_usage_counts_table_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Counts for windows of WINDOW_MS.  */
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

/* The window with the number WINDOW; NULL: nothing was counted in it.  */
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

/* A request of ORGANISATION is sent to a target at TRUE_MS since the epoch.
   Returns its window, for wy_usage_counts_end.  */
int64_t
wy_usage_counts_begin (struct wy_usage_counts *c, const char *organisation,
                       int64_t true_ms)
{
  struct wy_usage_window *w = window_at (c, true_ms / c->window_ms);

  add (w->counts, organisation, 1);
  w->open++;
  w->changes++;
  return w->number;
}

/* The outcome of a request counted in WINDOW is known: whether a target has
   BEGUN it.  */
void
wy_usage_counts_end (struct wy_usage_counts *c, int64_t window,
                     const char *organisation, bool begun)
{
  struct wy_usage_window *w = wy_usage_counts_find (c, window);

  if (!w)
    return;
  w->open--;
  if (begun)
    return;
  add (w->counts, organisation, -1);
  w->changes++;
}

/* A window with changes that are not stored and not being stored; NULL: none.
 */
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

/* The newest window such that all that was counted in it and before is in the
   store and will not change, at TRUE_MS.  Forgets windows long past.  */
int64_t
wy_usage_counts_complete (struct wy_usage_counts *c, int64_t true_ms)
{
  int64_t complete = (true_ms - SETTLE_MS) / c->window_ms - 1;
  GHashTableIter it;
  gpointer p;

  g_hash_table_iter_init (&it, c->windows);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      const struct wy_usage_window *w = p;
      int64_t since_end_ms = true_ms - (w->number + 1) * c->window_ms;

      if (since_end_ms > KEPT_MS && !w->storing && w->open == 0)
        g_hash_table_iter_remove (&it);
      else if (!is_settled (w, since_end_ms) && w->number <= complete)
        complete = w->number - 1;
    }
  return complete;
}

/* The counts of W as the store keeps them; the caller frees them.  */
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

/* Add the N bytes of stored counts at P to SUM.  */
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
