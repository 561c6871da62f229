/* The target that a test plays, a model engine or a plain service.  */
#include <string.h>

#include <criterion/criterion.h>

#include "agent_fixture.h"
#include "http/json.h"

enum
{
  BODY_LIMIT_BYTES = 1 << 20
};

static void
on_call_gone (struct wy_http_exchange *ex, void *ctx)
{
  ((struct call *)ctx)->gone = true;
}

static void
take_call (struct fixture *w, struct wy_http_exchange *ex)
{
  struct call *c = &w->calls[w->n_calls++];
  const char *request = wy_http_header (ex, "waxwing-request-id");
  size_t n;
  const char *body = wy_http_body (ex, &n);
  json_t *j = json_loadb (body, n, 0, NULL);
  const char *run = json_string_value (json_object_get (j, "run"));

  cr_assert_lt (w->n_calls, FIXTURE_CALLS_MAX);
  c->ex = ex;
  c->path = g_strdup (wy_http_path (ex));
  c->run = g_strdup (run ? run : "");
  c->request = g_strdup (request ? request : "");
  c->body = g_strndup (body, n);
  c->segments = g_string_new ("");
  wy_http_on_abort (ex, on_call_gone, c);
  json_decref (j);
}

enum
{
  REPORT_LAG_MS = 600000 /* a report from before all that the test does */
};

static void
take_order (struct fixture *w, struct wy_http_exchange *ex)
{
  size_t n;
  const char *body = wy_http_body (ex, &n);
  json_t *j = json_loadb (body, n, 0, NULL);
  int64_t fence = json_integer_value (json_object_get (j, "fence"));
  int64_t version = json_integer_value (json_object_get (j, "version"));
  const char *order = json_string_value (json_object_get (j, "order"));

  g_free (w->last_order);
  w->last_order = g_strndup (body, n);
  if (w->highest_fence && fence < w->highest_fence)
    wy_http_respond_json (ex, 409,
                          json_pack ("{s:s, s:I}", "error", "fence", "highest",
                                     (json_int_t)w->highest_fence));
  else if (w->fail_order)
    wy_http_respond_json (ex, 500, json_pack ("{s:s}", "error", "load"));
  else
    {
      if (!strcmp (order, "stage"))
        w->staged = version;
      else
        w->version = version;
      wy_http_respond_json (ex, 200,
                            json_pack ("{s:I, s:I}", "version",
                                       (json_int_t)w->version, "staged",
                                       (json_int_t)w->staged));
    }
  json_decref (j);
}

static void
on_request (struct wy_http_exchange *ex, void *ctx)
{
  struct fixture *w = ctx;
  const char *path = wy_http_path (ex);

  if (!strcmp (path, "/control/load") && w->load_unavailable)
    wy_http_close_connection (ex);
  else if (!strcmp (path, "/control/load"))
    wy_http_respond_json (
        ex, 200,
        json_pack ("{s:s, s:i, s:i, s:I, s:I, s:I}", "incarnation",
                   w->incarnation, "kv_used", 0, "kv_total", 100000, "version",
                   (json_int_t)(w->reported_version ? w->reported_version
                                                    : w->version),
                   "staged", (json_int_t)w->staged, "as_of_ms",
                   (json_int_t)(wy_clock_wall_ms (wy_clock_system ())
                                - (w->reported_version ? REPORT_LAG_MS : 0))));
  else if (!strcmp (path, "/control/cache-events"))
    wy_http_respond_json (ex, 200,
                          json_pack ("{s:[{s:s, s:s}], s:i}", "events", "kind",
                                     "stored", "prefix", "00000000000000ff",
                                     "next", 1));
  else if (!strcmp (path, "/control/order"))
    take_order (w, ex);
  else if (!strcmp (path, "/control/export"))
    {
      g_string_append_printf (w->control_paths, "%s ", path);
      wy_http_respond_json (ex, 200, json_pack ("{s:s}", "blob", "state"));
    }
  else if (g_str_has_prefix (path, "/control/")
           && strcmp (path, "/control/import") != 0)
    {
      g_string_append_printf (w->control_paths, "%s ", path);
      wy_http_respond_json (ex, 200, json_pack ("{s:b}", "ok", 1));
    }
  else
    take_call (w, ex);
}

/* The target makes N tokens for CALL, of the version in force.  */
void
agent_fixture_send_tokens (struct fixture *w, uint32_t call, uint32_t n)
{
  struct call *c = &w->calls[call];

  if (c->tokens == 0 && !c->gone)
    wy_http_stream_begin (c->ex, 200, "text/event-stream");
  if (c->first_version && c->first_version != w->version)
    {
      g_string_append_printf (
          c->segments, "{\"version\":%lld,\"from\":%u,\"to\":%u},",
          (long long)c->first_version, c->segment_from, c->tokens);
      c->segment_from = c->tokens;
    }
  c->first_version = w->version;
  for (uint32_t i = 0; i < n; i++, c->tokens++)
    {
      char *text = g_strdup_printf (
          "data: {\"run\":\"%s\",\"i\":%u,\"text\":\" %u\",\"version\":%lld}"
          "\n\n",
          c->run, c->tokens, c->tokens, (long long)w->version);
      wy_http_stream_write (c->ex, text, strlen (text));
      g_free (text);
    }
}

/* The target ends the stream of CALL.  */
void
agent_fixture_send_end (struct fixture *w, uint32_t call)
{
  struct call *c = &w->calls[call];
  char *text = g_strdup_printf (
      "data: {\"run\":\"%s\",\"done\":true,\"finish\":\"stop\",\"tokens\":%u,"
      "\"segments\":[%s{\"version\":%lld,\"from\":%u,\"to\":%u}]}\n\n",
      c->run, c->tokens, c->segments->str, (long long)c->first_version,
      c->segment_from, c->tokens);

  wy_http_on_abort (c->ex, NULL, NULL);
  wy_http_stream_write (c->ex, text, strlen (text));
  wy_http_stream_end (c->ex);
  g_free (text);
}

/* Listen as the target of W.  */
void
agent_fixture_start_target (struct fixture *w)
{
  struct wy_http_server_options o = { .loop = &w->loop,
                                      .host = "127.0.0.1",
                                      .body_limit_bytes = BODY_LIMIT_BYTES,
                                      .on_request = on_request,
                                      .ctx = w };

  cr_assert_eq (wy_http_server_new (&w->target, &o), 0);
}
