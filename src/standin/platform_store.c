/* Stand-in of the platform's store.  A call is performed in one turn of the
   loop, so its answers are linearizable.  */
#include "standin/platform_store_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HEADER_LIMIT_BYTES = 65536,
  BODY_LIMIT_BYTES = 16 << 20,
  IDLE_MS = 60000,
  WAIT_CHECK_MS = 5
};

static void
free_row (gpointer p)
{
  struct wy_platform_row *r = p;

  g_free (r->table);
  g_free (r->part);
  g_free (r->key);
  g_free (r->value);
  g_free (r);
}

static void
free_wait (gpointer p)
{
  struct wy_platform_wait *w = p;

  g_free (w->table);
  g_free (w);
}

/* The row, also a deleted one; NULL: never written.  */
struct wy_platform_row *
wy_platform_store_find (const struct wy_platform_store *s, const char *table,
                        const char *part, const char *key)
{
  for (guint i = 0; i < s->rows->len; i++)
    {
      struct wy_platform_row *r = g_ptr_array_index (s->rows, i);

      if (!strcmp (r->key, key) && !strcmp (r->part, part)
          && !strcmp (r->table, table))
        return r;
    }
  return NULL;
}

/* Give the row the VALUE in base64 and the present version; NULL: delete it.
 */
void
wy_platform_store_set (struct wy_platform_store *s, const char *table,
                       const char *part, const char *key, const char *value)
{
  struct wy_platform_row *r = wy_platform_store_find (s, table, part, key);

  if (!r)
    {
      r = g_new0 (struct wy_platform_row, 1);
      r->table = g_strdup (table);
      r->part = g_strdup (part);
      r->key = g_strdup (key);
      g_ptr_array_add (s->rows, r);
    }
  g_free (r->value);
  r->value = g_strdup (value ? value : "");
  r->deleted = !value;
  r->version = s->version;
}

/* Answer R with DOC, which is taken over, and what each answer tells.  */
void
wy_platform_store_respond (struct wy_platform_store *s,
                           struct wy_h1_request *r, int status, json_t *doc)
{
  static const struct wy_h1_header type
      = { "Content-Type", "application/json" };
  char *text;

  if (!doc)
    doc = json_object ();
  json_object_set_new (doc, "rowVersion", json_integer (s->version));
  json_object_set_new (doc, "nowMs",
                       json_integer ((json_int_t)uv_now (s->loop)));
  text = json_dumps (doc, JSON_COMPACT);
  wy_h1_respond (r, status, &type, 1, text, strlen (text));
  free (text);
  json_decref (doc);
}

/* R as it travels.  */
json_t *
wy_platform_store_row_json (const struct wy_platform_row *r)
{
  json_t *o = json_pack ("{s:s, s:s, s:s, s:s, s:I}", "table", r->table,
                         "part", r->part, "key", r->key, "value", r->value,
                         "rowVersion", (json_int_t)r->version);

  if (r->deleted)
    json_object_set_new (o, "deleted", json_true ());
  return o;
}

/* Write VALUE as the platform or another writer would.  */
int64_t
wy_platform_store_put (struct wy_platform_store *s, const char *table,
                       const char *part, const char *key, const char *value)
{
  char *coded = g_base64_encode ((const guchar *)value, strlen (value));

  s->version++;
  wy_platform_store_set (s, table, part, key, coded);
  g_free (coded);
  return s->version;
}

/* Remove a row as its writer would.  */
void
wy_platform_store_delete (struct wy_platform_store *s, const char *table,
                          const char *part, const char *key)
{
  s->version++;
  wy_platform_store_set (s, table, part, key, NULL);
}

/* The value of a row as text, which the caller frees; NULL: none.  */
char *
wy_platform_store_value (const struct wy_platform_store *s, const char *table,
                         const char *part, const char *key)
{
  const struct wy_platform_row *r
      = wy_platform_store_find (s, table, part, key);
  gsize n;
  guchar *p;
  char *out;

  if (!r || r->deleted)
    return NULL;
  p = g_base64_decode (r->value, &n);
  out = g_strndup ((char *)p, n);
  g_free (p);
  return out;
}

/* Rows of a part.  */
uint32_t
wy_platform_store_row_count (const struct wy_platform_store *s,
                             const char *table, const char *part)
{
  uint32_t n = 0;

  for (guint i = 0; i < s->rows->len; i++)
    {
      const struct wy_platform_row *r = g_ptr_array_index (s->rows, i);

      n += !r->deleted && !strcmp (r->table, table) && !strcmp (r->part, part);
    }
  return n;
}

/* Objects that are kept.  */
uint32_t
wy_platform_store_object_count (const struct wy_platform_store *s)
{
  return g_hash_table_size (s->objects);
}

/* What goes wrong, to be changed at will.  */
struct wy_platform_store_faults *
wy_platform_store_faults (struct wy_platform_store *s)
{
  return &s->faults;
}

static void
put_object (struct wy_platform_store *s, struct wy_h1_request *r,
            const char *name)
{
  size_t n;
  const char *body = wy_h1_body (r, &n);

  if (s->faults.respond_507)
    {
      s->faults.respond_507--;
      wy_platform_store_respond (s, r, 507, NULL);
    }
  else if (g_hash_table_contains (s->objects, name))
    wy_platform_store_respond (s, r, 412, NULL);
  else
    {
      g_hash_table_insert (s->objects, g_strdup (name), g_bytes_new (body, n));
      wy_platform_store_respond (s, r, 200, NULL);
    }
}

static void
get_object (struct wy_platform_store *s, struct wy_h1_request *r,
            const char *name)
{
  GBytes *b = g_hash_table_lookup (s->objects, name);
  gsize n = 0;
  const void *p = b ? g_bytes_get_data (b, &n) : "";

  wy_h1_respond (r, b ? 200 : 404, NULL, 0, p, n);
}

static bool
disturbed (struct wy_platform_store *s, struct wy_h1_request *r)
{
  if (s->faults.silent)
    return true; /* the caller's own time limit ends it */
  if (s->faults.respond_503)
    {
      s->faults.respond_503--;
      wy_platform_store_respond (s, r, 503, NULL);
      return true;
    }
  if (s->faults.respond_429)
    {
      s->faults.respond_429--;
      wy_platform_store_respond (s, r, 429, NULL);
      return true;
    }
  return false;
}

static void
on_request (void *ctx, struct wy_h1_request *r)
{
  struct wy_platform_store *s = ctx;
  const char *t = wy_h1_target (r);

  if (disturbed (s, r))
    return;
  if (g_str_has_prefix (t, "/api/rows-get"))
    wy_platform_store_get (s, r, t);
  else if (g_str_has_prefix (t, "/api/rows-parts"))
    wy_platform_store_partitions (s, r, t);
  else if (g_str_has_prefix (t, "/api/rows-feed"))
    wy_platform_store_feed (s, r, t);
  else if (g_str_has_prefix (t, "/api/rows-tx"))
    wy_platform_store_transact (s, r);
  else if (g_str_has_prefix (t, "/api/blob-put/"))
    put_object (s, r, t + strlen ("/api/blob-put/"));
  else if (g_str_has_prefix (t, "/api/blob-drop/"))
    wy_h1_respond (
        r,
        g_hash_table_remove (s->objects, t + strlen ("/api/blob-drop/")) ? 200
                                                                         : 404,
        NULL, 0, "", 0);
  else if (g_str_has_prefix (t, "/api/blob-get/"))
    get_object (s, r, t + strlen ("/api/blob-get/"));
  else
    wy_platform_store_respond (s, r, 404, NULL);
}

static void
free_bytes (gpointer p)
{
  g_bytes_unref (p);
}

/* Start a store as O says; NULL: its port is taken.  */
struct wy_platform_store *
wy_platform_store_new (const struct wy_platform_store_options *o)
{
  struct wy_platform_store *s = g_new0 (struct wy_platform_store, 1);
  struct wy_h1_server_options h
      = { .loop = o->loop,
          .host = "127.0.0.1",
          .port = o->port,
          .limits = { .header_bytes = HEADER_LIMIT_BYTES,
                      .body_bytes = BODY_LIMIT_BYTES,
                      .header_timeout_ms = IDLE_MS,
                      .idle_timeout_ms = IDLE_MS,
                      .buffered_bytes = UINT64_MAX / 2 },
          .on_request = on_request,
          .ctx = s };

  if (wy_h1_server_new (&s->server, &h))
    {
      g_free (s);
      return NULL;
    }
  s->loop = o->loop;
  s->rows = g_ptr_array_new_with_free_func (free_row);
  s->waits = g_ptr_array_new_with_free_func (free_wait);
  s->objects
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_bytes);
  uv_timer_init (o->loop, &s->tick);
  s->tick.data = s;
  uv_timer_start (&s->tick, wy_platform_store_tick, WAIT_CHECK_MS,
                  WAIT_CHECK_MS);
  return s;
}

/* Close all of S; the loop must turn afterwards.  Rows stay readable until
   the process ends.  */
void
wy_platform_store_free (struct wy_platform_store *s)
{
  g_ptr_array_set_size (s->waits, 0);
  wy_h1_server_free (s->server);
  uv_close ((uv_handle_t *)&s->tick, NULL);
}

/* The port S listens on.  */
uint16_t
wy_platform_store_port (const struct wy_platform_store *s)
{
  return wy_h1_server_port (s->server);
}
