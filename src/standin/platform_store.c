/* Stand-in of the platform's store.  Each call is performed in one iteration
   of the loop, so the store is linearizable.  */
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
  g_free (r->partition);
  g_free (r->key);
  g_free (r->value);
  g_free (r);
}

static void
free_wait (gpointer p)
{
  struct wy_platform_feed_wait *w = p;

  g_free (w->table);
  g_free (w);
}

/* Return the row, even if it is deleted, or NULL if it was never written.  */
struct wy_platform_row *
wy_platform_store_find (const struct wy_platform_store *s, const char *table,
                        const char *partition, const char *key)
{
  for (guint i = 0; i < s->rows->len; i++)
    {
      struct wy_platform_row *r = g_ptr_array_index (s->rows, i);

      if (!strcmp (r->key, key) && !strcmp (r->partition, partition)
          && !strcmp (r->table, table))
        return r;
    }
  return NULL;
}

/* Set the row to VALUE, in base64, with the store's current version.  Delete
   it if VALUE is NULL.  */
void
wy_platform_store_set (struct wy_platform_store *s, const char *table,
                       const char *partition, const char *key,
                       const char *value)
{
  struct wy_platform_row *r
      = wy_platform_store_find (s, table, partition, key);

  if (!r)
    {
      r = g_new0 (struct wy_platform_row, 1);
      r->table = g_strdup (table);
      r->partition = g_strdup (partition);
      r->key = g_strdup (key);
      g_ptr_array_add (s->rows, r);
    }
  g_free (r->value);
  r->value = g_strdup (value ? value : "");
  r->deleted = !value;
  r->version = s->version;
}

/* Respond to R with DOC, whose reference is consumed, and the members that
   every response has.  DOC may be NULL.  */
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

/* Return R in the JSON form of the API.  */
json_t *
wy_platform_store_row_json (const struct wy_platform_row *r)
{
  json_t *o = json_pack ("{s:s, s:s, s:s, s:s, s:I}", "table", r->table,
                         "part", r->partition, "key", r->key, "value",
                         r->value, "rowVersion", (json_int_t)r->version);

  if (r->deleted)
    json_object_set_new (o, "deleted", json_true ());
  return o;
}

/* Write VALUE to a row and return the store's new version.  */
int64_t
wy_platform_store_put (struct wy_platform_store *s, const char *table,
                       const char *partition, const char *key,
                       const char *value)
{
  char *coded = g_base64_encode ((const guchar *)value, strlen (value));

  s->version++;
  wy_platform_store_set (s, table, partition, key, coded);
  g_free (coded);
  return s->version;
}

/* Delete a row.  */
void
wy_platform_store_delete (struct wy_platform_store *s, const char *table,
                          const char *partition, const char *key)
{
  s->version++;
  wy_platform_store_set (s, table, partition, key, NULL);
}

/* Return the decoded value of a row, which the caller frees, or NULL if there
   is none.  */
char *
wy_platform_store_value (const struct wy_platform_store *s, const char *table,
                         const char *partition, const char *key)
{
  const struct wy_platform_row *r
      = wy_platform_store_find (s, table, partition, key);
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

/* Return the number of rows in a partition.  */
uint32_t
wy_platform_store_row_count (const struct wy_platform_store *s,
                             const char *table, const char *partition)
{
  uint32_t n = 0;

  for (guint i = 0; i < s->rows->len; i++)
    {
      const struct wy_platform_row *r = g_ptr_array_index (s->rows, i);

      n += !r->deleted && !strcmp (r->table, table)
           && !strcmp (r->partition, partition);
    }
  return n;
}

/* Return the number of stored objects.  */
uint32_t
wy_platform_store_object_count (const struct wy_platform_store *s)
{
  return g_hash_table_size (s->objects);
}

/* Return the injected faults of S, which may be changed at any time.  */
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
inject_fault (struct wy_platform_store *s, struct wy_h1_request *r)
{
  if (s->faults.silent)
    return true; /* the caller times out */
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

  if (inject_fault (s, r))
    return;
  if (g_str_has_prefix (t, "/api/rows-get"))
    wy_platform_store_read_rows (s, r, t);
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

/* Start a store with the options O.  Return NULL if its port is in use.  */
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
  uv_timer_init (o->loop, &s->wait_timer);
  s->wait_timer.data = s;
  uv_timer_start (&s->wait_timer, wy_platform_store_check_waits, WAIT_CHECK_MS,
                  WAIT_CHECK_MS);
  return s;
}

/* Close S.  The loop must run afterwards until its handles are closed.  Rows
   stay readable until the process ends.  */
void
wy_platform_store_free (struct wy_platform_store *s)
{
  g_ptr_array_set_size (s->waits, 0);
  wy_h1_server_free (s->server);
  uv_close ((uv_handle_t *)&s->wait_timer, NULL);
}

/* Return the port that S listens on.  */
uint16_t
wy_platform_store_port (const struct wy_platform_store *s)
{
  return wy_h1_server_port (s->server);
}
