/* Two entries that share one yard, on one fake table.  */
#include "yard_fixture.h"

#include <stdlib.h>
#include <string.h>

enum
{
  IDLE_TIMEOUT_MS = 10000,
  BODY_LIMIT_BYTES = 1 << 20,
  POLL_MS = 20,
  BATCH_TRIES = 400
};

static void
on_request (struct wy_http_exchange *ex, void *ctx)
{
  if (!wy_yard_handle_request (((struct yard_entry *)ctx)->yard, ex))
    wy_http_respond (ex, 404, "text/plain", "", 0);
}

void
yard_fixture_init (struct yard_fixture *w, uint32_t bound)
{
  char *text = g_strdup_printf (
      "{\"models\":[{\"name\":\"m\"}],\"yards\":[{\"name\":\"y\",\"model\":"
      "\"m\",\"weighs\":\"idle\",\"staleness_bound\":%u,\"trainers\":[{"
      "\"name\":\"t\",\"worth\":1.0}]}]}",
      bound);

  memset (w, 0, sizeof *w);
  uv_loop_init (&w->loop);
  w->table = fake_table_new (&w->loop);
  w->http = wy_http_client_new (&w->loop, IDLE_TIMEOUT_MS);
  w->lease_ttl_ms = 600;
  if (wy_document_parse_text (&w->document, text, strlen (text), NULL))
    abort ();
  g_free (text);
}

/* Start entry I.  */
void
yard_fixture_start_entry (struct yard_fixture *w, int i)
{
  struct yard_entry *e = &w->entry[i];
  char *holder = g_strdup_printf ("entry-%d", i);
  const struct wy_trace_options t
      = { .process = holder, .incarnation = "1", .clock = wy_clock_system () };
  struct wy_store_options s = { .loop = &w->loop,
                                .clock = wy_clock_system (),
                                .table = w->table->address,
                                .objects = w->table->address,
                                .seed = (uint64_t)i + 1 };
  struct wy_yard_options y = { .loop = &w->loop,
                               .clock = wy_clock_system (),
                               .runner = &e->runner.runner,
                               .orderer = w->orderer,
                               .http = w->http,
                               .holder = holder,
                               .seed = (uint64_t)i + 1,
                               .lease_ttl_ms = w->lease_ttl_ms,
                               .poll_ms = POLL_MS };
  const struct wy_http_server_options o
      = { .loop = &w->loop,
          .host = "127.0.0.1",
          .body_limit_bytes = BODY_LIMIT_BYTES,
          .on_request = on_request,
          .ctx = e };

  fake_runner_init (&e->runner, &w->loop, 1);
  if (wy_trace_new (&e->trace, &t))
    abort ();
  s.trace = y.trace = e->trace;
  if (wy_store_new (&e->store, &s))
    abort ();
  y.store = e->store;
  e->yard = wy_yard_new (&y);
  wy_yard_configure (e->yard, w->document);
  if (wy_http_server_new (&e->server, &o))
    abort ();
  g_free (holder);
}

/* Stop entry I without releasing its lease, which then expires.  */
void
yard_fixture_crash_entry (struct yard_fixture *w, int i)
{
  struct yard_entry *e = &w->entry[i];

  wy_yard_free (e->yard);
  wy_store_free (e->store);
  fake_runner_close (&e->runner);
  wy_http_server_free (e->server);
  run_for (&w->loop, 5);
  wy_trace_free (e->trace);
  memset (e, 0, sizeof *e);
}

void
yard_fixture_free (struct yard_fixture *w)
{
  for (int i = 0; i < 2; i++)
    if (w->entry[i].yard)
      yard_fixture_crash_entry (w, i);
  json_decref (w->body);
  drain_loop (&w->loop);
  fake_table_free (w->table);
  wy_http_client_free (w->http);
  wy_document_free (w->document);
}

static void
on_response (void *ctx, const struct wy_http_response *a)
{
  struct yard_fixture *w = ctx;

  w->response_received = true;
  w->status = a->err ? a->err : a->status;
  json_decref (w->body);
  w->body = json_loadb (a->body, a->size_bytes, 0, NULL);
}

static bool
is_done (void *ctx)
{
  return ((struct yard_fixture *)ctx)->response_received;
}

int
yard_call (struct yard_fixture *w, int i, const char *method, const char *path,
           const char *body)
{
  const struct wy_http_call_options o
      = { .method = method,
          .host = "127.0.0.1",
          .port = wy_http_server_port (w->entry[i].server),
          .path = path,
          .body = body,
          .body_size_bytes = body ? strlen (body) : 0 };

  w->response_received = false;
  wy_http_fetch (w->http, &o, on_response, w);
  return run_until (&w->loop, is_done, w) ? w->status : 0;
}

int
yard_submit (struct yard_fixture *w, int i, int step)
{
  char *path
      = g_strdup_printf ("/v1/yards/y/trainers/t/steps/%d/groups", step);
  int status = yard_call (
      w, i, "POST", path,
      "{\"groups\":[{\"group\":\"a\",\"prompt\":\"p\",\"samples\":2,"
      "\"max_tokens\":20},{\"group\":\"b\",\"prompt\":\"q\",\"samples\":2,"
      "\"max_tokens\":20}],\"worth\":1.0}");

  g_free (path);
  return status;
}

int
yard_batch (struct yard_fixture *w, int i, int step)
{
  char *path = g_strdup_printf ("/v1/yards/y/trainers/t/steps/%d/batch", step);
  int status = 0;

  for (int k = 0; k < BATCH_TRIES; k++)
    {
      status = yard_call (w, i, "GET", path, NULL);
      if (status != 202)
        break;
      run_for (&w->loop, POLL_MS);
    }
  g_free (path);
  return status;
}

int
yard_ack (struct yard_fixture *w, int i, int step)
{
  char *path = g_strdup_printf ("/v1/yards/y/trainers/t/steps/%d/ack", step);
  int status = yard_call (w, i, "POST", path, NULL);

  g_free (path);
  return status;
}

char *
yard_sample_ids (struct yard_fixture *w)
{
  const json_t *samples = json_object_get (w->body, "samples");
  GString *s = g_string_new (NULL);

  for (size_t i = 0; i < json_array_size (samples); i++)
    g_string_append_printf (s, "%s\n",
                            json_string_value (json_object_get (
                                json_array_get (samples, i), "sample")));
  return g_string_free (s, FALSE);
}

uint32_t
yard_count_text (struct yard_fixture *w, int i, const char *text)
{
  GString *s = g_string_new (NULL);
  uint32_t n = 0;

  wy_trace_read (w->entry[i].trace, 0, s);
  for (const char *p = s->str; (p = strstr (p, text)); p++)
    n++;
  g_string_free (s, TRUE);
  return n;
}

uint32_t
yard_count_events (struct yard_fixture *w, int i, const char *event)
{
  char *text = g_strdup_printf ("\"ev\":\"%s\"", event);
  uint32_t n = yard_count_text (w, i, text);

  g_free (text);
  return n;
}
