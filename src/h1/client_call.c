/* HTTP/1.1 client: one call on one connection.  */
#include "h1/client_state.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

enum
{
  /* An idle connection is closed this long before the peer's announced
     timeout, since a request that crosses the peer's close is lost.  */
  KEEP_MARGIN_MS = 1000,
  /* With each level of the memory account a read is shortened to a quarter: a
     response is paused only after the read that takes it over its limit.  */
  LEVEL_SHIFT = 2,
  /* Limit of all that precedes the body, interim responses included.  */
  HEAD_LIMIT_BYTES = 131072,
  MS_PER_S = 1000,
  /* What the parser's callbacks return.  */
  SKIP_BODY = 1, /* on_headers_complete: the next byte follows the response */
  PARSE_ERROR = -1
};

static void
free_request (struct wy_h1_call *k)
{
  if (!k->request)
    return;
  wy_memory_account_add (k->client->memory, WY_MEMORY_TO_REPLICAS,
                         -(int64_t)k->request->allocated_len);
  g_string_free (k->request, TRUE);
  k->request = NULL;
}

static void
on_closed (uv_handle_t *h)
{
  struct wy_h1_call *k = (struct wy_h1_call *)h;

  free_request (k);
  wy_h1_head_clear (&k->head);
  wy_h1_client_release (k->client);
  g_free (k);
}

/* Close the connection of K without a callback.  If its call has no complete
   response, the connection is reset: during a network partition the sent bytes
   are still queued, and an ordinary close would let them arrive seconds later,
   when the partition heals.  The peer would run an abandoned request, perhaps
   of a job that has ended.  */
void
wy_h1_call_close (struct wy_h1_call *k)
{
  bool no_pending_response = !k->active || k->complete;

  if (k->closing)
    return;
  k->closing = true;
  if (k->link.data)
    {
      g_queue_unlink (k->active ? &k->client->active_calls : &k->peer->idle,
                      &k->link);
      k->link.data = NULL;
      if (!k->active)
        k->client->stats.idle--;
    }
  k->peer->open--;
  k->client->stats.open--;
  if (no_pending_response || uv_tcp_close_reset (&k->tcp, on_closed))
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
      /* The callback may still call wy_h1_call_sent.  */
      k->o.on_end = NULL;
      on_end (ctx, err);
    }
  wy_h1_call_close (k);
}

static void
keep_connection (struct wy_h1_call *k)
{
  g_queue_unlink (&k->client->active_calls, &k->link);
  k->active = false;
  k->link.data = k;
  k->idle_until_ms = uv_now (k->tcp.loop) + k->keep_alive_ms;
  g_queue_push_head_link (&k->peer->idle, &k->link);
  k->client->stats.idle++;
}

/* The response is complete: keep the connection open if the next response on
   it can only be the next request's.  */
static void
finish_response (struct wy_h1_call *k)
{
  void (*on_end) (void *, int) = k->o.on_end;
  void *ctx = k->o.ctx;

  k->o.on_end = NULL;
  wy_h1_call_resume (k);
  /* A peer that responds before it has read the complete request would read
     the rest of it out of the next one.  */
  if (k->writing)
    k->no_reuse = true;
  if (k->no_reuse || k->keep_alive_ms == 0)
    {
      if (on_end)
        on_end (ctx, 0);
      wy_h1_call_close (k);
      return;
    }
  keep_connection (k);
  if (on_end)
    on_end (ctx, 0);
}

static int
on_field_name (http_parser *p, const char *at, size_t n)
{
  wy_h1_head_append_name (&((struct wy_h1_call *)p->data)->head, at, n);
  return 0;
}

static int
on_field_value (http_parser *p, const char *at, size_t n)
{
  wy_h1_head_append_value (&((struct wy_h1_call *)p->data)->head, at, n);
  return 0;
}

static uint32_t
parse_keep_alive_ms (const struct wy_h1_call *k)
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
  /* Of a short timeout, use half.  */
  return (uint32_t)(ms / 2 > KEEP_MARGIN_MS ? ms - KEEP_MARGIN_MS : ms / 2);
}

/* Whether the parser takes the body to be framed as the check does.  */
static bool
is_framed_as_checked (const http_parser *p,
                      const struct wy_h1_response_check *c)
{
  return c->chunked == !!(p->flags & F_CHUNKED)
         && c->has_length == !!(p->flags & F_CONTENTLENGTH)
         && (!c->has_length || p->content_length == c->length_bytes);
}

static int
on_headers_complete (http_parser *p)
{
  struct wy_h1_call *k = p->data;
  struct wy_h1_response r;
  bool no_body;

  if (p->status_code < 200)
    {
      wy_h1_head_reset (&k->head);
      return SKIP_BODY;
    }
  if (!is_framed_as_checked (p, &k->check))
    return PARSE_ERROR;
  no_body = wy_h1_response_check_lacks_body (&k->check);
  k->head_complete = true;
  /* Else a premature close can't be told from the end.  */
  k->self_delimited = no_body || k->check.has_length || k->check.chunked;
  k->keep_alive_ms = parse_keep_alive_ms (k);
  r.status = (int)p->status_code;
  r.head = &k->head;
  r.self_delimited = k->self_delimited;
  if (!http_should_keep_alive (p))
    k->no_reuse = true;
  if (k->o.on_head)
    k->o.on_head (k->o.ctx, &r);
  return no_body ? SKIP_BODY : 0;
}

static int
on_body (http_parser *p, const char *at, size_t n)
{
  struct wy_h1_call *k = p->data;

  if (!k->head_complete)
    return PARSE_ERROR;
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
    = { .on_header_field = on_field_name,
        .on_header_value = on_field_value,
        .on_headers_complete = on_headers_complete,
        .on_body = on_body,
        .on_message_complete = on_complete };

static void
on_alloc (uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
  struct wy_h1_client *c = ((struct wy_h1_call *)h)->client;
  unsigned shift = LEVEL_SHIFT * wy_memory_account_level (c->memory);

  *buf = uv_buf_init (c->read_buffer, sizeof c->read_buffer >> shift);
}

static bool
is_too_long (const struct wy_h1_call *k)
{
  return (!k->head_complete && k->received_bytes > HEAD_LIMIT_BYTES)
         || (k->o.response_limit_bytes
             && k->received_bytes > k->o.response_limit_bytes);
}

/* The bytes read are no response: end the call and close its connection.  */
static void
fail_malformed (struct wy_h1_call *k, enum wy_h1_fault fault)
{
  const struct wy_h1_client *c = k->client;
  struct wy_h1_malformed m = { .peer = &k->peer->address,
                               .id = k->o.id ? k->o.id : "",
                               .fault = fault,
                               .after_head = k->head_complete,
                               .received_bytes = k->received_bytes };

  if (c->on_malformed)
    c->on_malformed (c->ctx, &m);
  wy_h1_call_fail (k, WY_H1_EMALFORMED);
}

static void
parse (struct wy_h1_call *k, const char *p, size_t n)
{
  size_t sound = wy_h1_response_check_feed (&k->check, p, n);
  size_t used = 0;

  /* The parser takes no bytes for the end of the connection.  */
  if (sound)
    used = http_parser_execute (&k->parser, &callbacks, p, sound);
  if (k->closing)
    return;
  k->received_bytes += n;
  if (k->complete)
    {
      /* Bytes after a complete response belong to no request.  */
      if (used < n)
        k->no_reuse = true;
      finish_response (k);
    }
  else if (HTTP_PARSER_ERRNO (&k->parser) != HPE_OK)
    fail_malformed (k, WY_H1_FAULT_SYNTAX);
  else if (k->check.fault)
    fail_malformed (k, k->check.fault);
  else if (is_too_long (k))
    fail_malformed (k, WY_H1_FAULT_TOO_LONG);
}

/* Whether the connection was reset.  libuv reports the end of the stream when
   it sees the hang-up directly after a short read, even if the peer has reset
   the connection; a response without a length would then appear complete.  The
   error is still pending on the socket.  */
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
  bool ends_at_close = k->active && !k->self_delimited && k->head_complete
                       && err == UV_EOF && !was_reset (k);

  if (!ends_at_close)
    {
      wy_h1_call_fail (k,
                       k->parser.status_code ? WY_H1_EPARTIAL : WY_H1_ERESET);
      return;
    }
  http_parser_execute (&k->parser, &callbacks, NULL, 0);
  if (k->closing)
    return;
  k->no_reuse = true;
  if (k->complete)
    finish_response (k);
  else
    wy_h1_call_fail (k, WY_H1_EPARTIAL);
}

static void
on_read (uv_stream_t *h, ssize_t n, const uv_buf_t *buf)
{
  struct wy_h1_call *k = (struct wy_h1_call *)h;

  if (n == 0)
    return;
  k->quiet_sweeps = 0;
  if (!k->active)
    {
      /* Closed by the peer, or unsolicited bytes.  */
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
    free_request (k);
  if (status < 0 && !k->closing && k->active)
    wy_h1_call_fail (k, WY_H1_ERESET);
}

/* Read from K's open connection.  */
void
wy_h1_call_start_reading (struct wy_h1_call *k)
{
  uv_read_start ((uv_stream_t *)&k->tcp, on_alloc, on_read);
}

/* Send K's request on its open connection.  */
void
wy_h1_call_send (struct wy_h1_call *k)
{
  uv_buf_t buf = uv_buf_init (k->request->str, (unsigned)k->request->len);

  if (k->o.on_sending)
    k->o.on_sending (k->o.ctx);
  if (k->closing)
    return;
  k->sent = true;
  k->quiet_sweeps = 0;
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
      k->refused = status == UV_ECONNREFUSED;
      wy_h1_call_fail (k, WY_H1_ECONNECT);
      return;
    }
  k->connected = true;
  if (k->o.connect_only)
    {
      k->complete = true;
      wy_h1_call_fail (k, 0);
      return;
    }
  wy_h1_call_start_reading (k);
  wy_h1_call_send (k);
}

/* Open K's connection and then send its request.  */
void
wy_h1_call_open (struct wy_h1_call *k)
{
  k->connect.data = k;
  k->connecting = true;
  if (uv_tcp_connect (&k->connect, &k->tcp,
                      (const struct sockaddr *)&k->peer->address,
                      on_connected))
    {
      k->connecting = false;
      k->failed = true; /* reported by the sweep */
    }
}
