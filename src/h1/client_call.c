/* HTTP/1.1 client: one call on one connection.  */
#include "h1/client_state.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

enum
{
  /* A kept connection is given up this long before its peer says it will
     close it, since a request that crosses the close is lost.  */
  KEEP_MARGIN_MS = 1000,
  MS_PER_S = 1000
};

static void
release_options (struct wy_h1_call *k)
{
  if (k->out)
    g_string_free (k->out, TRUE);
  k->out = NULL;
}

static void
on_closed (uv_handle_t *h)
{
  struct wy_h1_call *k = (struct wy_h1_call *)h;

  release_options (k);
  wy_h1_head_clear (&k->head);
  g_free (k);
}

/* Close the connection of K without a word.  One whose call is not answered is
   reset: while the network between is cut, what was sent on it is held up, and
   after an ordinary close it would still be delivered seconds later, when the
   cut heals.  The peer would run a request that was given up, perhaps of a job
   that has ended meanwhile.  */
void
wy_h1_call_close (struct wy_h1_call *k)
{
  bool answered = !k->active || k->complete;

  if (k->closing)
    return;
  k->closing = true;
  if (k->link.data)
    {
      g_queue_unlink (k->active ? &k->client->connecting : &k->peer->idle,
                      &k->link);
      k->link.data = NULL;
      if (!k->active)
        k->client->stats.idle--;
    }
  k->peer->open--;
  k->client->stats.open--;
  if (answered || uv_tcp_close_reset (&k->tcp, on_closed))
    uv_close ((uv_handle_t *)&k->tcp, on_closed);
}

/* End the call with ERR and close its connection.  */
void
wy_h1_call_fail (struct wy_h1_call *k, int err)
{
  void (*on_end) (void *, int) = k->active ? k->o.on_end : NULL;
  void *ctx = k->o.ctx;

  if (k->closing)
    return;
  if (on_end)
    {
      /* The owner may still ask whether the request was sent.  */
      k->o.on_end = NULL;
      on_end (ctx, err);
    }
  wy_h1_call_close (k);
}

static void
keep (struct wy_h1_call *k)
{
  g_queue_unlink (&k->client->connecting, &k->link);
  k->active = false;
  k->link.data = k;
  k->idle_until_ms = uv_now (k->tcp.loop) + k->keep_ms;
  g_queue_push_head_link (&k->peer->idle, &k->link);
  k->client->stats.idle++;
}

/* The answer is whole: keep the connection if the next answer on it can only
   be the next request's.  */
static void
finish (struct wy_h1_call *k)
{
  void (*on_end) (void *, int) = k->o.on_end;
  void *ctx = k->o.ctx;

  k->o.on_end = NULL;
  /* A peer that answers before it has read the request whole would read the
     rest of it from whatever comes next.  */
  if (k->writing)
    k->dirty = true;
  if (k->dirty || k->keep_ms == 0)
    {
      if (on_end)
        on_end (ctx, 0);
      wy_h1_call_close (k);
      return;
    }
  keep (k);
  if (on_end)
    on_end (ctx, 0);
}

static int
on_field (http_parser *p, const char *at, size_t n)
{
  wy_h1_head_append_name (&((struct wy_h1_call *)p->data)->head, at, n);
  return 0;
}

static int
on_value (http_parser *p, const char *at, size_t n)
{
  wy_h1_head_append_value (&((struct wy_h1_call *)p->data)->head, at, n);
  return 0;
}

static uint32_t
keep_ms_of (const struct wy_h1_call *k)
{
  const char *v = wy_h1_head_get (&k->head, "keep-alive");
  const char *t = v ? strcasestr (v, "timeout=") : NULL;
  uint64_t ms = k->client->idle_timeout_ms;

  if (t)
    ms = strtoull (t + strlen ("timeout="), NULL, 10) * MS_PER_S;
  else if (v && *v >= '0' && *v <= '9')
    ms = strtoull (v, NULL, 10) * MS_PER_S;
  if (ms > k->client->idle_timeout_ms)
    ms = k->client->idle_timeout_ms;
  /* A short time-out leaves half of it.  */
  return (uint32_t)(ms / 2 > KEEP_MARGIN_MS ? ms - KEEP_MARGIN_MS : ms / 2);
}

/* Whether the end of the answer shows in it, so that a close in its midst is
   told from its end.  */
static bool
is_framed (const http_parser *p)
{
  return p->status_code == HTTP_STATUS_NO_CONTENT
         || p->status_code == HTTP_STATUS_NOT_MODIFIED
         || (p->flags & (F_CHUNKED | F_CONTENTLENGTH));
}

static int
on_headers_complete (http_parser *p)
{
  struct wy_h1_call *k = p->data;
  struct wy_h1_response a;
  bool bodiless;

  if (p->status_code < 200)
    {
      wy_h1_head_reset (&k->head);
      return 0;
    }
  bodiless = !strcmp (k->o.method, "HEAD");
  k->headed = true;
  k->framed = bodiless || is_framed (p);
  k->keep_ms = keep_ms_of (k);
  a.status = (int)p->status_code;
  a.head = &k->head;
  a.self_delimited = k->framed;
  if (!http_should_keep_alive (p))
    k->dirty = true;
  if (k->o.on_head)
    k->o.on_head (k->o.ctx, &a);
  return bodiless ? 1 : 0;
}

static int
on_body (http_parser *p, const char *at, size_t n)
{
  struct wy_h1_call *k = p->data;

  if (!k->closing && k->o.on_data)
    k->o.on_data (k->o.ctx, at, n);
  return 0;
}

static int
on_complete (http_parser *p)
{
  struct wy_h1_call *k = p->data;

  if (p->status_code < 200)
    return 0;
  k->complete = true;
  http_parser_pause (p, 1);
  return 0;
}

static const http_parser_settings callbacks
    = { .on_header_field = on_field,
        .on_header_value = on_value,
        .on_headers_complete = on_headers_complete,
        .on_body = on_body,
        .on_message_complete = on_complete };

static void
on_alloc (uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
  struct wy_h1_client *c = ((struct wy_h1_call *)h)->client;

  *buf = uv_buf_init (c->read_buffer, sizeof c->read_buffer);
}

static void
parse (struct wy_h1_call *k, const char *p, size_t n)
{
  size_t used = http_parser_execute (&k->parser, &callbacks, p, n);
  enum http_errno err = HTTP_PARSER_ERRNO (&k->parser);

  if (k->closing)
    return;
  if (k->complete)
    {
      /* Bytes behind a whole answer belong to no request.  */
      if (used < n)
        k->dirty = true;
      finish (k);
    }
  else if (err != HPE_OK)
    wy_h1_call_fail (k, WY_H1_EMALFORMED);
}

/* Whether the connection was reset.  libuv reports the end of the stream when
   it sees the hang-up right behind a short read, also where the peer has
   reset the connection; an answer without a length would then be taken for
   whole.  The error is still pending on the socket.  */
static bool
was_reset (const struct wy_h1_call *k)
{
  int err = 0;
  socklen_t n = sizeof err;
  uv_os_fd_t fd;

  if (uv_fileno ((const uv_handle_t *)&k->tcp, &fd))
    return true;
  return getsockopt (fd, SOL_SOCKET, SO_ERROR, &err, &n) || err;
}

static void
on_eof (struct wy_h1_call *k, ssize_t err)
{
  bool ends_by_close = k->active && !k->framed && k->headed && err == UV_EOF
                       && !was_reset (k);

  if (!ends_by_close)
    {
      wy_h1_call_fail (k,
                       k->parser.status_code ? WY_H1_EPARTIAL : WY_H1_ERESET);
      return;
    }
  http_parser_execute (&k->parser, &callbacks, NULL, 0);
  if (k->closing)
    return;
  k->dirty = true;
  if (k->complete)
    finish (k);
  else
    wy_h1_call_fail (k, WY_H1_EPARTIAL);
}

static void
on_read (uv_stream_t *h, ssize_t n, const uv_buf_t *buf)
{
  struct wy_h1_call *k = (struct wy_h1_call *)h;

  if (n == 0)
    return;
  if (!k->active)
    {
      /* Closed by the peer, or bytes that nobody asked for.  */
      wy_h1_call_close (k);
      return;
    }
  if (n < 0)
    on_eof (k, n);
  else
    parse (k, buf->base, (size_t)n);
}

static void
on_written (uv_write_t *req, int status)
{
  struct wy_h1_call *k = req->data;

  k->writing = false;
  if (!k->closing)
    release_options (k);
  if (status < 0 && !k->closing && k->active)
    wy_h1_call_fail (k, WY_H1_ERESET);
}

/* Send K's request on its open connection.  */
void
wy_h1_call_send (struct wy_h1_call *k)
{
  uv_buf_t buf = uv_buf_init (k->out->str, (unsigned)k->out->len);

  k->sent = true;
  k->writing = true;
  k->write.data = k;
  if (uv_write (&k->write, (uv_stream_t *)&k->tcp, &buf, 1, on_written))
    {
      k->writing = false;
      wy_h1_call_fail (k, WY_H1_ERESET);
    }
}

static void
on_connected (uv_connect_t *req, int status)
{
  struct wy_h1_call *k = req->data;

  k->connecting = false;
  if (k->closing)
    return;
  if (status < 0)
    {
      wy_h1_call_fail (k, WY_H1_ECONNECT);
      return;
    }
  k->connected = true;
  uv_read_start ((uv_stream_t *)&k->tcp, on_alloc, on_read);
  wy_h1_call_send (k);
}

/* Open K's connection; its request follows.  */
void
wy_h1_call_open (struct wy_h1_call *k)
{
  k->connect.data = k;
  k->connecting = true;
  if (uv_tcp_connect (&k->connect, &k->tcp,
                      (const struct sockaddr *)&k->peer->address,
                      on_connected))
    k->connecting = false; /* the sweep ends it */
}
