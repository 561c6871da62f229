/* Stand-in of the platform's store: reads and the feed of changes.  */
#include "standin/platform_store_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  PAGE_ROWS = 500,
  PAGE_BYTES = 1 << 20
};

static char *
query_parameter (const char *target, const char *name)
{
  const char *p = strchr (target, '?');
  size_t n = strlen (name);

  while (p)
    {
      p++;
      if (!strncmp (p, name, n) && p[n] == '=')
        {
          const char *v = p + n + 1;

          return g_uri_unescape_segment (v, v + strcspn (v, "&"), NULL);
        }
      p = strchr (p, '&');
    }
  return NULL;
}

static gint
by_key (gconstpointer a, gconstpointer b)
{
  const struct wy_platform_row *x = *(struct wy_platform_row *const *)a;
  const struct wy_platform_row *y = *(struct wy_platform_row *const *)b;

  return strcmp (x->key, y->key);
}

static gint
by_version (gconstpointer a, gconstpointer b)
{
  const struct wy_platform_row *x = *(struct wy_platform_row *const *)a;
  const struct wy_platform_row *y = *(struct wy_platform_row *const *)b;

  return x->version < y->version ? -1 : x->version > y->version;
}

/* Handle a read of a range of rows.  */
void
wy_platform_store_read_rows (struct wy_platform_store *s,
                             struct wy_h1_request *r, const char *target)
{
  char *table = query_parameter (target, "table");
  char *partition = query_parameter (target, "part");
  char *from = query_parameter (target, "from");
  char *to = query_parameter (target, "to");
  char *limit = query_parameter (target, "limit");
  guint max_rows = limit ? (guint)atoi (limit) : PAGE_ROWS;
  GPtrArray *found = g_ptr_array_new ();
  json_t *rows = json_array ();
  size_t size = 0;
  guint n = 0;

  for (guint i = 0; table && partition && i < s->rows->len; i++)
    {
      struct wy_platform_row *row = g_ptr_array_index (s->rows, i);

      if (!row->deleted && !strcmp (row->table, table)
          && !strcmp (row->partition, partition)
          && (!from || strcmp (row->key, from) >= 0)
          && (!to || strcmp (row->key, to) < 0))
        g_ptr_array_add (found, row);
    }
  g_ptr_array_sort (found, by_key);
  for (; n < found->len && n < MIN (max_rows, PAGE_ROWS); n++)
    {
      const struct wy_platform_row *row = g_ptr_array_index (found, n);

      size += strlen (row->value);
      if (n && size > PAGE_BYTES)
        break;
      json_array_append_new (rows, wy_platform_store_row_json (row));
    }
  wy_platform_store_respond (
      s, r, 200,
      json_pack ("{s:o, s:b}", "rows", rows, "morePages", n < found->len));
  g_ptr_array_free (found, TRUE);
  g_free (table);
  g_free (partition);
  g_free (from);
  g_free (to);
  g_free (limit);
}

/* Handle a listing of the partitions of a table.  */
void
wy_platform_store_partitions (struct wy_platform_store *s,
                              struct wy_h1_request *r, const char *target)
{
  char *table = query_parameter (target, "table");
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  json_t *list = json_array ();

  for (guint i = 0; table && i < s->rows->len; i++)
    {
      const struct wy_platform_row *row = g_ptr_array_index (s->rows, i);

      if (!row->deleted && !strcmp (row->table, table)
          && g_hash_table_add (seen, row->partition))
        json_array_append_new (list, json_string (row->partition));
    }
  wy_platform_store_respond (
      s, r, 200, json_pack ("{s:o, s:b}", "parts", list, "morePages", 0));
  g_hash_table_destroy (seen);
  g_free (table);
}

static bool
respond_wait (struct wy_platform_feed_wait *w)
{
  struct wy_platform_store *s = w->store;
  GPtrArray *found = g_ptr_array_new ();
  json_t *rows;

  for (guint i = 0; i < s->rows->len; i++)
    {
      struct wy_platform_row *row = g_ptr_array_index (s->rows, i);

      if (row->version > w->after && !strcmp (row->table, w->table))
        g_ptr_array_add (found, row);
    }
  if (found->len == 0 && uv_now (s->loop) < w->until_ms)
    {
      g_ptr_array_free (found, TRUE);
      return false;
    }
  g_ptr_array_sort (found, by_version);
  rows = json_array ();
  for (guint i = 0; i < found->len; i++)
    json_array_append_new (
        rows, wy_platform_store_row_json (g_ptr_array_index (found, i)));
  g_ptr_array_free (found, TRUE);
  wy_h1_on_hangup (w->request, NULL, NULL);
  wy_platform_store_respond (s, w->request, 200,
                             json_pack ("{s:o}", "rows", rows));
  return true;
}

/* Respond to the feed calls that have changes or have reached their timeout.
 */
void
wy_platform_store_check_waits (uv_timer_t *t)
{
  struct wy_platform_store *s = t->data;

  for (guint i = s->waits->len; !s->faults.stall_feed && i > 0; i--)
    if (respond_wait (g_ptr_array_index (s->waits, i - 1)))
      g_ptr_array_remove_index (s->waits, i - 1);
}

static void
on_wait_disconnect (void *ctx)
{
  struct wy_platform_feed_wait *w = ctx;

  g_ptr_array_remove (w->store->waits, w);
}

/* Handle a read of the feed of a table, which waits until there are changes.
 */
void
wy_platform_store_feed (struct wy_platform_store *s, struct wy_h1_request *r,
                        const char *target)
{
  char *after = query_parameter (target, "after");
  char *wait_ms = query_parameter (target, "waitMs");
  struct wy_platform_feed_wait *w;

  if (s->faults.compact_history)
    {
      s->faults.compact_history = false;
      wy_platform_store_respond (s, r, 410, NULL);
    }
  else
    {
      w = g_new0 (struct wy_platform_feed_wait, 1);
      w->store = s;
      w->request = r;
      w->table = query_parameter (target, "table");
      w->after = after ? g_ascii_strtoll (after, NULL, 10) : 0;
      w->until_ms = uv_now (s->loop)
                    + (wait_ms ? g_ascii_strtoull (wait_ms, NULL, 10) : 0);
      g_ptr_array_add (s->waits, w);
      wy_h1_on_hangup (r, on_wait_disconnect, w);
    }
  g_free (after);
  g_free (wait_ms);
}
