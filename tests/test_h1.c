/* HTTP/1.1 server and client: detection of each other's faults.  */
#include <criterion/criterion.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/platform_fixture.h"

/* A server that sends bytes given by the test.  */
struct raw_server
{
  uv_tcp_t listener;
  uv_tcp_t conns[8];
  uint32_t n_conns;
  const char *response;
  bool close_after; /* close after the response */
  bool reset_after; /* reset after the response */
  uint32_t requests;
  char buffer[4096];
};

struct raw_write
{
  uv_write_t req;
  struct raw_server *raw_server;
  uv_stream_t *stream;
};

static struct platform_fixture w;
static struct raw_server raw_server;

static void
on_raw_written (uv_write_t *req, int status)
{
  struct raw_write *x = (struct raw_write *)req;

  if (!uv_is_closing ((uv_handle_t *)x->stream))
    {
      if (x->raw_server->reset_after)
        uv_tcp_close_reset ((uv_tcp_t *)x->stream, NULL);
      else if (x->raw_server->close_after)
        uv_close ((uv_handle_t *)x->stream, NULL);
    }
  g_free (x);
}

static void
on_raw_alloc (uv_handle_t *h, size_t n, uv_buf_t *buf)
{
  *buf = uv_buf_init (raw_server.buffer, sizeof raw_server.buffer);
}

static void
on_raw_read (uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
  struct raw_write *x;
  uv_buf_t out;

  if (n < 0)
    {
      if (!uv_is_closing ((uv_handle_t *)s))
        uv_close ((uv_handle_t *)s, NULL);
      return;
    }
  raw_server.requests++;
  x = g_new0 (struct raw_write, 1);
  x->raw_server = &raw_server;
  x->stream = s;
  out = uv_buf_init ((char *)raw_server.response,
                     (unsigned)strlen (raw_server.response));
  uv_write (&x->req, s, &out, 1, on_raw_written);
}

static void
on_raw_conn (uv_stream_t *l, int status)
{
  uv_tcp_t *c = &raw_server.conns[raw_server.n_conns++];

  uv_tcp_init (l->loop, c);
  uv_accept (l, (uv_stream_t *)c);
  uv_read_start ((uv_stream_t *)c, on_raw_alloc, on_raw_read);
}

static uint16_t
raw_start (const char *response)
{
  struct sockaddr_in a = platform_loopback (0);
  int n = sizeof a;

  memset (&raw_server, 0, sizeof raw_server);
  raw_server.response = response;
  uv_tcp_init (&w.loop, &raw_server.listener);
  uv_tcp_bind (&raw_server.listener, (struct sockaddr *)&a, 0);
  uv_listen ((uv_stream_t *)&raw_server.listener, 8, on_raw_conn);
  uv_tcp_getsockname (&raw_server.listener, (struct sockaddr *)&a, &n);
  return ntohs (a.sin_port);
}

static void
raw_stop (void)
{
  uv_close ((uv_handle_t *)&raw_server.listener, NULL);
  for (uint32_t i = 0; i < raw_server.n_conns; i++)
    if (!uv_is_closing ((uv_handle_t *)&raw_server.conns[i]))
      uv_close ((uv_handle_t *)&raw_server.conns[i], NULL);
}

enum
{
  STALL_MS = 700, /* longer than the connect timeout */
  US_PER_MS = 1000
};

static struct platform_response *
start_call (uint16_t port)
{
  static const struct wy_h1_header host = { "Host", "h" };

  return platform_fixture_call (&w, port, "GET", "/", &host, 1, NULL);
}

static struct platform_response *
call_and_wait (uint16_t port)
{
  struct platform_response *a = start_call (port);

  cr_assert (platform_fixture_run_until (&w, platform_response_done, a));
  return a;
}

static uint32_t
idle_connections (void)
{
  struct wy_h1_client_stats s;

  wy_h1_client_stats (w.client, &s);
  return s.idle;
}

/* Each row: the bytes that a replica sends, the result that the caller must
   receive, and whether the connection may be reused.  A connection kept by
   mistake would give the next caller another caller's response.  */
static const struct
{
  const char *response;
  bool close_after;
  bool reset_after;
  int err;
  const char *body;
  uint32_t idle_after;
} faults[] = {
  { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false, false, 0, "hi",
    1 },
  { "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
    "chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
    false, false, 0, "hi", 1 },
  /* Connection: close */
  { "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi",
    false, false, 0, "hi", 0 },
  /* bytes after the response */
  { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n\r\n",
    false, false, 0, "hi", 0 },
  /* closed within the body */
  { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", true, false,
    WY_H1_EPARTIAL, "hi", 0 },
  { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", true,
    false, WY_H1_EPARTIAL, "hi", 0 },
  /* no length: a close ends the body, a reset does not */
  { "HTTP/1.1 200 OK\r\n\r\nhi", true, false, 0, "hi", 0 },
  { "HTTP/1.1 200 OK\r\n\r\nhi", false, true, WY_H1_EPARTIAL, "hi", 0 },
  { "no answer at all", false, false, WY_H1_EMALFORMED, "", 0 },
  { "", true, false, WY_H1_ERESET, "", 0 },
};

Test (h1, incomplete_responses_are_reported)
{
  for (size_t i = 0; i < sizeof faults / sizeof *faults; i++)
    {
      struct platform_response *a;
      uint16_t port;

      platform_fixture_init (&w);
      port = raw_start (faults[i].response);
      raw_server.close_after = faults[i].close_after;
      raw_server.reset_after = faults[i].reset_after;
      a = call_and_wait (port);
      cr_expect_eq (a->err, faults[i].err, "row %zu: %d", i, a->err);
      cr_expect_str_eq (a->body->str, faults[i].body, "row %zu", i);
      cr_expect_eq (idle_connections (), faults[i].idle_after, "row %zu", i);
      platform_response_free (a);
      raw_stop ();
      platform_fixture_free (&w);
    }
}

/* Nothing listens at the address: the error must show that nothing was sent,
   since then even a request that may run only once can go to another
   replica.  */
Test (h1, refused_connection_sent_nothing)
{
  struct platform_response *a;
  uint16_t port;

  platform_fixture_init (&w);
  port = raw_start ("");
  raw_stop ();
  platform_fixture_run_ms (&w, 5);
  a = call_and_wait (port);
  cr_expect_eq (a->err, WY_H1_ECONNECT);
  platform_response_free (a);
  platform_fixture_free (&w);
}

/* The process stalls for longer than the connect timeout while a connection
   opens.  The call must use the connection and not fail.  */
Test (h1, stall_while_connecting)
{
  struct platform_response *a;
  uint16_t port;

  platform_fixture_init (&w);
  port = raw_start ("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  platform_fixture_run_ms (&w, 5);
  a = start_call (port);
  usleep (STALL_MS * US_PER_MS);
  cr_assert (platform_fixture_run_until (&w, platform_response_done, a));
  cr_expect_eq (a->err, 0, "%d", a->err);
  cr_expect_eq (a->status, 200);
  platform_response_free (a);
  raw_stop ();
  platform_fixture_free (&w);
}

/* A replica closes an idle connection.  The next request must not be sent on
   it.  */
Test (h1, closed_idle_connection_is_not_reused)
{
  struct platform_response *a;
  uint16_t port;

  platform_fixture_init (&w);
  port = raw_start ("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  a = call_and_wait (port);
  platform_response_free (a);
  cr_assert_eq (idle_connections (), 1);
  uv_close ((uv_handle_t *)&raw_server.conns[0], NULL);
  platform_fixture_run_ms (&w, 10);
  cr_expect_eq (idle_connections (), 0);
  a = call_and_wait (port);
  cr_expect_eq (a->err, 0);
  cr_expect_eq (raw_server.n_conns, 2);
  platform_response_free (a);
  raw_stop ();
  platform_fixture_free (&w);
}

struct handler_state
{
  struct wy_h1_server *server;
  struct wy_h1_request *held; /* awaiting its response */
  uint32_t requests;
  uint32_t hangups;
  bool hold;
};

static void
on_hangup (void *ctx)
{
  struct handler_state *h = ctx;

  h->hangups++;
  h->held = NULL;
}

static void
on_request (void *ctx, struct wy_h1_request *r)
{
  struct handler_state *h = ctx;
  size_t n;
  const char *body = wy_h1_body (r, &n);

  h->requests++;
  if (!h->hold)
    {
      wy_h1_respond (r, 200, NULL, 0, body, n);
      return;
    }
  h->held = r;
  wy_h1_on_hangup (r, on_hangup, h);
}

static uint16_t
start_server (struct handler_state *h)
{
  struct wy_h1_server_options o = { .loop = &w.loop,
                                    .host = "127.0.0.1",
                                    .limits = { .header_bytes = 512,
                                                .body_bytes = 64,
                                                .header_timeout_ms = 600,
                                                .idle_timeout_ms = 5000,
                                                .buffered_bytes = 100 },
                                    .on_request = on_request,
                                    .ctx = h };

  platform_fixture_init (&w);
  memset (h, 0, sizeof *h);
  cr_assert_eq (wy_h1_server_new (&h->server, &o), 0);
  return wy_h1_server_port (h->server);
}

static void
stop_server (struct handler_state *h)
{
  wy_h1_server_free (h->server);
  platform_fixture_free (&w);
}

static int
post (uint16_t port, const char *name, const char *value, const char *body)
{
  struct wy_h1_header fields[] = { { "Host", "h" }, { name, value } };
  struct platform_response *a = platform_fixture_call (
      &w, port, "POST", "/", fields, name ? 2 : 1, body);
  int status;

  cr_assert (platform_fixture_run_until (&w, platform_response_done, a));
  status = a->status;
  platform_response_free (a);
  return status;
}

/* A request over a limit is rejected with the status of that limit, and other
   requests are not affected.  */
Test (h1, requests_over_limits_are_rejected)
{
  struct handler_state h;
  uint16_t port = start_server (&h);
  char large[600];

  memset (large, 'x', sizeof large - 1);
  large[sizeof large - 1] = '\0';
  cr_expect_eq (post (port, NULL, NULL, "ok"), 200);
  cr_expect_eq (post (port, "Large", large, "ok"), 431);
  cr_expect_eq (post (port, NULL, NULL, large), 413);
  cr_expect_eq (post (port, NULL, NULL, "ok"), 200);
  cr_expect_eq (h.requests, 2);
  stop_server (&h);
}

/* A blank in a field's name, or before its colon: the field may frame the body
   for the replica and not for us.  Guards against such a request being passed
   on, and its body taken for the next request.  */
Test (h1, requests_with_blanks_in_names_are_rejected)
{
  struct handler_state h;
  uint16_t port = start_server (&h);
  static const char *const names[]
      = { "X Y", "X ", "Content-Length ", "Content- Length",
          "Transfer-Encoding " };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    cr_expect_eq (post (port, names[i], "3", "ok"), 400, "\"%s\"", names[i]);
  cr_expect_eq (h.requests, 0);
  cr_expect_eq (post (port, "!#$%&'*+-.^_`|~", "3", "ok"), 200);
  stop_server (&h);
}

/* Concurrent uploads must stay within their memory limit: what does not fit is
   rejected as not run, and is accepted again after other requests have
   ended.  */
Test (h1, bodies_share_a_memory_limit)
{
  struct handler_state h;
  uint16_t port = start_server (&h);
  struct wy_h1_header host = { "Host", "h" };
  char body[61];
  struct platform_response *first;

  memset (body, 'x', sizeof body - 1);
  body[sizeof body - 1] = '\0';
  h.hold = true;
  first = platform_fixture_call (&w, port, "POST", "/", &host, 1, body);
  platform_fixture_run_ms (&w, 20);
  cr_assert_not_null (h.held);
  cr_expect_eq (post (port, NULL, NULL, body), 503);
  h.hold = false;
  wy_h1_respond (h.held, 200, NULL, 0, "", 0);
  cr_expect_eq (post (port, NULL, NULL, body), 200);
  platform_response_free (first);
  stop_server (&h);
}

/* A caller hangs up while its request is handled.  The handler must be
   notified without a write, or a replica would continue to work on the
   request.  */
Test (h1, hangup_is_reported_at_once)
{
  struct handler_state h;
  uint16_t port = start_server (&h);
  struct wy_h1_header host = { "Host", "h" };
  struct platform_response *a;

  h.hold = true;
  a = platform_fixture_call (&w, port, "GET", "/", &host, 1, NULL);
  platform_fixture_run_ms (&w, 20);
  cr_assert_not_null (h.held);
  platform_response_free (a);
  platform_fixture_run_ms (&w, 50);
  cr_expect_eq (h.hangups, 1);
  stop_server (&h);
}

/* A process that is shutting down sends "Connection: close", but still
   responds to the current request.  */
Test (h1, announced_close_follows_response)
{
  struct handler_state h;
  uint16_t port = start_server (&h);

  wy_h1_server_announce_close (h.server);
  cr_expect_eq (post (port, NULL, NULL, "ok"), 200);
  platform_fixture_run_ms (&w, 10);
  cr_expect_eq (wy_h1_server_connections (h.server), 0);
  stop_server (&h);
}

/* A call is cancelled while its bytes are still queued, as during a network
   partition.  After an ordinary close they would still be delivered when the
   partition heals, and the server would do work that was done elsewhere or is
   no longer wanted.  So the server must see a reset and not an orderly end
   after the complete request.  */
Test (h1, cancelled_call_resets_connection)
{
  struct sockaddr_in a = platform_loopback (0);
  socklen_t n = sizeof a;
  struct wy_h1_header host = { "Host", "h" };
  struct platform_response *call;
  char bytes[256];
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  int conn;
  ssize_t got;

  platform_fixture_init (&w);
  cr_assert_eq (bind (listener, (const struct sockaddr *)&a, sizeof a), 0);
  cr_assert_eq (listen (listener, 1), 0);
  cr_assert_eq (getsockname (listener, (struct sockaddr *)&a, &n), 0);
  call = platform_fixture_call (&w, ntohs (a.sin_port), "GET", "/", &host, 1,
                                NULL);
  conn = accept (listener, NULL, NULL);
  platform_fixture_run_ms (&w, 30);
  cr_assert (wy_h1_call_sent (call->call));
  platform_response_free (call);
  platform_fixture_run_ms (&w, 30);
  /* Bytes that arrived before can still be read.  */
  do
    got = read (conn, bytes, sizeof bytes);
  while (got > 0);
  cr_expect_eq (got, -1);
  cr_expect_eq (errno, ECONNRESET);
  close (conn);
  close (listener);
  platform_fixture_free (&w);
}

/* A client sends its requests one after the other, as fast as they are
   answered.  The bound of a turn is for requests sent ahead: if it counted
   these, each would wait, and the process would be busy meanwhile.  */
Test (h1, requests_one_after_the_other_do_not_wait)
{
  enum
  {
    REQUESTS = 500
  };
  struct handler_state h = { 0 };
  struct wy_h1_overload *overload;
  struct wy_h1_server_options o = { .loop = &w.loop,
                                    .host = "127.0.0.1",
                                    .limits = { 512, 64, 600, 60000, 100 },
                                    .clients = { .requests_per_turn = 1 },
                                    .on_request = on_request,
                                    .ctx = &h };

  platform_fixture_init (&w);
  overload = wy_h1_overload_new (
      &(struct wy_h1_overload_options){ .loop = &w.loop });
  o.overload = overload;
  cr_assert_eq (wy_h1_server_new (&h.server, &o), 0);
  for (int i = 0; i < REQUESTS; i++)
    cr_assert_eq (post (wy_h1_server_port (h.server), NULL, NULL, "x"), 200);
  cr_expect_eq (h.requests, REQUESTS);
  cr_expect_eq (overload->stats.turns_cut, 0);
  wy_h1_server_free (h.server);
  wy_h1_overload_close (overload);
  platform_fixture_free (&w);
}
