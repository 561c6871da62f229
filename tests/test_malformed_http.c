/* Malformed responses to the calls of the daemons that do not run on the
   platform: the client itself, the relay of weights, and the target of an
   agent.  */
#include <criterion/criterion.h>
#include <string.h>

#include "http/client.h"
#include "http/error.h"
#include "standin/scripted.h"
#include "support/agent_fixture.h"

enum
{
  SILENCE_MS = 5000,
  /* Between those of the responses that are sent to an agent.  */
  STEP = 4
};

struct result
{
  bool done;
  int err;
  int status;
  GString *body;
};

static uv_loop_t loop;

static void
on_head (void *ctx, int status, const struct wy_http_header_field *headers,
         size_t n)
{
  struct result *a = ctx;

  a->status = status;
  for (size_t i = 0; i < n; i++)
    g_string_append_printf (a->body, "%s=%s ", headers[i].name,
                            headers[i].value);
}

static void
on_data (void *ctx, const char *p, size_t n)
{
  g_string_append_len (((struct result *)ctx)->body, p, (gssize)n);
}

static void
on_end (void *ctx, int err)
{
  struct result *a = ctx;

  a->err = err;
  a->done = true;
}

static void
call (struct wy_http_client *c, const struct wy_scripted_response *response,
      bool bytewise, const char *host, struct result *a)
{
  struct wy_scripted_options o
      = { .loop = &loop, .response = *response, .bytewise = bytewise };
  struct wy_scripted *s = wy_scripted_new (&o);
  struct wy_http_call_options k = { .method = "GET",
                                    .host = host,
                                    .port = s->port,
                                    .path = "/",
                                    .on_head = on_head,
                                    .on_data = on_data,
                                    .on_end = on_end,
                                    .ctx = a };

  a->body = g_string_new (NULL);
  wy_http_call_start (c, &k);
  while (!a->done)
    uv_run (&loop, UV_RUN_ONCE);
  wy_scripted_free (s);
}

/* Guards against a client that ends its process, or gives on a status, for
   such responses.  */
Test (malformed_http, client)
{
  struct wy_http_client *c;
  uint64_t n = 0;

  uv_loop_init (&loop);
  c = wy_http_client_new (&loop, SILENCE_MS);
  wy_http_client_count_malformed (c, &n);
  for (size_t i = 0; i < wy_n_malformed_responses; i++)
    for (int bytewise = 0; bytewise <= 1; bytewise++)
      {
        const struct wy_scripted_response *r = &wy_malformed_responses[i];
        uint64_t before = n;
        struct result a = { 0 };

        call (c, r, bytewise, "127.0.0.1", &a);
        cr_expect_eq (a.err, WY_HTTP_EMALFORMED, "%s: %d", r->name, a.err);
        cr_expect_eq (n, before + 1, "%s", r->name);
        cr_expect (a.status == 0 || strstr (r->name, "chunk")
                       || strstr (r->name, "trailer"),
                   "%s: %d", r->name, a.status);
        g_string_free (a.body, TRUE);
      }
  wy_http_client_free (c);
  uv_run (&loop, UV_RUN_NOWAIT);
}

/* Guards against a client that ends its process, or fails, for responses that
   are unusual.  */
Test (malformed_http, lawful_responses_pass)
{
  static const struct
  {
    struct wy_scripted_response response;
    int status;
    const char *text;
  } rows[] = {
    { { .text = "HTTP/1.1 200 OK\r\nX-Name: v\r\n w\r\nContent-Length: 3\r\n"
                "\r\nabc" },
      200,
      "x-name=v w content-length=3 abc" },
    { { .text = "HTTP/1.1 103 Early Hints\r\nY: z\r\n\r\nHTTP/1.1 201\r\n"
                "Transfer-Encoding: chunked\r\n\r\n3;e\r\nabc\r\n0\r\nT: t\r\n"
                "\r\n" },
      201,
      "transfer-encoding=chunked abc" },
    { { .text = "HTTP/1.0 599 X\r\n\r\nabc", .ends = true }, 599, "abc" },
    { { .text = "HTTP/1.1 204 No Content\r\n\r\n" }, 204, "" },
    { { .text = "HTTP/1.1 304 Not Modified\r\nETag:\r\n\r\n" },
      304,
      "etag= " },
  };
  struct wy_http_client *c;

  uv_loop_init (&loop);
  c = wy_http_client_new (&loop, SILENCE_MS);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    for (int bytewise = 0; bytewise <= 1; bytewise++)
      {
        struct result a = { 0 };

        call (c, &rows[i].response, bytewise,
              bytewise ? "localhost" : "127.0.0.1", &a);
        cr_expect_eq (a.err, 0, "row %zu: %d", i, a.err);
        cr_expect_eq (a.status, rows[i].status, "row %zu: %d", i, a.status);
        cr_expect_str_eq (a.body->str, rows[i].text, "row %zu: %s", i,
                          a.body->str);
        g_string_free (a.body, TRUE);
      }
  wy_http_client_free (c);
  uv_run (&loop, UV_RUN_NOWAIT);
}

static struct fixture w;
static struct wy_scripted *bad;

static void
on_weights (void *ctx, const struct wy_http_response *r)
{
  struct result *a = ctx;

  a->err = r->err;
  a->status = r->status;
  a->body = g_string_new (r->body);
  a->done = true;
}

/* Guards against weights taken from such a response of the weight store, or
   kept for others.  */
Test (malformed_http, weights, .timeout = 60)
{
  struct wy_scripted_options o
      = { .loop = &w.loop, .response = wy_malformed_responses[0] };
  struct wy_http_client *c;

  agent_fixture_init (&w, WY_TARGET_MODEL);
  bad = wy_scripted_new (&o);
  w.s.weights_url = g_strdup_printf ("127.0.0.1:%u", bad->port);
  agent_fixture_start (&w);
  c = wy_http_client_new (&w.loop, SILENCE_MS);
  for (size_t i = 0; i < wy_n_malformed_responses; i++)
    {
      struct wy_http_call_options k
          = { .method = "GET",
              .host = "127.0.0.1",
              .port = wy_agent_weights_port (w.agent),
              .path = "/weights/m/8?offset=0&size=6" };
      uint32_t before = bad->answered;
      struct result a = { 0 };

      bad->o.response = wy_malformed_responses[i];
      bad->o.bytewise = i % 2;
      wy_http_fetch (c, &k, on_weights, &a);
      while (!a.done)
        uv_run (&w.loop, UV_RUN_ONCE);
      cr_expect_gt (bad->answered, before, "%s: not asked",
                    bad->o.response.name);
      cr_expect_eq (a.err, 0, "%s: %d", bad->o.response.name, a.err);
      cr_expect_eq (a.status, 502, "%s: %d", bad->o.response.name, a.status);
      cr_expect (!strstr (a.body->str, "spoilt"), "%s", bad->o.response.name);
      g_string_free (a.body, TRUE);
    }
  wy_http_client_free (c);
  wy_scripted_free (bad);
}

static bool
has_ended (struct fixture *f)
{
  return f->entry[0].ends > 0 || f->entry[0].refused > 0;
}

/* Guards against a service's response that an agent passes on, or takes for
   proof that a request has run, or has not.  */
Test (malformed_http, services, .timeout = 60)
{
  for (size_t i = 0; i < wy_n_malformed_responses; i += STEP)
    {
      const struct wy_scripted_response *r = &wy_malformed_responses[i];
      struct wy_scripted_options o
          = { .loop = &w.loop, .response = *r, .bytewise = i / STEP % 2 };
      struct wy_frame_submit s;

      memset (&w, 0, sizeof w);
      agent_fixture_init (&w, WY_TARGET_SERVICE);
      bad = wy_scripted_new (&o);
      w.s.target_port = bad->port;
      agent_fixture_start (&w);
      agent_fixture_send_config (&w, 0, 1, "\"t-1\"");
      agent_fixture_run_ms (&w, 4 * (uint32_t)w.s.clock_skew_ms);
      s = agent_fixture_submit_service (&w, "portal:k1", true);
      agent_fixture_send_submit (&w, 0, &s);
      agent_fixture_run_until (&w, has_ended);
      cr_expect_eq (bad->answered, 1, "%s: not asked", r->name);
      cr_expect_eq (w.entry[0].refused, 0, "%s", r->name);
      cr_expect_eq (w.entry[0].end.result, WY_RUN_CRASHED, "%s: %d", r->name,
                    w.entry[0].end.result);
      cr_expect_eq (w.entry[0].end.ran, WY_RAN_UNKNOWN, "%s: %d", r->name,
                    w.entry[0].end.ran);
      cr_expect (w.entry[0].heads == 0 || strstr (r->name, "chunk"), "%s",
                 r->name);
      wy_scripted_free (bad);
    }
}
