/* A small table service and object store in the event loop of the test.  */
#include "fake_table.h"

#include <stdlib.h>
#include <string.h>

enum
{
  BODY_LIMIT_BYTES = 64 << 20,
  RUN_LIMIT_MS = 20000,
  RUN_STEP_MS = 5,
  CLOSE_ROUNDS = 200
};

struct delayed_response
{
  uv_timer_t timer;
  struct fake_table *table;
  struct wy_http_exchange *ex;
  int status;
  char *text;
  size_t n;
};

static void
row_free (gpointer p)
{
  struct fake_row *r = p;

  json_decref (r->value);
  g_free (r);
}

static void
write_row (struct fake_table *t, const char *key, json_t *value)
{
  struct fake_row *r;

  if (!value || json_is_null (value))
    {
      g_hash_table_remove (t->rows, key);
      return;
    }
  r = g_new0 (struct fake_row, 1);
  r->rev = t->rev;
  r->value = json_incref (value);
  g_hash_table_insert (t->rows, g_strdup (key), r);
}

/* Set row KEY to VALUE and take over the reference to it.  */
void
fake_table_set (struct fake_table *t, const char *key, json_t *value)
{
  t->rev++;
  write_row (t, key, value);
  json_decref (value);
}

/* The value of row KEY, or NULL.  Owned by T.  */
const json_t *
fake_table_get (struct fake_table *t, const char *key)
{
  struct fake_row *r = g_hash_table_lookup (t->rows, key);

  return r ? r->value : NULL;
}

/* The string MEMBER of row KEY, or "".  */
const char *
fake_table_text (struct fake_table *t, const char *key, const char *member)
{
  const char *s
      = json_string_value (json_object_get (fake_table_get (t, key), member));

  return s ? s : "";
}

static void
on_delay_closed (uv_handle_t *h)
{
  g_free (h->data);
}

static void
on_delay_over (uv_timer_t *timer)
{
  struct delayed_response *l = timer->data;

  l->table->open--;
  if (l->ex)
    wy_http_respond (l->ex, l->status, "application/json", l->text, l->n);
  g_free (l->text);
  uv_close ((uv_handle_t *)timer, on_delay_closed);
}

static void
on_delayed_abort (struct wy_http_exchange *ex, void *ctx)
{
  ((struct delayed_response *)ctx)->ex = NULL;
}

static void
respond (struct fake_table *t, struct wy_http_exchange *ex, int status,
         const char *text, size_t n)
{
  struct delayed_response *l;

  if (!t->delay_ms)
    {
      wy_http_respond (ex, status, "application/json", text, n);
      return;
    }
  l = g_new0 (struct delayed_response, 1);
  l->table = t;
  l->ex = ex;
  l->status = status;
  l->text = g_memdup2 (text, n);
  l->n = n;
  t->open++;
  t->open_max = MAX (t->open_max, t->open);
  wy_http_on_abort (ex, on_delayed_abort, l);
  uv_timer_init (t->loop, &l->timer);
  l->timer.data = l;
  uv_timer_start (&l->timer, on_delay_over, t->delay_ms, 0);
}

static void
respond_json (struct fake_table *t, struct wy_http_exchange *ex, int status,
              json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);

  json_decref (body);
  respond (t, ex, status, text, strlen (text));
  free (text);
}

static void
break_response (struct wy_http_exchange *ex)
{
  wy_http_stream_begin (ex, 200, "application/json");
  wy_http_stream_abort (ex);
}

static json_t *
row_json (const char *key, const struct fake_row *r)
{
  return json_pack ("{s:s, s:I, s:O?}", "key", key, "rev",
                    (json_int_t)(r ? r->rev : 0), "value",
                    r ? r->value : NULL);
}

static json_t *
failed_conditions (struct fake_table *t, const json_t *conditions)
{
  json_t *failed = json_array ();

  for (size_t i = 0; i < json_array_size (conditions); i++)
    {
      const json_t *c = json_array_get (conditions, i);
      const char *key = json_string_value (json_object_get (c, "key"));
      const struct fake_row *r = g_hash_table_lookup (t->rows, key);

      if ((r ? r->rev : 0) != json_integer_value (json_object_get (c, "rev")))
        json_array_append_new (failed, row_json (key, r));
    }
  return failed;
}

static bool
should_lose_response (struct fake_table *t, const json_t *writes)
{
  if (t->lose_responses > 0)
    {
      t->lose_responses--;
      return true;
    }
  for (size_t i = 0;
       t->lose_response_key_suffix && i < json_array_size (writes); i++)
    if (g_str_has_suffix (json_string_value (json_object_get (
                              json_array_get (writes, i), "key")),
                          t->lose_response_key_suffix))
      {
        t->lose_response_key_suffix = NULL;
        return true;
      }
  return false;
}

static void
txn (struct fake_table *t, struct wy_http_exchange *ex, const json_t *body)
{
  const json_t *writes = json_object_get (body, "writes");
  json_t *failed;

  t->txns++;
  if (t->drop_requests > 0)
    {
      t->drop_requests--;
      break_response (ex);
      return;
    }
  failed = failed_conditions (t, json_object_get (body, "conditions"));
  if (json_array_size (failed) > 0)
    {
      respond_json (t, ex, 409,
                    json_pack ("{s:b, s:o}", "ok", 0, "failed", failed));
      return;
    }
  json_decref (failed);
  t->rev++;
  for (size_t i = 0; i < json_array_size (writes); i++)
    {
      const json_t *w = json_array_get (writes, i);
      write_row (t, json_string_value (json_object_get (w, "key")),
                 json_object_get (w, "value"));
    }
  if (should_lose_response (t, writes))
    break_response (ex);
  else
    respond_json (
        t, ex, 200,
        json_pack ("{s:b, s:I}", "ok", 1, "rev", (json_int_t)t->rev));
}

static void
read_rows (struct fake_table *t, struct wy_http_exchange *ex,
           const json_t *body)
{
  const char *prefix = json_string_value (json_object_get (body, "prefix"));
  const json_t *keys = json_object_get (body, "keys");
  json_t *rows = json_array ();
  GHashTableIter i;
  gpointer key;
  gpointer r;

  t->reads++;
  g_hash_table_iter_init (&i, t->rows);
  while (prefix && g_hash_table_iter_next (&i, &key, &r))
    if (g_str_has_prefix (key, prefix))
      json_array_append_new (rows, row_json (key, r));
  for (size_t k = 0; k < json_array_size (keys); k++)
    {
      const char *name = json_string_value (json_array_get (keys, k));
      const struct fake_row *row = g_hash_table_lookup (t->rows, name);

      if (row)
        json_array_append_new (rows, row_json (name, row));
    }
  respond_json (
      t, ex, 200,
      json_pack ("{s:I, s:o}", "rev", (json_int_t)t->rev, "rows", rows));
}

static void
object (struct fake_table *t, struct wy_http_exchange *ex)
{
  const char *key = wy_http_path (ex);
  GBytes *bytes;
  size_t n;
  const char *body = wy_http_body (ex, &n);

  if (!strcmp (wy_http_method (ex), "PUT"))
    {
      t->puts++;
      g_hash_table_insert (t->objects, g_strdup (key), g_bytes_new (body, n));
      respond (t, ex, 200, "{}", 2);
      return;
    }
  bytes = g_hash_table_lookup (t->objects, key);
  if (bytes)
    respond (t, ex, 200, g_bytes_get_data (bytes, NULL),
             g_bytes_get_size (bytes));
  else
    respond (t, ex, 404, "{}", 2);
}

static void
on_request (struct wy_http_exchange *ex, void *ctx)
{
  struct fake_table *t = ctx;
  size_t n;
  const char *text = wy_http_body (ex, &n);
  json_t *body;

  if (t->down)
    {
      t->refused++;
      wy_http_respond (ex, 503, "application/json", "{}", 2);
      return;
    }
  if (t->calls_until_429 > 0 && --t->calls_until_429 == 0)
    {
      wy_http_add_header (ex, "retry-after", "1");
      wy_http_respond (ex, 429, "application/json", "{}", 2);
      return;
    }
  if (g_str_has_prefix (wy_http_path (ex), "/objects/"))
    {
      object (t, ex);
      return;
    }
  body = json_loadb (text, n, 0, NULL);
  if (!strcmp (wy_http_path (ex), "/txn"))
    txn (t, ex, body);
  else
    read_rows (t, ex, body);
  json_decref (body);
}

/* A new empty table that listens on a free port.  */
struct fake_table *
fake_table_new (uv_loop_t *loop)
{
  struct fake_table *t = g_new0 (struct fake_table, 1);
  const struct wy_http_server_options o
      = { .loop = loop,
          .host = "127.0.0.1",
          .body_limit_bytes = BODY_LIMIT_BYTES,
          .on_request = on_request,
          .ctx = t };

  t->loop = loop;
  t->rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, row_free);
  t->objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                      (GDestroyNotify)g_bytes_unref);
  if (wy_http_server_new (&t->server, &o))
    abort ();
  g_snprintf (t->address, sizeof t->address, "127.0.0.1:%u",
              wy_http_server_port (t->server));
  return t;
}

/* Free T, which must have no connections.  */
void
fake_table_free (struct fake_table *t)
{
  wy_http_server_free (t->server);
  g_hash_table_destroy (t->rows);
  g_hash_table_destroy (t->objects);
  g_free (t);
}

static void
on_alarm (uv_timer_t *timer)
{
  *(bool *)timer->data = true;
}

bool
run_until (uv_loop_t *loop, bool (*done) (void *ctx), void *ctx)
{
  uv_timer_t wakeup;
  uint64_t until;
  bool woken = false;
  bool ok;

  uv_update_time (loop);
  until = uv_now (loop) + RUN_LIMIT_MS;
  uv_timer_init (loop, &wakeup);
  wakeup.data = &woken;
  uv_timer_start (&wakeup, on_alarm, RUN_STEP_MS, RUN_STEP_MS);
  while (!(ok = done (ctx)) && uv_now (loop) < until)
    uv_run (loop, UV_RUN_ONCE);
  uv_close ((uv_handle_t *)&wakeup, NULL);
  uv_run (loop, UV_RUN_NOWAIT);
  return ok;
}

void
run_for (uv_loop_t *loop, uint32_t ms)
{
  uv_timer_t timer;
  bool over = false;

  uv_update_time (loop);
  uv_timer_init (loop, &timer);
  timer.data = &over;
  uv_timer_start (&timer, on_alarm, ms, 0);
  while (!over)
    uv_run (loop, UV_RUN_ONCE);
  uv_close ((uv_handle_t *)&timer, NULL);
  uv_run (loop, UV_RUN_NOWAIT);
}

void
drain_loop (uv_loop_t *loop)
{
  for (int i = 0; i < CLOSE_ROUNDS; i++)
    uv_run (loop, UV_RUN_NOWAIT);
}
