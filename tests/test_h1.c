/* HTTP/1.1 server and client: what each sees of the other's faults.  */
#include <criterion/criterion.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/platform_world.h"

/* A server whose answers are bytes given by the test.  */
struct raw
{
  uv_tcp_t listener;
  uv_tcp_t conns[8];
  uint32_t n_conns;
  const char *answer;
  bool close_after; /* end the connection behind the answer */
  bool reset_after; /* reset it instead */
  uint32_t requests;
  char buffer[4096];
};

struct write
{
  uv_write_t req;
  struct raw *raw;
  uv_stream_t *stream;
};

static struct platform_world w;
static struct raw raw;

static void
on_raw_written (uv_write_t *req, int status)
{
  struct write *x = (struct write *)req;

  if (!uv_is_closing ((uv_handle_t *)x->stream))
    {
      if (x->raw->reset_after)
        uv_tcp_close_reset ((uv_tcp_t *)x->stream, NULL);
      else if (x->raw->close_after)
        uv_close ((uv_handle_t *)x->stream, NULL);
    }
  g_free (x);
}

static void
on_raw_alloc (uv_handle_t *h, size_t n, uv_buf_t *buf)
{
  *buf = uv_buf_init (raw.buffer, sizeof raw.buffer);
}

static void
on_raw_read (uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
  struct write *x;
  uv_buf_t out;

  if (n < 0)
    {
      if (!uv_is_closing ((uv_handle_t *)s))
        uv_close ((uv_handle_t *)s, NULL);
      return;
    }
  raw.requests++;
  x = g_new0 (struct write, 1);
  x->raw = &raw;
  x->stream = s;
  out = uv_buf_init ((char *)raw.answer, (unsigned)strlen (raw.answer));
  uv_write (&x->req, s, &out, 1, on_raw_written);
}

static void
on_raw_conn (uv_stream_t *l, int status)
{
  uv_tcp_t *c = &raw.conns[raw.n_conns++];

  uv_tcp_init (l->loop, c);
  uv_accept (l, (uv_stream_t *)c);
  uv_read_start ((uv_stream_t *)c, on_raw_alloc, on_raw_read);
}

static uint16_t
raw_start (const char *answer)
{
  struct sockaddr_in a = platform_loopback (0);
  int n = sizeof a;

  memset (&raw, 0, sizeof raw);
  raw.answer = answer;
  uv_tcp_init (&w.loop, &raw.listener);
  uv_tcp_bind (&raw.listener, (struct sockaddr *)&a, 0);
  uv_listen ((uv_stream_t *)&raw.listener, 8, on_raw_conn);
  uv_tcp_getsockname (&raw.listener, (struct sockaddr *)&a, &n);
  return ntohs (a.sin_port);
}

static void
raw_stop (void)
{
  uv_close ((uv_handle_t *)&raw.listener, NULL);
  for (uint32_t i = 0; i < raw.n_conns; i++)
    if (!uv_is_closing ((uv_handle_t *)&raw.conns[i]))
      uv_close ((uv_handle_t *)&raw.conns[i], NULL);
}

enum
{
  STALL_MS = 700, /* longer than the time to connect */
  US_PER_MS = 1000
};

static struct platform_answer *
start_call (uint16_t port)
{
  static const struct wy_h1_header host = { "Host", "h" };

  return platform_world_call (&w, port, "GET", "/", &host, 1, NULL);
}

static struct platform_answer *
ask (uint16_t port)
{
  struct platform_answer *a = start_call (port);

  cr_assert (platform_world_until (&w, platform_answer_done, a));
  return a;
}

static uint32_t
idle_connections (void)
{
  struct wy_h1_client_stats s;

  wy_h1_client_stats (w.client, &s);
  return s.idle;
}

/* Each row: what a replica sends, what the caller must be told, and whether
   the connection may carry another request.  A connection kept wrongly hands
   the next caller somebody else's answer.  */
static const struct
{
  const char *answer;
  bool close_after;
  bool reset_after;
  int err;
  const char *body;
  uint32_t kept;
} faults[] = {
  { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false, false, 0, "hi",
    1 },
  { "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
    "chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
    false, false, 0, "hi", 1 },
  /* told to close */
  { "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi",
    false, false, 0, "hi", 0 },
  /* a second answer behind the first */
  { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n\r\n",
    false, false, 0, "hi", 0 },
  /* cut inside the body */
  { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", true, false,
    WY_H1_EPARTIAL, "hi", 0 },
  { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", true,
    false, WY_H1_EPARTIAL, "hi", 0 },
  /* no length: the close is its end, a reset is not */
  { "HTTP/1.1 200 OK\r\n\r\nhi", true, false, 0, "hi", 0 },
  { "HTTP/1.1 200 OK\r\n\r\nhi", false, true, WY_H1_EPARTIAL, "hi", 0 },
  { "no answer at all", false, false, WY_H1_EMALFORMED, "", 0 },
  { "", true, false, WY_H1_ERESET, "", 0 },
};

Test (h1, answers_whole_or_told)
{
  for (size_t i = 0; i < sizeof faults / sizeof *faults; i++)
    {
      struct platform_answer *a;
      uint16_t port;

      platform_world_init (&w);
      port = raw_start (faults[i].answer);
      raw.close_after = faults[i].close_after;
      raw.reset_after = faults[i].reset_after;
      a = ask (port);
      cr_expect_eq (a->err, faults[i].err, "row %zu: %d", i, a->err);
      cr_expect_str_eq (a->body->str, faults[i].body, "row %zu", i);
      cr_expect_eq (idle_connections (), faults[i].kept, "row %zu", i);
      platform_answer_free (a);
      raw_stop ();
      platform_world_free (&w);
    }
}

/* Nobody listens: the caller must learn that nothing was sent, since then
   even a request that may run only once can go elsewhere.  */
Test (h1, refused_connection_has_sent_nothing)
{
  struct platform_answer *a;
  uint16_t port;

  platform_world_init (&w);
  port = raw_start ("");
  raw_stop ();
  platform_world_run_ms (&w, 5);
  a = ask (port);
  cr_expect_eq (a->err, WY_H1_ECONNECT);
  platform_answer_free (a);
  platform_world_free (&w);
}

/* The process stalls for longer than the time to connect while a connection
   opens.  The call must use the connection and not fail.  */
Test (h1, stall_while_connecting)
{
  struct platform_answer *a;
  uint16_t port;

  platform_world_init (&w);
  port = raw_start ("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  platform_world_run_ms (&w, 5);
  a = start_call (port);
  usleep (STALL_MS * US_PER_MS);
  cr_assert (platform_world_until (&w, platform_answer_done, a));
  cr_expect_eq (a->err, 0, "%d", a->err);
  cr_expect_eq (a->status, 200);
  platform_answer_free (a);
  raw_stop ();
  platform_world_free (&w);
}

/* A replica closes an idle connection.  The next request must not be sent
   into it.  */
Test (h1, closed_idle_connection_is_not_used)
{
  struct platform_answer *a;
  uint16_t port;

  platform_world_init (&w);
  port = raw_start ("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  a = ask (port);
  platform_answer_free (a);
  cr_assert_eq (idle_connections (), 1);
  uv_close ((uv_handle_t *)&raw.conns[0], NULL);
  platform_world_run_ms (&w, 10);
  cr_expect_eq (idle_connections (), 0);
  a = ask (port);
  cr_expect_eq (a->err, 0);
  cr_expect_eq (raw.n_conns, 2);
  platform_answer_free (a);
  raw_stop ();
  platform_world_free (&w);
}

struct handled
{
  struct wy_h1_server *server;
  struct wy_h1_request *held; /* not answered yet */
  uint32_t requests;
  uint32_t hangups;
  bool hold;
};

static void
on_hangup (void *ctx)
{
  struct handled *h = ctx;

  h->hangups++;
  h->held = NULL;
}

static void
on_request (void *ctx, struct wy_h1_request *r)
{
  struct handled *h = ctx;
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
serve (struct handled *h)
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

  platform_world_init (&w);
  memset (h, 0, sizeof *h);
  cr_assert_eq (wy_h1_server_new (&h->server, &o), 0);
  return wy_h1_server_port (h->server);
}

static void
unserve (struct handled *h)
{
  wy_h1_server_free (h->server);
  platform_world_free (&w);
}

static int
post (uint16_t port, const char *name, const char *value, const char *body)
{
  struct wy_h1_header fields[] = { { "Host", "h" }, { name, value } };
  struct platform_answer *a = platform_world_call (&w, port, "POST", "/",
                                                   fields, name ? 2 : 1, body);
  int status;

  cr_assert (platform_world_until (&w, platform_answer_done, a));
  status = a->status;
  platform_answer_free (a);
  return status;
}

/* Callers that send too much hear which limit they broke, and others are not
   disturbed.  */
Test (h1, limits_are_told)
{
  struct handled h;
  uint16_t port = serve (&h);
  char large[600];

  memset (large, 'x', sizeof large - 1);
  large[sizeof large - 1] = '\0';
  cr_expect_eq (post (port, NULL, NULL, "ok"), 200);
  cr_expect_eq (post (port, "Large", large, "ok"), 431);
  cr_expect_eq (post (port, NULL, NULL, large), 413);
  cr_expect_eq (post (port, NULL, NULL, "ok"), 200);
  cr_expect_eq (h.requests, 2);
  unserve (&h);
}

/* Many uploads at once must not take more memory than is set aside: what does
   not fit is refused as not run, and fits again once others are answered.  */
Test (h1, bodies_share_a_budget)
{
  struct handled h;
  uint16_t port = serve (&h);
  struct wy_h1_header host = { "Host", "h" };
  char body[61];
  struct platform_answer *first;

  memset (body, 'x', sizeof body - 1);
  body[sizeof body - 1] = '\0';
  h.hold = true;
  first = platform_world_call (&w, port, "POST", "/", &host, 1, body);
  platform_world_run_ms (&w, 20);
  cr_assert_not_null (h.held);
  cr_expect_eq (post (port, NULL, NULL, body), 503);
  h.hold = false;
  wy_h1_respond (h.held, 200, NULL, 0, "", 0);
  cr_expect_eq (post (port, NULL, NULL, body), 200);
  platform_answer_free (first);
  unserve (&h);
}

/* A caller hangs up while its request is being worked on.  The handler must
   hear of it without having to write: a replica would work on for nobody.  */
Test (h1, hangup_is_told_at_once)
{
  struct handled h;
  uint16_t port = serve (&h);
  struct wy_h1_header host = { "Host", "h" };
  struct platform_answer *a;

  h.hold = true;
  a = platform_world_call (&w, port, "GET", "/", &host, 1, NULL);
  platform_world_run_ms (&w, 20);
  cr_assert_not_null (h.held);
  platform_answer_free (a);
  platform_world_run_ms (&w, 50);
  cr_expect_eq (h.hangups, 1);
  unserve (&h);
}

/* A process that stops tells each caller to use another connection, and still
   answers the request at hand.  */
Test (h1, announced_close_follows_the_answer)
{
  struct handled h;
  uint16_t port = serve (&h);

  wy_h1_server_announce_close (h.server);
  cr_expect_eq (post (port, NULL, NULL, "ok"), 200);
  platform_world_run_ms (&w, 10);
  cr_expect_eq (wy_h1_server_connections (h.server), 0);
  unserve (&h);
}

/* A call is given up while what was sent of it is still on its way, as when
   the network between is cut.  Closed as usual, the connection would deliver
   it all the same when the cut heals, and the server would do work that was
   done elsewhere meanwhile, or was no longer wanted.  The server must meet a
   reset, not an orderly end behind whole bytes.  */
Test (h1, a_call_given_up_is_reset)
{
  struct sockaddr_in a = platform_loopback (0);
  socklen_t n = sizeof a;
  struct wy_h1_header host = { "Host", "h" };
  struct platform_answer *call;
  char bytes[256];
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  int conn;
  ssize_t got;

  platform_world_init (&w);
  cr_assert_eq (bind (listener, (const struct sockaddr *)&a, sizeof a), 0);
  cr_assert_eq (listen (listener, 1), 0);
  cr_assert_eq (getsockname (listener, (struct sockaddr *)&a, &n), 0);
  call = platform_world_call (&w, ntohs (a.sin_port), "GET", "/", &host, 1,
                              NULL);
  conn = accept (listener, NULL, NULL);
  platform_world_run_ms (&w, 30);
  cr_assert (wy_h1_call_sent (call->call));
  platform_answer_free (call);
  platform_world_run_ms (&w, 30);
  /* What had arrived before can still be read.  */
  do
    got = read (conn, bytes, sizeof bytes);
  while (got > 0);
  cr_expect_eq (got, -1);
  cr_expect_eq (errno, ECONNRESET);
  close (conn);
  close (listener);
  platform_world_free (&w);
}
