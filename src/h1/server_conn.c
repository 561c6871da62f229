/* HTTP/1.1 server: one connection, with one request at a time on it.  */
#include "h1/server_state.h"

#include <string.h>

enum
{
  /* Bytes of further requests that a caller may send before it has the
     response to the current one; more stay in the kernel.  */
  AHEAD_BYTES = 16384
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

static void
on_closed (uv_handle_t *h)
{
  struct wy_h1_request *c = (struct wy_h1_request *)h;

  wy_h1_head_clear (&c->head);
  g_string_free (c->body, TRUE);
  g_byte_array_free (c->unparsed, TRUE);
  wy_h1_server_handle_closed (c->server);
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
  wy_h1_conn_discard_body (c);
  g_byte_array_set_size (c->unparsed, 0);
  wy_h1_conn_count_held (c);
  wy_h1_turn_forget (c);
  g_queue_unlink (&c->server->connections, &c->link);
  uv_close ((uv_handle_t *)&c->tcp, on_closed);
  wy_h1_accept_if_room (c->server);
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
static void update_reading (struct wy_h1_request *c);

/* The response is queued: parse the next request, or read until the connection
   can close.  */
void
wy_h1_conn_finish_exchange (struct wy_h1_request *c)
{
  c->on_hangup = NULL;
  wy_h1_conn_discard_body (c);
  if (!c->keep_alive)
    {
      wy_h1_conn_set_state (c, CONN_LINGER);
      g_byte_array_set_size (c->unparsed, 0);
      wy_h1_conn_trim (c);
      wy_h1_conn_count_held (c);
      update_reading (c);
      return;
    }
  wy_h1_conn_set_state (c, CONN_IDLE);
  http_parser_pause (&c->parser, 0);
  wy_h1_accept_if_room (c->server);
  if (!c->parsing)
    parse_unparsed (c);
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

  if (!wy_h1_head_has_valid_names (&c->head))
    return -1;
  if (has_length && p->content_length <= l->body_bytes)
    wy_h1_overload_make_body_room (c, p->content_length);
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

  wy_h1_overload_make_body_room (c, n);
  if (c->body->len + n > l->body_bytes)
    c->reject_status = 413;
  else if (c->server->total_body_bytes + n > l->buffered_bytes
           || is_rejected_for_memory (c, WY_MEMORY_SHED))
    c->reject_status = 503;
  if (c->reject_status)
    return -1;
  g_string_append_len (c->body, at, (gssize)n);
  c->server->total_body_bytes += n;
  wy_h1_conn_count_held (c);
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
  c->has_served = true;
  c->received_ms = (int64_t)(uv_hrtime () / 1000000);
  c->chunked = false;
  c->server->on_request (c->server->ctx, c);
}

/* Whether the client of C has left so much unread that its next request has to
   wait.  */
static bool
awaits_reader (const struct wy_h1_request *c)
{
  return c->state == CONN_IDLE
         && c->held_bytes > wy_client_unread_limit (
                c->server->clients.unread_bytes,
                wy_memory_account_level (c->server->memory));
}

/* Whether parsing continues; if not, wy_h1_conn_continue is called later.  */
static bool
may_parse (struct wy_h1_request *c)
{
  if (c->closing || c->state == CONN_BUSY || c->state == CONN_LINGER)
    return false;
  if (c->state != CONN_IDLE)
    return true;
  if (awaits_reader (c))
    {
      c->server->overload->stats.unread_pauses++;
      return false;
    }
  if (wy_h1_turn_take (c))
    return true;
  wy_h1_turn_await (c);
  return false;
}

/* Parse the bytes read, one request at a time.  The handler may respond within
   the call; then the next request follows.  */
static void
parse_unparsed (struct wy_h1_request *c)
{
  c->parsing = true;
  while (c->unparsed->len && may_parse (c))
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
  if (c->closing)
    return;
  wy_h1_conn_trim (c);
  wy_h1_conn_count_held (c);
  update_reading (c);
}

/* Bytes that may be read from C now.  */
static size_t
readable_bytes (const struct wy_h1_request *c)
{
  size_t ahead_bytes = wy_client_unread_limit (
      AHEAD_BYTES, wy_memory_account_level (c->server->memory));

  switch (c->state)
    {
    case CONN_BUSY:
      return c->unparsed->len < ahead_bytes ? ahead_bytes - c->unparsed->len
                                            : 0;
    case CONN_IDLE:
      return c->awaits_turn || awaits_reader (c)
                 ? 0
                 : (size_t)WY_H1_READ_SIZE_BYTES;
    default:
      return WY_H1_READ_SIZE_BYTES;
    }
}

static void
on_alloc (uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
  const struct wy_h1_request *c = (struct wy_h1_request *)h;
  struct wy_h1_server *s = c->server;
  size_t n = readable_bytes (c);

  *buf = uv_buf_init (s->read_buffer,
                      (unsigned)MIN (MAX (n, 1), sizeof s->read_buffer));
}

/* Size that a byte array of N bytes has grown to.  */
static size_t
allocation (size_t n)
{
  return (size_t)1 << g_bit_storage (n - 1);
}

static void
on_read (uv_stream_t *h, ssize_t n, const uv_buf_t *buf)
{
  struct wy_h1_request *c = (struct wy_h1_request *)h;
  struct wy_h1_overload *v = c->server->overload;

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
  c->unparsed_size_bytes
      = MAX (c->unparsed_size_bytes, allocation (c->unparsed->len));
  wy_h1_conn_continue (c);
  wy_h1_overload_taken (v);
}

/* Read from C, or stop, as its state and what it holds require.  */
static void
update_reading (struct wy_h1_request *c)
{
  bool read = !c->closing && readable_bytes (c) > 0;

  if (read == c->reading || c->closing)
    return;
  c->reading = read;
  if (read)
    uv_read_start ((uv_stream_t *)&c->tcp, on_alloc, on_read);
  else
    uv_read_stop ((uv_stream_t *)&c->tcp);
}

/* Continue with C: it has received or sent bytes, or has a further turn.  */
void
wy_h1_conn_continue (struct wy_h1_request *c)
{
  if (c->closing || c->parsing || c->awaits_turn)
    return;
  if (c->state == CONN_BUSY || c->state == CONN_LINGER)
    {
      wy_h1_conn_count_held (c);
      update_reading (c);
    }
  else
    parse_unparsed (c);
}

/* Accept a connection from S's listener.  */
void
wy_h1_conn_accept (struct wy_h1_server *s)
{
  uv_stream_t *listener = (uv_stream_t *)&s->listener;
  struct wy_h1_request *c = g_malloc0 (sizeof *c);

  c->server = s;
  c->link.data = c;
  c->turn_link.data = c;
  c->body = g_string_new (NULL);
  c->unparsed = g_byte_array_new ();
  wy_h1_head_init (&c->head);
  http_parser_init (&c->parser, HTTP_REQUEST);
  c->parser.data = c;
  c->state_since_ms = uv_now (listener->loop);
  uv_tcp_init (listener->loop, &c->tcp);
  g_queue_push_tail_link (&s->connections, &c->link);
  s->handles++;
  if (uv_accept (listener, (uv_stream_t *)&c->tcp))
    {
      wy_h1_conn_close (c);
      return;
    }
  uv_tcp_nodelay (&c->tcp, 1);
  wy_h1_conn_count_held (c);
  update_reading (c);
}
