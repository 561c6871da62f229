/* HTTP server and client, over loopback.  */
#include <criterion/criterion.h>
#include <string.h>
#include <sys/resource.h>

#include <glib.h>

#include "http/client.h"
#include "http/error.h"
#include "http/server.h"

struct fixture
{
  uv_loop_t loop;
  struct wy_http_server *server;
  struct wy_http_client *client;
  struct wy_http_exchange *pending;
  bool aborted;
  int err;
  int status;
  GString *body;
};

static void
on_pending_abort (struct wy_http_exchange *ex, void *ctx)
{
  struct fixture *w = ctx;

  w->aborted = true;
  uv_stop (&w->loop);
}

static void
on_request (struct wy_http_exchange *ex, void *ctx)
{
  struct fixture *w = ctx;
  size_t n;
  const char *body = wy_http_body (ex, &n);

  if (!strcmp (wy_http_path (ex), "/hold"))
    {
      w->pending = ex;
      wy_http_on_abort (ex, on_pending_abort, w);
      uv_stop (&w->loop);
      return;
    }
  if (!strcmp (wy_http_path (ex), "/stream"))
    {
      wy_http_stream_begin (ex, 200, "text/plain");
      wy_http_stream_write (ex, "one ", 4);
      wy_http_stream_write (ex, "two", 3);
      wy_http_stream_end (ex);
      return;
    }
  if (!strcmp (wy_http_path (ex), "/aborted"))
    {
      wy_http_stream_begin (ex, 200, "text/plain");
      wy_http_stream_write (ex, "par", 3);
      wy_http_stream_abort (ex);
      return;
    }
  wy_http_add_header (ex, "x-query", wy_http_query (ex));
  wy_http_respond (ex, 201, "text/plain", body, n);
}

static void
on_done (void *ctx, const struct wy_http_response *r)
{
  struct fixture *w = ctx;

  w->err = r->err;
  w->status = r->status;
  g_string_assign (w->body, r->body);
  uv_stop (&w->loop);
}

static void
fixture_init (struct fixture *w)
{
  struct wy_http_server_options o = { .loop = &w->loop,
                                      .host = "127.0.0.1",
                                      .body_limit_bytes = 1024,
                                      .request_timeout_ms = 600,
                                      .on_request = on_request,
                                      .ctx = w };

  memset (w, 0, sizeof *w);
  uv_loop_init (&w->loop);
  w->body = g_string_new (NULL);
  cr_assert_eq (wy_http_server_new (&w->server, &o), 0);
  w->client = wy_http_client_new (&w->loop, 5000);
}

static struct wy_http_call *
fetch (struct fixture *w, const char *path, const char *body, uint16_t port)
{
  struct wy_http_call_options o
      = { .method = "POST",
          .host = "127.0.0.1",
          .port = port ? port : wy_http_server_port (w->server),
          .path = path,
          .body = body,
          .body_size_bytes = strlen (body) };

  return wy_http_fetch (w->client, &o, on_done, w);
}

Test (http, complete_response)
{
  struct fixture w;

  fixture_init (&w);
  fetch (&w, "/echo?a=b", "hello", 0);
  uv_run (&w.loop, UV_RUN_DEFAULT);
  cr_assert_eq (w.err, 0);
  cr_assert_eq (w.status, 201);
  cr_assert_str_eq (w.body->str, "hello");
}

Test (http, streamed_response)
{
  struct fixture w;

  fixture_init (&w);
  fetch (&w, "/stream", "", 0);
  uv_run (&w.loop, UV_RUN_DEFAULT);
  cr_assert_eq (w.err, 0);
  cr_assert_str_eq (w.body->str, "one two");
}

/* The server aborts a streamed response.  The client must see that the
   response is incomplete.  */
Test (http, aborted_stream_is_an_error)
{
  struct fixture w;

  fixture_init (&w);
  fetch (&w, "/aborted", "", 0);
  uv_run (&w.loop, UV_RUN_DEFAULT);
  cr_assert_eq (w.err, WY_HTTP_EINCOMPLETE);
}

/* Nothing listens at the address.  The error says that nothing was sent, so
   the call can safely be retried elsewhere.  */
Test (http, refused_connection)
{
  struct fixture w;

  fixture_init (&w);
  fetch (&w, "/", "", 1);
  uv_run (&w.loop, UV_RUN_DEFAULT);
  cr_assert_eq (w.err, WY_HTTP_ECONNECT);
}

static struct wy_http_call *started; /* NULL: within wy_http_fetch */

static void
on_late_done (void *ctx, const struct wy_http_response *r)
{
  cr_expect_not_null (started, "called before the call has started");
  on_done (ctx, r);
}

/* A crowd holds all descriptors of the process, and no connection can be
   opened.  The caller of the client learns of it from the event loop: it has
   no call to refer to before.  */
Test (http, no_descriptors_left)
{
  struct fixture w;
  struct wy_http_call_options o
      = { .method = "GET", .host = "127.0.0.1", .path = "/" };
  struct rlimit all;
  struct rlimit none;

  fixture_init (&w);
  o.port = wy_http_server_port (w.server);
  cr_assert_eq (getrlimit (RLIMIT_NOFILE, &all), 0);
  none = (struct rlimit){ 0, all.rlim_max };
  cr_assert_eq (setrlimit (RLIMIT_NOFILE, &none), 0);
  started = wy_http_fetch (w.client, &o, on_late_done, &w);
  uv_run (&w.loop, UV_RUN_DEFAULT);
  cr_assert_eq (setrlimit (RLIMIT_NOFILE, &all), 0);
  cr_assert_eq (w.err, WY_HTTP_ECONNECT);
}

/* A request body larger than the limit is rejected with 413 and no handler
   runs.  */
Test (http, oversized_body)
{
  struct fixture w;
  char body[4096];

  fixture_init (&w);
  memset (body, 'x', sizeof body - 1);
  body[sizeof body - 1] = 0;
  fetch (&w, "/echo", body, 0);
  uv_run (&w.loop, UV_RUN_DEFAULT);
  cr_assert_eq (w.status, 413);
}

/* A caller disconnects while its request is pending and nothing has been
   written to it.  The handler's abort callback runs, so that the work can be
   cancelled.  */
Test (http, caller_disconnects_before_the_response)
{
  struct fixture w;
  struct wy_http_call *call;

  fixture_init (&w);
  call = fetch (&w, "/hold", "", 0);
  uv_run (&w.loop, UV_RUN_DEFAULT);
  cr_assert_not_null (w.pending);
  wy_http_call_cancel (call);
  uv_run (&w.loop, UV_RUN_DEFAULT);
  cr_assert (w.aborted);
}

struct slow
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_write_t write;
  char chunk[512];
  GString *received;
  bool closed;
};

static void
on_alloc (uv_handle_t *h, size_t n, uv_buf_t *buf)
{
  struct slow *slow = h->data;

  *buf = uv_buf_init (slow->chunk, sizeof slow->chunk);
}

static void
on_read (uv_stream_t *tcp, ssize_t n, const uv_buf_t *buf)
{
  struct slow *slow = tcp->data;

  if (n > 0)
    g_string_append_len (slow->received, buf->base, n);
  if (n >= 0)
    return;
  slow->closed = true;
  uv_close ((uv_handle_t *)tcp, NULL);
  uv_stop (tcp->loop);
}

static void
on_connected (uv_connect_t *c, int status)
{
  struct slow *slow = c->data;
  uv_buf_t buf = uv_buf_init ((char *)"POST /echo HTTP/1.1\r\nhost:", 25);

  cr_assert_eq (status, 0);
  uv_read_start ((uv_stream_t *)&slow->tcp, on_alloc, on_read);
  uv_write (&slow->write, (uv_stream_t *)&slow->tcp, &buf, 1, NULL);
}

/* A caller begins a request and never completes it.  It gets 408 and its
   connection is closed; another caller is served meanwhile.  */
Test (http, slow_caller_gets_408_and_is_disconnected)
{
  struct fixture w;
  struct slow slow = { .received = g_string_new (NULL) };
  struct sockaddr_in a;

  fixture_init (&w);
  uv_tcp_init (&w.loop, &slow.tcp);
  slow.tcp.data = &slow;
  slow.connect.data = &slow;
  uv_ip4_addr ("127.0.0.1", wy_http_server_port (w.server), &a);
  uv_tcp_connect (&slow.connect, &slow.tcp, (struct sockaddr *)&a,
                  on_connected);
  fetch (&w, "/echo", "hello", 0);
  uv_run (&w.loop, UV_RUN_DEFAULT);
  cr_assert_eq (w.status, 201);
  cr_assert_not (slow.closed);
  uv_run (&w.loop, UV_RUN_DEFAULT);
  cr_assert (slow.closed);
  cr_assert (strstr (slow.received->str, "408"), "%s", slow.received->str);
  cr_assert_eq (wy_http_server_connections (w.server), 0U);
}
