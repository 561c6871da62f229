/* A connection between two processes.

   Outgoing frames are buffered and written to the socket once per iteration of
   the event loop, so that a burst of small frames costs one system call.  */
#include "inner/conn.h"

#include <string.h>

#include "inner/conn_state.h"

enum
{
  /* A peer that hasn't authenticated may only send what a handshake needs, so
     that it can't occupy megabytes of memory.  */
  HANDSHAKE_FRAME_LIMIT_BYTES = 2048,
  READ_SIZE_BYTES = 65536,
  /* Larger buffers are freed when they are empty.  */
  BUFFER_KEEP_BYTES = 65536
};

struct write
{
  uv_write_t req; /* must stay first */
  struct wy_conn *conn;
  GByteArray *bytes;
};

static void
on_handle_closed (uv_handle_t *h)
{
  struct wy_conn *c = h->data;

  if (--c->handles_open)
    return;
  if (c->listener)
    wy_listener_conn_closed (c);
  if (c->events.on_closed)
    c->events.on_closed (c->events.ctx, c, c->err);
  g_byte_array_unref (c->in);
  g_byte_array_unref (c->out);
  wy_frame_arena_free (c->arena);
  g_free (c->process);
  g_free (c->incarnation);
  g_free (c->availability_zone);
  g_free (c);
}

/* Close C with ERR.  on_closed is called later, from the event loop.  */
void
wy_conn_fail (struct wy_conn *c, int err)
{
  if (c->state == WY_CONN_CLOSED)
    return;
  c->state = WY_CONN_CLOSED;
  c->err = err;
  if (c->listener)
    wy_listener_conn_closing (c);
  uv_close ((uv_handle_t *)&c->tcp, on_handle_closed);
  uv_close ((uv_handle_t *)&c->timer, on_handle_closed);
  uv_close ((uv_handle_t *)&c->flush, on_handle_closed);
}

static void
notify_writable (struct wy_conn *c)
{
  if (c->state == WY_CONN_READY && c->events.on_writable)
    c->events.on_writable (c->events.ctx, c);
}

static void
on_written (uv_write_t *req, int status)
{
  struct write *w = (struct write *)req;
  struct wy_conn *c = w->conn;

  c->writing_bytes -= w->bytes->len;
  g_byte_array_unref (w->bytes);
  g_free (w);
  if (status)
    wy_conn_fail (c, WY_INNER_ECLOSED);
  else
    notify_writable (c);
}

/* Pass the output buffer from offset SENT on to a write request.  */
static void
write_rest (struct wy_conn *c, size_t sent)
{
  struct write *w = g_malloc0 (sizeof *w);
  uv_buf_t buf;

  w->conn = c;
  w->bytes = c->out;
  c->out = g_byte_array_new ();
  c->writing_bytes += w->bytes->len;
  buf = uv_buf_init ((char *)w->bytes->data + sent,
                     (unsigned)(w->bytes->len - sent));
  if (uv_write (&w->req, (uv_stream_t *)&c->tcp, &buf, 1, on_written))
    {
      c->writing_bytes -= w->bytes->len;
      g_byte_array_unref (w->bytes);
      g_free (w);
      wy_conn_fail (c, WY_INNER_ECLOSED);
    }
}

static void
flush (struct wy_conn *c)
{
  uv_buf_t buf = uv_buf_init ((char *)c->out->data, c->out->len);
  int n = 0;

  if (c->out->len == 0)
    return;
  if (c->writing_bytes == 0)
    n = uv_try_write ((uv_stream_t *)&c->tcp, &buf, 1);
  if (n < 0 && n != UV_EAGAIN)
    {
      wy_conn_fail (c, WY_INNER_ECLOSED);
      return;
    }
  if (n == (int)c->out->len)
    {
      if (c->out->len > BUFFER_KEEP_BYTES)
        {
          g_byte_array_unref (c->out);
          c->out = g_byte_array_new ();
        }
      g_byte_array_set_size (c->out, 0);
      return;
    }
  write_rest (c, n > 0 ? (size_t)n : 0);
}

static void
on_flush (uv_prepare_t *p)
{
  struct wy_conn *c = p->data;

  uv_prepare_stop (p);
  flush (c);
  if (c->writing_bytes == 0)
    notify_writable (c);
}

/* Append F to the output buffer.  A peer that reads too slowly or not at all
   would let the buffer grow without limit, so the connection is closed when
   send_limit_bytes is exceeded.  The peer resumes on a new connection.  */
void
wy_conn_enqueue (struct wy_conn *c, const struct wy_frame *f)
{
  const struct wy_inner_identity *id = c->identity;
  struct wy_frame stamped = *f;

  stamped.timestamp = id->timestamp ? id->timestamp (id->trace) : 0;
  wy_frame_encode (&stamped, c->out);
  if (c->writing_bytes + c->out->len > id->send_limit_bytes)
    wy_conn_fail (c, WY_INNER_EBACKLOG);
  else
    uv_prepare_start (&c->flush, on_flush);
}

static void
handle_frame (struct wy_conn *c, const struct wy_frame *f)
{
  int err;

  if (c->state != WY_CONN_READY)
    {
      err = wy_handshake_frame (c, f);
      if (err)
        wy_conn_fail (c, err);
      return;
    }
  if (f->kind <= WY_FRAME_WELCOME)
    {
      wy_conn_fail (c, WY_INNER_EMALFORMED);
      return;
    }
  if (f->timestamp && c->identity->observe)
    c->identity->observe (c->identity->trace, f->timestamp);
  if (f->kind == WY_FRAME_PONG)
    {
      if (f->u.ping.seq > c->seq)
        {
          wy_conn_fail (c, WY_INNER_EMALFORMED);
          return;
        }
      wy_heartbeat_on_pong (c, f->u.ping.seq);
    }
  if (f->kind == WY_FRAME_PING)
    wy_heartbeat_send (c, WY_FRAME_PONG, f->u.ping.seq);
  if (c->state == WY_CONN_READY && c->events.on_frame)
    c->events.on_frame (c->events.ctx, c, f);
}

/* Remove the first N bytes of the input buffer.  */
static void
consume (struct wy_conn *c, size_t n)
{
  if (n < c->in->len)
    {
      g_byte_array_remove_range (c->in, 0, (guint)n);
      return;
    }
  if (c->in->len > BUFFER_KEEP_BYTES)
    {
      g_byte_array_unref (c->in);
      c->in = g_byte_array_new ();
    }
  g_byte_array_set_size (c->in, 0);
}

static void
handle_input (struct wy_conn *c)
{
  size_t off = 0;

  while (c->state != WY_CONN_CLOSED && off < c->in->len)
    {
      struct wy_frame f;
      int64_t n = wy_frame_decode (c->arena, c->in->data + off,
                                   c->in->len - off, &f);

      if (n == WY_INNER_ETRUNCATED)
        break;
      if (n < 0)
        {
          wy_conn_fail (c, (int)n);
          return;
        }
      off += (size_t)n;
      handle_frame (c, &f);
    }
  consume (c, off);
  if (c->state != WY_CONN_READY && c->in->len > HANDSHAKE_FRAME_LIMIT_BYTES)
    wy_conn_fail (c, WY_INNER_ETOOBIG);
}

static void
on_alloc (uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
  /* All connections share one buffer: there is one event loop on one thread,
     and the bytes are copied before the next read.  */
  static char shared[READ_SIZE_BYTES];

  *buf = uv_buf_init (shared, sizeof shared);
}

static void
on_read (uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
  struct wy_conn *c = s->data;

  if (n == 0)
    return;
  if (n < 0)
    {
      wy_conn_fail (c, WY_INNER_ECLOSED);
      return;
    }
  g_byte_array_append (c->in, (const guint8 *)buf->base, (guint)n);
  handle_input (c);
}

/* Initialize C, which is zeroed, in STATE.  */
void
wy_conn_init (struct wy_conn *c, const struct wy_inner_identity *identity,
              enum wy_conn_state state)
{
  c->identity = identity;
  c->state = state;
  c->in = g_byte_array_new ();
  c->out = g_byte_array_new ();
  c->arena = wy_frame_arena_new ();
  uv_tcp_init (identity->loop, &c->tcp);
  uv_timer_init (identity->loop, &c->timer);
  uv_prepare_init (identity->loop, &c->flush);
  c->tcp.data = c;
  c->timer.data = c;
  c->flush.data = c;
  c->handles_open = 3;
  wy_heartbeat_start (c);
}

/* Start reading from the socket of C, which is open.  */
void
wy_conn_start_reading (struct wy_conn *c)
{
  uv_tcp_nodelay (&c->tcp, 1);
  if (uv_read_start ((uv_stream_t *)&c->tcp, on_alloc, on_read))
    wy_conn_fail (c, WY_INNER_ECLOSED);
}

static void
on_connected (uv_connect_t *req, int status)
{
  struct wy_conn *c = req->data;

  if (c->state == WY_CONN_CLOSED)
    return;
  if (status)
    {
      wy_conn_fail (c, WY_INNER_ECONNECT);
      return;
    }
  wy_conn_start_reading (c);
  if (c->state != WY_CONN_CLOSED)
    wy_handshake_hello (c);
}

/* Connect to PORT of HOST, an IPv4 address, and authenticate with the key of
   IDENTITY, which must outlive the connection.  Failures are reported by
   on_closed, never before this returns.  */
struct wy_conn *
wy_conn_dial (const struct wy_inner_identity *identity, const char *host,
              uint16_t port, const struct wy_conn_events *events)
{
  struct wy_conn *c = g_malloc0 (sizeof *c);
  struct sockaddr_in a;

  wy_conn_init (c, identity, WY_CONN_CONNECTING);
  c->events = *events;
  c->connect.data = c;
  if (uv_ip4_addr (host, port, &a)
      || uv_tcp_connect (&c->connect, &c->tcp, (struct sockaddr *)&a,
                         on_connected))
    wy_conn_fail (c, WY_INNER_ECONNECT);
  return c;
}

/* Send F.  Returns 0, which doesn't imply that it arrives, WY_INNER_ECLOSED if
   C isn't ready or is closed, or WY_INNER_EBACKLOG if C was closed because of
   its unsent bytes.  */
int
wy_conn_send (struct wy_conn *c, const struct wy_frame *f)
{
  if (c->state != WY_CONN_READY)
    return WY_INNER_ECLOSED;
  wy_conn_enqueue (c, f);
  wy_heartbeat_on_send (c);
  return c->state == WY_CONN_READY ? 0 : WY_INNER_EBACKLOG;
}

/* Close C after an attempt to write the buffered output.  on_closed is called
   later, from the event loop, with 0.  */
void
wy_conn_close (struct wy_conn *c)
{
  if (c->state == WY_CONN_READY)
    flush (c);
  wy_conn_fail (c, 0);
}
