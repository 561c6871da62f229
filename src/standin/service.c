/* Stand-in of a plain service: counts how often each filing is executed.  */
#include <string.h>

#include "standin/kinds.h"

struct settings
{
  struct wy_standin_settings common;
  int64_t service_time_ms;
};

static const struct wy_setting table[] = {
  { "service_time_ms", WY_SETTING_INTEGER,
    offsetof (struct settings, service_time_ms), "5", 0, 60000, NULL, "ms",
    "time that a filing takes" },
};

struct service
{
  GHashTable *executions; /* key -> count */
  int64_t serial;
};

/* A filing that was executed, but not responded to yet.  */
struct filing
{
  uv_timer_t timer; /* must stay first */
  struct wy_standin_call *call;
  json_t *response;
};

static void
on_closed (uv_handle_t *h)
{
  g_free (h);
}

static void
on_done (uv_timer_t *t)
{
  struct filing *f = (struct filing *)t;

  wy_standin_respond_json (f->call, 200, f->response);
  uv_close ((uv_handle_t *)t, on_closed);
}

/* Execute a filing.  The execution is counted on arrival, even if the caller
   closes the connection: that is how a real service executes one twice.  */
static void
execute_filing (struct wy_standin *s, struct wy_standin_call *c)
{
  const struct settings *o = s->settings;
  struct service *v = s->state;
  const char *req = wy_http_header (c->ex, "waxwing-request-id");
  json_t *body = wy_standin_body_json (c);
  const char *key = json_string_value (json_object_get (body, "key"));
  struct filing *f;
  gsize n;

  if (!key)
    {
      json_decref (body);
      wy_standin_respond_json (c, 400, json_pack ("{s:s}", "error", "no key"));
      return;
    }
  n = GPOINTER_TO_SIZE (g_hash_table_lookup (v->executions, key)) + 1;
  g_hash_table_replace (v->executions, g_strdup (key), GSIZE_TO_POINTER (n));
  wy_trace_event (s->trace, "service.executed", "{s:s, s:s}", "key", key,
                  "req", req ? req : "");
  f = g_malloc0 (sizeof *f);
  f->call = c;
  f->response = json_pack ("{s:s, s:I, s:I}", "key", key, "executions",
                           (json_int_t)n, "serial", (json_int_t)++v->serial);
  json_decref (body);
  uv_timer_init (s->loop, &f->timer);
  uv_timer_start (&f->timer, on_done, (uint64_t)o->service_time_ms, 0);
}

static void
list_executions (struct wy_standin *s, struct wy_standin_call *c)
{
  struct service *v = s->state;
  json_t *all = json_object ();
  GHashTableIter it;
  gpointer key;
  gpointer n;

  g_hash_table_iter_init (&it, v->executions);
  while (g_hash_table_iter_next (&it, &key, &n))
    json_object_set_new (all, key,
                         json_integer ((json_int_t)GPOINTER_TO_SIZE (n)));
  wy_standin_respond_json (c, 200, all);
}

static void
echo (struct wy_standin_call *c)
{
  json_t *headers = json_object ();
  size_t n;
  const char *p = wy_http_body (c->ex, &n);

  for (size_t i = 0; i < wy_http_header_count (c->ex); i++)
    {
      const char *name;
      const char *value;

      wy_http_header_at (c->ex, i, &name, &value);
      json_object_set_new (headers, name, json_string (value));
    }
  wy_standin_respond_json (
      c, 200,
      json_pack ("{s:s, s:s, s:s, s:s%, s:o}", "method",
                 wy_http_method (c->ex), "path", wy_http_path (c->ex), "query",
                 wy_http_query (c->ex), "body", p, n, "headers", headers));
}

static void
on_request (struct wy_standin *s, struct wy_standin_call *c)
{
  if (wy_standin_matches (c, "POST", "/filings"))
    execute_filing (s, c);
  else if (wy_standin_matches (c, "GET", "/control/executions"))
    list_executions (s, c);
  else if (wy_standin_path_after (c, "/echo"))
    echo (c);
  else
    wy_standin_respond_json (c, 404,
                             json_pack ("{s:s}", "error", "no such path"));
}

static int
start (struct wy_standin *s)
{
  struct service *v = g_new0 (struct service, 1);

  v->executions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  s->state = v;
  return 0;
}

const struct wy_standin_kind wy_standin_service
    = { .name = "service",
        .summary = "a plain service whose calls may not be repeated",
        .table = table,
        .n = sizeof table / sizeof *table,
        .settings_size_bytes = sizeof (struct settings),
        .start = start,
        .on_request = on_request };
