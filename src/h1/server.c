/* HTTP/1.1 server: connections, one request at a time on each, limits.  */
#include "h1/server.h"

#include <string.h>

#include <http_parser.h>

enum
{
  LISTEN_BACKLOG = 1024,
  /* How often the limits on slow and idle callers are looked at.  */
  SWEEP_MS = 500,
  /* Bytes that a caller may send ahead of its turn; more are left in the
     kernel until the request before them has its answer.  */
  AHEAD_LIMIT_BYTES = 65536,
  READ_SIZE_BYTES = 65536,
  /* A refused upload is read and thrown away for so long before the
     connection closes: closing over unread bytes resets the connection, and
     the caller would never see the answer.  */
  LINGER_MS = 1000
};

enum conn_state
{
  CONN_IDLE,
  CONN_HEAD,  /* some bytes of a head are in */
  CONN_BODY,  /* the head is in */
  CONN_BUSY,  /* the handler has the request */
  CONN_LINGER /* answered, reading on only to be able to close */
};

struct wy_h1_request
{
  uv_tcp_t tcp; /* must stay first */
  struct wy_h1_server *server;
  http_parser parser;
  enum conn_state state;
  struct wy_h1_head head;
  GString *body;
  GByteArray *ahead; /* read, not yet parsed */
  uint64_t since_ms; /* loop time of the last change of state */
  int64_t received_ms;
  void (*on_hangup) (void *ctx);
  void *hangup_ctx;
  int refuse_status; /* not 0: the request broke a limit */
  bool reading;
  bool keep_alive;
  bool chunked; /* the answer under way */
  bool parsing;
  bool closing;
  GList link;
};

struct wy_h1_server
{
  uv_tcp_t listener;
  uv_timer_t sweep;
  struct wy_h1_limits limits;
  uint16_t port;
  bool listening;
  bool announce_close;
  uint64_t held_bytes;
  uint32_t active;
  GQueue connections;
  void (*on_request) (void *ctx, struct wy_h1_request *r);
  void *ctx;
  char read_buffer[READ_SIZE_BYTES];
};

/* An outgoing write with its bytes behind it.  */
struct write
{
  uv_write_t req; /* must stay first */
  struct wy_h1_request *conn;
  bool last; /* close when it is out */
  size_t n;
  char bytes[];
};

static const char *
reason_of (int status)
{
  return http_status_str ((enum http_status)status);
}

static void
set_state (struct wy_h1_request *c, enum conn_state state)
{
  if (c->state == CONN_BUSY)
    c->server->active--;
  c->state = state;
  if (state == CONN_BUSY)
    c->server->active++;
  c->since_ms = uv_now (c->tcp.loop);
}

static void
drop_body (struct wy_h1_request *c)
{
  c->server->held_bytes -= c->body->len;
  if (c->body->allocated_len > READ_SIZE_BYTES)
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
  g_byte_array_free (c->ahead, TRUE);
  g_free (c);
}

static void
close_conn (struct wy_h1_request *c)
{
  if (c->closing)
    return;
  c->closing = true;
  set_state (c, CONN_LINGER);
  drop_body (c);
  g_queue_unlink (&c->server->connections, &c->link);
  uv_close ((uv_handle_t *)&c->tcp, on_closed);
}

/* The caller is gone: tell the handler, which must not touch the request
   after that.  */
static void
hang_up (struct wy_h1_request *c)
{
  void (*cb) (void *) = c->state == CONN_BUSY ? c->on_hangup : NULL;
  void *ctx = c->hangup_ctx;

  c->on_hangup = NULL;
  close_conn (c);
  if (cb)
    cb (ctx);
}

static void
on_written (uv_write_t *req, int status)
{
  struct write *w = (struct write *)req;
  struct wy_h1_request *c = w->conn;
  bool last = w->last;

  g_free (w);
  if (status < 0 && !c->closing)
    hang_up (c);
  else if (last)
    close_conn (c);
}

static void
send_bytes (struct wy_h1_request *c, GString *head, const void *p, size_t n,
            bool last)
{
  size_t head_n = head ? head->len : 0;
  struct write *w = g_malloc (sizeof *w + head_n + n);
  uv_buf_t buf;

  w->conn = c;
  w->last = last;
  w->n = head_n + n;
  if (head_n)
    memcpy (w->bytes, head->str, head_n);
  if (n)
    memcpy (w->bytes + head_n, p, n);
  buf = uv_buf_init (w->bytes, (unsigned)w->n);
  if (c->closing
      || uv_write (&w->req, (uv_stream_t *)&c->tcp, &buf, 1, on_written))
    g_free (w);
}

static void parse_ahead (struct wy_h1_request *c);
static void start_reading (struct wy_h1_request *c);

/* The answer is queued: take the next request or close.  */
static void
end_exchange (struct wy_h1_request *c)
{
  c->on_hangup = NULL;
  drop_body (c);
  if (!c->keep_alive)
    {
      set_state (c, CONN_LINGER);
      return;
    }
  wy_h1_head_reset (&c->head);
  set_state (c, CONN_IDLE);
  http_parser_pause (&c->parser, 0);
  if (!c->parsing)
    parse_ahead (c);
  start_reading (c);
}

static GString *
answer_head (struct wy_h1_request *c, int status,
             const struct wy_h1_pair *fields, size_t n_fields)
{
  GString *out = g_string_sized_new (512);

  if (c->server->announce_close)
    c->keep_alive = false;
  g_string_append_printf (out, "HTTP/1.1 %d %s\r\n", status,
                          reason_of (status));
  wy_h1_write_fields (out, fields, n_fields);
  if (!c->keep_alive)
    g_string_append (out, "Connection: close\r\n");
  return out;
}

/* Answer R whole.  R is not valid afterwards.  */
void
wy_h1_respond (struct wy_h1_request *r, int status,
               const struct wy_h1_pair *fields, size_t n_fields,
               const void *body, size_t n)
{
  GString *out = answer_head (r, status, fields, n_fields);
  bool headless
      = status == 204 || status == 304 || r->parser.method == HTTP_HEAD;

  if (status != 204)
    g_string_append_printf (out, "Content-Length: %zu\r\n", n);
  g_string_append (out, "\r\n");
  send_bytes (r, out, body, headless ? 0 : n, !r->keep_alive);
  g_string_free (out, TRUE);
  end_exchange (r);
}

/* Begin an answer of unknown length.  */
void
wy_h1_begin (struct wy_h1_request *r, int status,
             const struct wy_h1_pair *fields, size_t n_fields)
{
  GString *out;

  r->chunked = r->parser.http_minor > 0;
  if (!r->chunked)
    r->keep_alive = false;
  out = answer_head (r, status, fields, n_fields);
  g_string_append (out,
                   r->chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
  send_bytes (r, out, NULL, 0, false);
  g_string_free (out, TRUE);
}

/* Send N more bytes of the answer begun.  */
void
wy_h1_write (struct wy_h1_request *r, const void *p, size_t n)
{
  GString *out;

  if (n == 0)
    return;
  out = g_string_sized_new (n + 16);
  if (r->chunked)
    g_string_append_printf (out, "%zx\r\n", n);
  g_string_append_len (out, p, (gssize)n);
  if (r->chunked)
    g_string_append (out, "\r\n");
  send_bytes (r, out, NULL, 0, false);
  g_string_free (out, TRUE);
}

/* Bytes of the answer that the caller has not taken yet.  */
size_t
wy_h1_unsent_bytes (const struct wy_h1_request *r)
{
  return uv_stream_get_write_queue_size ((const uv_stream_t *)&r->tcp);
}

/* End the answer begun as complete.  R is not valid afterwards.  */
void
wy_h1_finish (struct wy_h1_request *r)
{
  const char *end = r->chunked ? "0\r\n\r\n" : "";

  send_bytes (r, NULL, end, strlen (end), !r->keep_alive);
  end_exchange (r);
}

/* Break off the answer begun, so that it cannot be taken for whole.  R is not
   valid afterwards.  */
void
wy_h1_break (struct wy_h1_request *r)
{
  r->on_hangup = NULL;
  close_conn (r);
}

/* Answer a request that broke a limit and close, since the rest of it is not
   wanted.  */
static void
refuse (struct wy_h1_request *c, int status)
{
  static const struct wy_h1_pair later = { "Retry-After", "1" };

  c->keep_alive = false;
  if (c->state != CONN_BUSY)
    set_state (c, CONN_BUSY);
  {
    GString *out = answer_head (c, status, &later, status == 503 ? 1 : 0);

    g_string_append (out, "Content-Length: 0\r\n\r\n");
    send_bytes (c, out, NULL, 0, false);
    g_string_free (out, TRUE);
  }
  end_exchange (c);
}

static int
on_message_begin (http_parser *p)
{
  struct wy_h1_request *c = p->data;

  set_state (c, CONN_HEAD);
  return 0;
}

static int
check_head (struct wy_h1_request *c)
{
  if (wy_h1_head_size_bytes (&c->head) <= c->server->limits.header_bytes)
    return 0;
  c->refuse_status = 431;
  return 1;
}

static int
on_url (http_parser *p, const char *at, size_t n)
{
  struct wy_h1_request *c = p->data;

  wy_h1_head_url (&c->head, at, n);
  return check_head (c);
}

static int
on_field (http_parser *p, const char *at, size_t n)
{
  struct wy_h1_request *c = p->data;

  if (c->state != CONN_HEAD)
    return 0; /* trailers are dropped */
  wy_h1_head_name (&c->head, at, n);
  return check_head (c);
}

static int
on_value (http_parser *p, const char *at, size_t n)
{
  struct wy_h1_request *c = p->data;

  if (c->state != CONN_HEAD)
    return 0;
  wy_h1_head_value (&c->head, at, n);
  return check_head (c);
}

static int
on_headers_complete (http_parser *p)
{
  static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";
  struct wy_h1_request *c = p->data;
  const struct wy_h1_limits *l = &c->server->limits;
  bool has_length = p->content_length != UINT64_MAX;

  if (has_length && p->content_length > l->body_bytes)
    c->refuse_status = 413;
  /* One large upload after another must not end the process: what does not
     fit the memory set aside is refused before it is read.  */
  else if (has_length
           && p->content_length + c->server->held_bytes > l->held_bytes)
    c->refuse_status = 503;
  if (c->refuse_status)
    return -1;
  if (wy_h1_head_get (&c->head, "expect"))
    send_bytes (c, NULL, go_on, sizeof go_on - 1, false);
  set_state (c, CONN_BODY);
  return 0;
}

static int
on_body (http_parser *p, const char *at, size_t n)
{
  struct wy_h1_request *c = p->data;
  const struct wy_h1_limits *l = &c->server->limits;

  if (c->body->len + n > l->body_bytes)
    c->refuse_status = 413;
  else if (c->server->held_bytes + n > l->held_bytes)
    c->refuse_status = 503;
  if (c->refuse_status)
    return -1;
  g_string_append_len (c->body, at, (gssize)n);
  c->server->held_bytes += n;
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
        .on_header_field = on_field,
        .on_header_value = on_value,
        .on_headers_complete = on_headers_complete,
        .on_body = on_body,
        .on_message_complete = on_complete };

static void
fail_parse (struct wy_h1_request *c)
{
  int status = c->refuse_status ? c->refuse_status : 400;

  c->refuse_status = 0;
  g_byte_array_set_size (c->ahead, 0);
  refuse (c, status);
}

static void
hand_over (struct wy_h1_request *c)
{
  set_state (c, CONN_BUSY);
  c->received_ms = (int64_t)(uv_hrtime () / 1000000);
  c->chunked = false;
  c->server->on_request (c->server->ctx, c);
}

/* Parse what is read, up to the end of one request; the handler may answer
   within the call, and then the next one follows.  */
static void
parse_ahead (struct wy_h1_request *c)
{
  c->parsing = true;
  while (c->ahead->len && !c->closing && c->state != CONN_BUSY
         && c->state != CONN_LINGER)
    {
      size_t used = http_parser_execute (
          &c->parser, &callbacks, (const char *)c->ahead->data, c->ahead->len);
      enum http_errno err = HTTP_PARSER_ERRNO (&c->parser);

      if (err != HPE_OK && err != HPE_PAUSED)
        {
          fail_parse (c);
          break;
        }
      if (c->parser.upgrade)
        {
          fail_parse (c);
          break;
        }
      g_byte_array_remove_range (c->ahead, 0, (guint)used);
      if (err == HPE_PAUSED)
        hand_over (c);
    }
  c->parsing = false;
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
      hang_up (c);
      return;
    }
  if (c->state == CONN_LINGER)
    return;
  g_byte_array_append (c->ahead, (const guint8 *)buf->base, (guint)n);
  if (c->state != CONN_BUSY)
    parse_ahead (c);
  if (!c->closing && c->state == CONN_BUSY
      && c->ahead->len > AHEAD_LIMIT_BYTES)
    {
      c->reading = false;
      uv_read_stop (h);
    }
}

static void
start_reading (struct wy_h1_request *c)
{
  if (c->reading || c->closing)
    return;
  c->reading = true;
  uv_read_start ((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

static void
on_accept (uv_stream_t *listener, int status)
{
  struct wy_h1_server *s = listener->data;
  struct wy_h1_request *c;

  if (status < 0)
    return;
  c = g_malloc0 (sizeof *c);
  c->server = s;
  c->link.data = c;
  c->body = g_string_new (NULL);
  c->ahead = g_byte_array_new ();
  wy_h1_head_init (&c->head);
  http_parser_init (&c->parser, HTTP_REQUEST);
  c->parser.data = c;
  c->since_ms = uv_now (listener->loop);
  uv_tcp_init (listener->loop, &c->tcp);
  g_queue_push_tail_link (&s->connections, &c->link);
  if (uv_accept (listener, (uv_stream_t *)&c->tcp))
    {
      close_conn (c);
      return;
    }
  uv_tcp_nodelay (&c->tcp, 1);
  start_reading (c);
}

static void
check_conn (struct wy_h1_request *c, uint64_t now_ms)
{
  const struct wy_h1_limits *l = &c->server->limits;
  uint64_t age_ms = now_ms - c->since_ms;

  switch (c->state)
    {
    case CONN_IDLE:
      if (age_ms >= l->idle_timeout_ms)
        close_conn (c);
      break;
    case CONN_HEAD:
      if (age_ms >= l->header_timeout_ms)
        refuse (c, 408);
      break;
    case CONN_BODY:
      /* A body may be long: what counts is that it stands still.  */
      if (age_ms >= l->idle_timeout_ms)
        refuse (c, 408);
      break;
    case CONN_BUSY:
      break;
    case CONN_LINGER:
      if (age_ms >= LINGER_MS && wy_h1_unsent_bytes (c) == 0)
        close_conn (c);
      break;
    }
}

static void
on_sweep (uv_timer_t *t)
{
  struct wy_h1_server *s = t->data;
  uint64_t now_ms = uv_now (t->loop);
  GList *next;

  for (GList *l = s->connections.head; l; l = next)
    {
      next = l->next;
      check_conn (l->data, now_ms);
    }
}

static int
listen_on (struct wy_h1_server *s, const struct wy_h1_server_options *o)
{
  struct sockaddr_in a;
  int n = sizeof a;

  uv_tcp_init (o->loop, &s->listener);
  s->listener.data = s;
  if (uv_ip4_addr (o->host, o->port, &a)
      || uv_tcp_bind (&s->listener, (struct sockaddr *)&a, 0)
      || uv_listen ((uv_stream_t *)&s->listener, LISTEN_BACKLOG, on_accept)
      || uv_tcp_getsockname (&s->listener, (struct sockaddr *)&a, &n))
    return WY_H1_EBIND;
  s->port = ntohs (a.sin_port);
  s->listening = true;
  return 0;
}

/* Start a server as O says and store it in OUT.  Returns 0 or WY_H1_EBIND.  */
int
wy_h1_server_new (struct wy_h1_server **out,
                  const struct wy_h1_server_options *o)
{
  struct wy_h1_server *s = g_malloc0 (sizeof *s);
  int err = listen_on (s, o);

  if (err)
    {
      /* The handle closes on the loop, which may never run again.  */
      uv_close ((uv_handle_t *)&s->listener, NULL);
      return err;
    }
  s->limits = o->limits;
  s->on_request = o->on_request;
  s->ctx = o->ctx;
  g_queue_init (&s->connections);
  uv_timer_init (o->loop, &s->sweep);
  s->sweep.data = s;
  uv_timer_start (&s->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
  uv_unref ((uv_handle_t *)&s->sweep);
  *out = s;
  return 0;
}

/* Use LIMITS from now on, also for open connections.  */
void
wy_h1_server_set_limits (struct wy_h1_server *s,
                         const struct wy_h1_limits *limits)
{
  s->limits = *limits;
}

/* The port S listens on.  */
uint16_t
wy_h1_server_port (const struct wy_h1_server *s)
{
  return s->port;
}

/* Requests without an answer yet.  */
uint32_t
wy_h1_server_active (const struct wy_h1_server *s)
{
  return s->active;
}

/* Open connections.  */
uint32_t
wy_h1_server_connections (const struct wy_h1_server *s)
{
  return s->connections.length;
}

/* From now on each answer tells the caller to use another connection.  */
void
wy_h1_server_announce_close (struct wy_h1_server *s)
{
  s->announce_close = true;
}

/* Stop listening; open connections go on.  */
void
wy_h1_server_stop (struct wy_h1_server *s)
{
  if (!s->listening)
    return;
  s->listening = false;
  uv_close ((uv_handle_t *)&s->listener, NULL);
}

/* Close all of S.  Its memory stays for the callbacks of the loop, which the
   caller runs once more; a process has few servers and ends with them.  */
void
wy_h1_server_free (struct wy_h1_server *s)
{
  wy_h1_server_stop (s);
  while (s->connections.head)
    close_conn (s->connections.head->data);
  uv_close ((uv_handle_t *)&s->sweep, NULL);
}

/* Method of the request.  */
const char *
wy_h1_method (const struct wy_h1_request *r)
{
  return http_method_str ((enum http_method)r->parser.method);
}

/* Path and query as the caller sent them.  */
const char *
wy_h1_target (const struct wy_h1_request *r)
{
  return wy_h1_head_target (&r->head);
}

/* Head of the request.  */
const struct wy_h1_head *
wy_h1_head (const struct wy_h1_request *r)
{
  return &r->head;
}

/* Body of the request, N bytes.  */
const char *
wy_h1_body (const struct wy_h1_request *r, size_t *n)
{
  *n = r->body->len;
  return r->body->str;
}

/* Monotonic time in ms at which the request was read whole.  */
int64_t
wy_h1_received_ms (const struct wy_h1_request *r)
{
  return r->received_ms;
}

/* Call CB once if the caller hangs up before the answer is complete; R is not
   valid then.  */
void
wy_h1_on_hangup (struct wy_h1_request *r, void (*cb) (void *ctx), void *ctx)
{
  r->on_hangup = cb;
  r->hangup_ctx = ctx;
}
