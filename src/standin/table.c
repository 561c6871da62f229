/* Stand-in of the table service and object store.  A transaction is checked
   and written in one iteration of the loop, so it is atomic.  */
#include <string.h>

#include "standin/kinds.h"

struct settings
{
  struct wy_standin_settings common;
  int64_t writes_per_s;
  int64_t reads_per_s;
};

static const struct wy_setting table[] = {
  { "writes_per_s", WY_SETTING_INTEGER,
    offsetof (struct settings, writes_per_s), "600", 0, 1e9, NULL, "1/s",
    "limit of transactions and objects written; 0: none" },
  { "reads_per_s", WY_SETTING_INTEGER, offsetof (struct settings, reads_per_s),
    "2000", 0, 1e9, NULL, "1/s", "limit of reads; 0: none" },
};

struct row
{
  char *key;
  int64_t rev;
  json_t *value;
};

struct store
{
  GHashTable *rows;    /* key -> struct row */
  GHashTable *objects; /* key -> GBytes */
  int64_t rev;
  struct wy_standin_rate_limit writes;
  struct wy_standin_rate_limit reads;
};

static void
row_free (gpointer p)
{
  struct row *r = p;

  json_decref (r->value);
  g_free (r->key);
  g_free (r);
}

static json_t *
row_json (const struct row *r, const char *key)
{
  if (!r)
    return json_pack ("{s:s, s:i, s:n}", "key", key, "rev", 0, "value");
  return json_pack ("{s:s, s:I, s:O}", "key", key, "rev", (json_int_t)r->rev,
                    "value", r->value);
}

/* Return the rows whose condition does not hold.  */
static json_t *
failed_conditions (const struct store *t, const json_t *conditions)
{
  json_t *failed = json_array ();
  json_t *cond;
  size_t i;

  json_array_foreach (conditions, i, cond)
  {
    const char *key = json_string_value (json_object_get (cond, "key"));
    int64_t rev = json_integer_value (json_object_get (cond, "rev"));
    struct row *r = key ? g_hash_table_lookup (t->rows, key) : NULL;

    if (key && (r ? r->rev : 0) != rev)
      json_array_append_new (failed, row_json (r, key));
  }
  return failed;
}

static void
write_row (struct store *t, const char *key, json_t *value)
{
  struct row *r;

  if (json_is_null (value))
    {
      g_hash_table_remove (t->rows, key);
      return;
    }
  r = g_new0 (struct row, 1);
  r->key = g_strdup (key);
  r->rev = t->rev;
  r->value = json_incref (value);
  g_hash_table_replace (t->rows, r->key, r);
}

static void
transact (struct store *t, struct wy_standin_call *c)
{
  json_t *body = wy_standin_body_json (c);
  json_t *failed = failed_conditions (t, json_object_get (body, "conditions"));
  json_t *write;
  size_t i;

  if (json_array_size (failed) > 0)
    {
      json_decref (body);
      wy_standin_respond_json (
          c, 409, json_pack ("{s:b, s:o}", "ok", 0, "failed", failed));
      return;
    }
  json_decref (failed);
  t->rev++;
  json_array_foreach (json_object_get (body, "writes"), i, write)
  {
    const char *key = json_string_value (json_object_get (write, "key"));

    if (key)
      write_row (t, key, json_object_get (write, "value"));
  }
  json_decref (body);
  wy_standin_respond_json (
      c, 200, json_pack ("{s:b, s:I}", "ok", 1, "rev", (json_int_t)t->rev));
}

static int
compare_keys (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}

static json_t *
rows_with_prefix (const struct store *t, const char *prefix)
{
  GPtrArray *keys = g_ptr_array_new ();
  json_t *rows = json_array ();
  GHashTableIter it;
  gpointer key;

  g_hash_table_iter_init (&it, t->rows);
  while (g_hash_table_iter_next (&it, &key, NULL))
    if (g_str_has_prefix (key, prefix))
      g_ptr_array_add (keys, key);
  g_ptr_array_sort (keys, compare_keys);
  for (guint i = 0; i < keys->len; i++)
    json_array_append_new (
        rows, row_json (g_hash_table_lookup (t->rows, keys->pdata[i]),
                        keys->pdata[i]));
  g_ptr_array_free (keys, TRUE);
  return rows;
}

static void
read_rows (struct store *t, struct wy_standin_call *c)
{
  json_t *body = wy_standin_body_json (c);
  const char *prefix = json_string_value (json_object_get (body, "prefix"));
  json_t *rows = prefix ? rows_with_prefix (t, prefix) : json_array ();
  json_t *key;
  size_t i;

  json_array_foreach (json_object_get (body, "keys"), i, key)
  {
    const char *name = json_string_value (key);
    struct row *r = name ? g_hash_table_lookup (t->rows, name) : NULL;

    if (r)
      json_array_append_new (rows, row_json (r, r->key));
  }
  json_decref (body);
  wy_standin_respond_json (
      c, 200,
      json_pack ("{s:I, s:o}", "rev", (json_int_t)t->rev, "rows", rows));
}

static void
handle_object (struct store *t, struct wy_standin_call *c, const char *key)
{
  size_t n;
  const void *p = wy_http_body (c->ex, &n);
  GBytes *bytes;

  if (!strcmp (wy_http_method (c->ex), "PUT"))
    {
      g_hash_table_replace (t->objects, g_strdup (key), g_bytes_new (p, n));
      wy_standin_respond_json (c, 200, NULL);
      return;
    }
  bytes = g_hash_table_lookup (t->objects, key);
  if (!bytes)
    {
      wy_standin_respond_json (c, 404, NULL);
      return;
    }
  p = g_bytes_get_data (bytes, &n);
  wy_standin_respond (c, 200, "application/octet-stream", p, n);
}

/* Count one call against its rate limit.  Return false if it exceeds it.  */
static bool
take_rate (struct wy_standin *s, bool write)
{
  const struct settings *o = s->settings;
  struct store *t = s->state;
  struct wy_standin_fault *f = wy_standin_active_fault (s, WY_FAULT_RATE);
  double rate = (double)(write ? o->writes_per_s : o->reads_per_s);

  return wy_standin_rate_limit_take (write ? &t->writes : &t->reads,
                                     f ? f->value : rate, 1,
                                     wy_standin_now_ms (s));
}

static void
on_request (struct wy_standin *s, struct wy_standin_call *c)
{
  const char *key = wy_standin_path_after (c, "/objects/");
  bool txn = wy_standin_matches (c, "POST", "/txn");

  if (!take_rate (s, txn || !strcmp (wy_http_method (c->ex), "PUT")))
    wy_standin_reject_rate (c);
  else if (txn)
    transact (s->state, c);
  else if (wy_standin_matches (c, "POST", "/read"))
    read_rows (s->state, c);
  else if (key)
    handle_object (s->state, c, key);
  else
    wy_standin_respond_json (c, 404, NULL);
}

static int
start (struct wy_standin *s)
{
  struct store *t = g_new0 (struct store, 1);

  t->rows = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, row_free);
  t->objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                      (GDestroyNotify)g_bytes_unref);
  s->state = t;
  return 0;
}

const struct wy_standin_kind wy_standin_table
    = { .name = "table",
        .summary = "the table service and object store",
        .table = table,
        .n = sizeof table / sizeof *table,
        .settings_size_bytes = sizeof (struct settings),
        .start = start,
        .on_request = on_request };
