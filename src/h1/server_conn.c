/* HTTP/1.1 server: one connection, with one request at a time on it.  */
#include "h1/server_state.h"

#include <string.h>

enum
{
  /* Bytes of further requests that a caller may send before it has the
     response to the current one; more stay in the kernel.  */
  UNPARSED_LIMIT_BYTES = 65536,
  /* The buffer of unparsed bytes keeps the size of its longest read.  Above
     this it is freed with the body: 500 connections that have uploaded once
     would otherwise keep 32 MB.  */
  LARGE_UNPARSED_BYTES = 8192
};

/* Set the state of C and count the requests in progress.  */
void
wy_h1_conn_set_state (struct wy_h1_request *c, enum wy_h1_conn_state state)
{
  if (c->state == CONN_BUSY)
    c->server->active--;
  c->state = state;
  if (state == CONN_BUSY)
    c->server->active++;
  c->state_since_ms = uv_now (c->tcp.loop);
}

/* Bring the memory account up to date with the unparsed bytes of C, of which
   usually none remain after a read.  */
static void
count_unparsed (struct wy_h1_request *c)
{
  if (c->unparsed->len == c->unparsed_counted_bytes)
    return;
  wy_memory_account_add (c->server->memory, WY_MEMORY_BODIES,
                         (int64_t)c->unparsed->len
                             - (int64_t)c->unparsed_counted_bytes);
  c->unparsed_counted_bytes = c->unparsed->len;
}

static void
discard_body (struct wy_h1_request *c)
{
  c->server->total_body_bytes -= c->body->len;
  wy_memory_account_add (c->server->memory, WY_MEMORY_BODIES,
                         -(int64_t)c->body->len);
  /* An idle connection keeps no buffer of the size of a read.  */
  if (c->unparsed_is_large && c->unparsed->len == 0 && !c->parsing)
    {
      g_byte_array_free (c->unparsed, TRUE);
      c->unparsed = g_byte_array_new ();
      c->unparsed_is_large = false;
    }
  if (c->body->allocated_len > WY_H1_READ_SIZE_BYTES)
    {
      g_string_free (c->body, TRUE);
      c->body = g_string_new (NULL);
    }
  else
    g_string_truncate (c->body, 0);
}

static void
on_closed (uv_handle_t *h)
{
  struct wy_h1_request *c = (struct wy_h1_request *)h;

  wy_h1_head_clear (&c->head);
  g_string_free (c->body, TRUE);
  g_byte_array_free (c->unparsed, TRUE);
  g_free (c);
}

/* Close C without a callback.  */
void
wy_h1_conn_close (struct wy_h1_request *c)
{
  if (c->closing)
    return;
  c->closing = true;
  wy_h1_conn_set_state (c, CONN_LINGER);
  discard_body (c);
  g_byte_array_set_size (c->unparsed, 0);
  count_unparsed (c);
  g_queue_unlink (&c->server->connections, &c->link);
  uv_close ((uv_handle_t *)&c->tcp, on_closed);
}

/* The caller has hung up: close C and notify the handler, which must not use
   the request afterwards.  */
void
wy_h1_conn_hang_up (struct wy_h1_request *c)
{
  void (*cb) (void *) = c->state == CONN_BUSY ? c->on_hangup : NULL;
  void *ctx = c->hangup_ctx;

  c->on_hangup = NULL;
  wy_h1_conn_close (c);
  if (cb)
    cb (ctx);
}

static void parse_unparsed (struct wy_h1_request *c);

/* The response is queued: parse the next request, or read until the connection
   can close.  */
void
wy_h1_conn_finish_exchange (struct wy_h1_request *c)
{
  c->on_hangup = NULL;
  discard_body (c);
  if (!c->keep_alive)
    {
      wy_h1_conn_set_state (c, CONN_LINGER);
      wy_h1_conn_start_reading (c);
      return;
    }
  wy_h1_conn_set_state (c, CONN_IDLE);
  http_parser_pause (&c->parser, 0);
  if (!c->parsing)
    parse_unparsed (c);
  wy_h1_conn_start_reading (c);
}

static int
on_message_begin (http_parser *p)
{
  struct wy_h1_request *c = p->data;

  /* Until here the head names the last request, whose response may still be
     unsent.  */
  wy_h1_head_reset (&c->head);
  wy_h1_conn_set_state (c, CONN_HEAD);
  return 0;
}

static int
check_head (struct wy_h1_request *c)
{
  if (wy_h1_head_size_bytes (&c->head) <= c->server->limits.header_bytes)
    return 0;
  c->reject_status = 431;
  return 1;
}

static int
on_url (http_parser *p, const char *at, size_t n)
{
  struct wy_h1_request *c = p->data;

  wy_h1_head_append_url (&c->head, at, n);
  return check_head (c);
}

static int
on_field_name (http_parser *p, const char *at, size_t n)
{
  struct wy_h1_request *c = p->data;

  if (c->state != CONN_HEAD)
    return 0; /* trailers are ignored */
  wy_h1_head_append_name (&c->head, at, n);
  return check_head (c);
}

static int
on_field_value (http_parser *p, const char *at, size_t n)
{
  struct wy_h1_request *c = p->data;

  if (c->state != CONN_HEAD)
    return 0;
  wy_h1_head_append_value (&c->head, at, n);
  return check_head (c);
}

/* Whether C, whose body has not been read completely, is rejected since memory
   is at LEVEL or above.  It has not run.  */
static bool
is_rejected_for_memory (struct wy_h1_request *c, enum wy_memory_level level)
{
  struct wy_h1_server *s = c->server;

  if (wy_memory_account_level (s->memory) < level || !s->may_reject
      || !s->may_reject (s->ctx, c))
    return false;
  s->memory->rejections++;
  return true;
}

static bool
has_body (const http_parser *p)
{
  return (p->flags & F_CHUNKED)
         || (p->content_length != UINT64_MAX && p->content_length > 0);
}

static int
on_headers_complete (http_parser *p)
{
  static const char continue_response[] = "HTTP/1.1 100 Continue\r\n\r\n";
  struct wy_h1_request *c = p->data;
  const struct wy_h1_limits *l = &c->server->limits;
  bool has_length = p->content_length != UINT64_MAX;

  if (has_length && p->content_length > l->body_bytes)
    c->reject_status = 413;
  /* Bound the total memory of uploads: what does not fit is rejected before it
     is read.  */
  else if ((has_length
            && p->content_length + c->server->total_body_bytes
                   > l->buffered_bytes)
           || (has_body (p)
               && is_rejected_for_memory (c, WY_MEMORY_REJECT_NEW)))
    c->reject_status = 503;
  if (c->reject_status)
    return -1;
  if (wy_h1_head_get (&c->head, "expect"))
    wy_h1_conn_send (c, NULL, continue_response, sizeof continue_response - 1,
                     false);
  wy_h1_conn_set_state (c, CONN_BODY);
  return 0;
}

static int
on_body (http_parser *p, const char *at, size_t n)
{
  struct wy_h1_request *c = p->data;
  const struct wy_h1_limits *l = &c->server->limits;

  if (c->body->len + n > l->body_bytes)
    c->reject_status = 413;
  else if (c->server->total_body_bytes + n > l->buffered_bytes
           || is_rejected_for_memory (c, WY_MEMORY_SHED))
    c->reject_status = 503;
  if (c->reject_status)
    return -1;
  g_string_append_len (c->body, at, (gssize)n);
  c->server->total_body_bytes += n;
  wy_memory_account_add (c->server->memory, WY_MEMORY_BODIES, (int64_t)n);
  return 0;
}

static int
on_complete (http_parser *p)
{
  struct wy_h1_request *c = p->data;

  c->keep_alive = http_should_keep_alive (p);
  http_parser_pause (p, 1);
  return 0;
}

static const http_parser_settings callbacks
    = { .on_message_begin = on_message_begin,
        .on_url = on_url,
        .on_header_field = on_field_name,
        .on_header_value = on_field_value,
        .on_headers_complete = on_headers_complete,
        .on_body = on_body,
        .on_message_complete = on_complete };

static void
reject_malformed (struct wy_h1_request *c)
{
  int status = c->reject_status ? c->reject_status : 400;

  c->reject_status = 0;
  g_byte_array_set_size (c->unparsed, 0);
  wy_h1_conn_reject (c, status);
}

static void
dispatch_request (struct wy_h1_request *c)
{
  wy_h1_conn_set_state (c, CONN_BUSY);
  c->received_ms = (int64_t)(uv_hrtime () / 1000000);
  c->chunked = false;
  c->server->on_request (c->server->ctx, c);
}

/* Parse the bytes read, one request at a time.  The handler may respond within
   the call; then the next request follows.  */
static void
parse_unparsed (struct wy_h1_request *c)
{
  c->parsing = true;
  while (c->unparsed->len && !c->closing && c->state != CONN_BUSY
         && c->state != CONN_LINGER)
    {
      size_t used = http_parser_execute (&c->parser, &callbacks,
                                         (const char *)c->unparsed->data,
                                         c->unparsed->len);
      enum http_errno err = HTTP_PARSER_ERRNO (&c->parser);

      if (err != HPE_OK && err != HPE_PAUSED)
        {
          reject_malformed (c);
          break;
        }
      if (c->parser.upgrade)
        {
          reject_malformed (c);
          break;
        }
      g_byte_array_remove_range (c->unparsed, 0, (guint)used);
      if (err == HPE_PAUSED)
        dispatch_request (c);
    }
  c->parsing = false;
  count_unparsed (c);
}

static void
on_alloc (uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
  struct wy_h1_server *s = ((struct wy_h1_request *)h)->server;

  *buf = uv_buf_init (s->read_buffer, sizeof s->read_buffer);
}

static void
on_read (uv_stream_t *h, ssize_t n, const uv_buf_t *buf)
{
  struct wy_h1_request *c = (struct wy_h1_request *)h;

  if (n == 0)
    return;
  if (n < 0)
    {
      wy_h1_conn_hang_up (c);
      return;
    }
  if (c->state == CONN_LINGER)
    return;
  g_byte_array_append (c->unparsed, (const guint8 *)buf->base, (guint)n);
  c->unparsed_is_large
      = c->unparsed_is_large || c->unparsed->len > LARGE_UNPARSED_BYTES;
  if (c->state != CONN_BUSY)
    parse_unparsed (c);
  else
    count_unparsed (c);
  if (!c->closing && c->state == CONN_BUSY
      && c->unparsed->len > UNPARSED_LIMIT_BYTES)
    {
      c->reading = false;
      uv_read_stop (h);
    }
}

/* Read from C, if it is open and not read yet.  */
void
wy_h1_conn_start_reading (struct wy_h1_request *c)
{
  if (c->reading || c->closing)
    return;
  c->reading = true;
  uv_read_start ((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

/* Accept a connection from S's listener.  */
void
wy_h1_conn_accept (struct wy_h1_server *s)
{
  uv_stream_t *listener = (uv_stream_t *)&s->listener;
  struct wy_h1_request *c = g_malloc0 (sizeof *c);

  c->server = s;
  c->link.data = c;
  c->body = g_string_new (NULL);
  c->unparsed = g_byte_array_new ();
  wy_h1_head_init (&c->head);
  http_parser_init (&c->parser, HTTP_REQUEST);
  c->parser.data = c;
  c->state_since_ms = uv_now (listener->loop);
  uv_tcp_init (listener->loop, &c->tcp);
  g_queue_push_tail_link (&s->connections, &c->link);
  if (uv_accept (listener, (uv_stream_t *)&c->tcp))
    {
      wy_h1_conn_close (c);
      return;
    }
  uv_tcp_nodelay (&c->tcp, 1);
  wy_h1_conn_start_reading (c);
}
