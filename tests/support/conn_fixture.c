/* Both ends of a connection in one event loop.  */
#include "conn_fixture.h"

#include <criterion/criterion.h>
#include <string.h>

const struct wy_inner_key conn_keys_old[] = { { 1, "old secret" } };

static struct fixture *the_fixture;

/* Stop the loop if the awaited condition is true.  */
void
conn_check_done (void)
{
  if (the_fixture->done && the_fixture->done (the_fixture))
    uv_stop (&the_fixture->loop);
}

static void
on_ready (void *ctx, struct wy_conn *c, const char *process,
          const char *incarnation, const char *availability_zone)
{
  struct endpoint *e = ctx;

  e->ready++;
  e->peer
      = g_strdup_printf ("%s/%s/%s", process, incarnation, availability_zone);
  conn_check_done ();
}

static void
on_frame (void *ctx, struct wy_conn *c, const struct wy_frame *f)
{
  struct endpoint *e = ctx;

  if (f->kind == WY_FRAME_PING || f->kind == WY_FRAME_PONG)
    e->pings++;
  else
    e->frames++;
  if (f->kind == WY_FRAME_CHUNK)
    e->chunk_bytes += f->u.chunk.data.n;
  conn_check_done ();
}

static void
on_closed (void *ctx, struct wy_conn *c, int err)
{
  struct endpoint *e = ctx;

  e->closed++;
  e->err = err;
  e->conn = NULL;
  conn_check_done ();
}

static bool
is_busy (void *ctx, struct wy_conn *c)
{
  return !((struct endpoint *)ctx)->idle;
}

/* The callbacks of end E.  */
struct wy_conn_events
conn_events_of (struct endpoint *e)
{
  struct wy_conn_events ev = { .on_ready = on_ready,
                               .is_busy = is_busy,
                               .on_frame = on_frame,
                               .on_closed = on_closed,
                               .ctx = e };

  return ev;
}

static struct wy_conn_events
on_accept (void *ctx, struct wy_conn *c)
{
  struct fixture *w = ctx;

  w->b.conn = c;
  return conn_events_of (&w->b);
}

/* Initialize end E of W as PROCESS with the N KEYS.  */
void
conn_end_init (struct fixture *w, struct endpoint *e, const char *process,
               const struct wy_inner_key *keys, size_t n)
{
  e->identity
      = (struct wy_inner_identity){ .loop = &w->loop,
                                    .clock = wy_clock_system (),
                                    .process = process,
                                    .incarnation = "inc",
                                    .availability_zone = "surrey",
                                    .keys = keys,
                                    .n_keys = n,
                                    .handshake_timeout_ms
                                    = HANDSHAKE_TIMEOUT_MS,
                                    .heartbeat_ms = HEARTBEAT_MS,
                                    .silence_limit_ms = SILENCE_LIMIT_MS,
                                    .send_limit_bytes = SEND_LIMIT_BYTES };
}

static void
on_guard (uv_timer_t *t)
{
  cr_assert_fail ("timed out");
}

/* Initialize both ends and the listener, without a connection.  */
void
conn_fixture_init (struct fixture *w)
{
  struct wy_listener_options o = { .identity = &w->b.identity,
                                   .host = "127.0.0.1",
                                   .on_accept = on_accept,
                                   .ctx = w };

  memset (w, 0, sizeof *w);
  the_fixture = w;
  uv_loop_init (&w->loop);
  conn_end_init (w, &w->a, "entry-1", conn_keys_old, 1);
  conn_end_init (w, &w->b, "agent-1", conn_keys_old, 1);
  cr_assert_eq (wy_listener_new (&w->listener, &o), 0);
  uv_timer_init (&w->loop, &w->guard);
  uv_timer_start (&w->guard, on_guard, GUARD_MS, 0);
}

/* Connect end A to PORT, or to the listener if PORT is 0.  */
void
conn_dial (struct fixture *w, uint16_t port)
{
  struct wy_conn_events ev = conn_events_of (&w->a);

  w->a.conn = wy_conn_dial (&w->a.identity, "127.0.0.1",
                            port ? port : wy_listener_port (w->listener), &ev);
}

/* Run the loop until DONE returns true.  */
void
conn_run_until (struct fixture *w, bool (*done) (struct fixture *w))
{
  w->done = done;
  if (!done (w))
    uv_run (&w->loop, UV_RUN_DEFAULT);
}

/* Whether both ends are ready.  */
bool
conn_both_ready (struct fixture *w)
{
  return w->a.ready && w->b.ready;
}

/* Whether both ends are closed.  */
bool
conn_both_closed (struct fixture *w)
{
  return w->a.closed && w->b.closed;
}

/* Whether end A is closed.  */
bool
conn_a_closed (struct fixture *w)
{
  return w->a.closed;
}

/* Whether end B is closed.  */
bool
conn_b_closed (struct fixture *w)
{
  return w->b.closed;
}

static void
raw_alloc (uv_handle_t *h, size_t n, uv_buf_t *buf)
{
  static char memory[65536];

  *buf = uv_buf_init (memory, sizeof memory);
}

static void
raw_read (uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
  struct raw *r = s->data;

  if (n > 0)
    g_byte_array_append (r->got, (const guint8 *)buf->base, (guint)n);
  else if (n < 0)
    uv_read_stop (s);
}

static void
raw_connected (uv_connect_t *req, int status)
{
  struct raw *r = req->data;
  uv_buf_t buf = uv_buf_init ((char *)r->bytes->data, r->bytes->len);

  cr_assert_eq (status, 0);
  uv_read_start ((uv_stream_t *)&r->tcp, raw_alloc, raw_read);
  if (r->bytes->len)
    uv_write (&r->write, (uv_stream_t *)&r->tcp, &buf, 1, NULL);
}

/* Connect a raw socket to the listener and send the N bytes at P.  */
void
conn_raw_dial (struct fixture *w, struct raw *r, const void *p, size_t n)
{
  struct sockaddr_in a;

  r->bytes = g_byte_array_new ();
  r->got = g_byte_array_new ();
  g_byte_array_append (r->bytes, p, (guint)n);
  uv_tcp_init (&w->loop, &r->tcp);
  r->tcp.data = r;
  r->connect.data = r;
  uv_ip4_addr ("127.0.0.1", wy_listener_port (w->listener), &a);
  uv_tcp_connect (&r->connect, &r->tcp, (struct sockaddr *)&a, raw_connected);
}

static void relay_copy (uv_stream_t *s, ssize_t n, const uv_buf_t *buf);

static void
relay_connected (uv_connect_t *req, int status)
{
  struct relay *r = req->data;

  cr_assert_eq (status, 0);
  uv_read_start ((uv_stream_t *)&r->near, raw_alloc, relay_copy);
  uv_read_start ((uv_stream_t *)&r->far, raw_alloc, relay_copy);
}

static void
relay_copy (uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
  struct relay *r = s->data;
  bool to_listener = s == (uv_stream_t *)&r->near;
  uv_buf_t out = uv_buf_init (buf->base, n > 0 ? (unsigned)n : 0);

  if (n < 0)
    {
      uv_read_stop (s);
      return;
    }
  if (to_listener)
    g_byte_array_append (r->seen, (const guint8 *)buf->base, (guint)n);
  if (to_listener ? r->drop_to_listener : r->drop_to_dialer)
    return;
  uv_try_write ((uv_stream_t *)(to_listener ? &r->far : &r->near), &out, 1);
}

static void
relay_accept (uv_stream_t *s, int status)
{
  struct relay *r = s->data;
  struct sockaddr_in a;

  uv_tcp_init (s->loop, &r->near);
  uv_tcp_init (s->loop, &r->far);
  r->near.data = r;
  r->far.data = r;
  r->connect.data = r;
  cr_assert_eq (uv_accept (s, (uv_stream_t *)&r->near), 0);
  uv_ip4_addr ("127.0.0.1", wy_listener_port (the_fixture->listener), &a);
  uv_tcp_connect (&r->connect, &r->far, (struct sockaddr *)&a,
                  relay_connected);
}

/* Start a relay to the listener; end A is to dial the relay's port.  */
void
conn_relay_init (struct fixture *w)
{
  struct relay *r = &w->relay;
  struct sockaddr_in a;
  int n = sizeof a;

  r->seen = g_byte_array_new ();
  uv_tcp_init (&w->loop, &r->listener);
  r->listener.data = r;
  uv_ip4_addr ("127.0.0.1", 0, &a);
  uv_tcp_bind (&r->listener, (struct sockaddr *)&a, 0);
  cr_assert_eq (uv_listen ((uv_stream_t *)&r->listener, 4, relay_accept), 0);
  uv_tcp_getsockname (&r->listener, (struct sockaddr *)&a, &n);
  r->port = ntohs (a.sin_port);
}
