/* HTTP/1.1 server: responses, and the handler's view of its request.  */
#include "h1/server_state.h"

#include <linux/sockios.h>
#include <string.h>
#include <sys/ioctl.h>

enum
{
  STATUS_UNAVAILABLE = 503,
  RETRY_AFTER_MS = 1000,
  RETRY_AFTER_SIZE_BYTES = 16,
  MS_PER_S = 1000
};

/* A pending write and its bytes.  */
struct write
{
  uv_write_t req; /* must stay first */
  struct wy_h1_request *conn;
  bool last; /* close the connection after it */
  size_t n;
  char bytes[];
};

static const char *
reason_of (int status)
{
  return http_status_str ((enum http_status)status);
}

/* Add a write of N bytes, or with SIGN -1 subtract it.  Its header counts too:
   it is longer than a short event.  */
static void
count_write (struct wy_h1_request *c, size_t n, int sign)
{
  int64_t delta_bytes = (int64_t)(sizeof (struct write) + n) * sign;

  c->held_bytes += (size_t)delta_bytes;
  wy_memory_account_add (c->server->memory, WY_MEMORY_TO_CALLERS, delta_bytes);
}

static void
on_written (uv_write_t *req, int status)
{
  struct write *w = (struct write *)req;
  struct wy_h1_request *c = w->conn;
  bool last = w->last;

  count_write (c, w->n, -1);
  g_free (w);
  if (wy_h1_unsent_bytes (c) == 0)
    {
      c->unread_since_ms = 0;
      /* A connection is idle from the moment that its response is sent.  */
      if (c->state == CONN_IDLE)
        wy_h1_conn_set_state (c, CONN_IDLE);
    }
  if (status < 0 && !c->closing)
    wy_h1_conn_hang_up (c);
  else if (last)
    wy_h1_conn_close (c);
  else if (!c->closing)
    wy_h1_conn_continue (c);
}

/* Send HEAD, which may be NULL, and the N bytes at P; close the connection
   after that if LAST.  */
void
wy_h1_conn_send (struct wy_h1_request *c, GString *head, const void *p,
                 size_t n, bool last)
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
    {
      g_free (w);
      return;
    }
  c->queued_bytes += w->n;
  if (!c->unread_since_ms && wy_h1_unsent_bytes (c))
    c->unread_since_ms = uv_now (c->tcp.loop);
  count_write (c, w->n, 1);
}

static GString *
response_head (struct wy_h1_request *c, int status,
               const struct wy_h1_header *fields, size_t n_fields)
{
  GString *out = g_string_sized_new (512);

  if (c->server->announce_close || wy_h1_accept_takes_place (c->server))
    c->keep_alive = false;
  g_string_append_printf (out, "HTTP/1.1 %d %s\r\n", status,
                          reason_of (status));
  wy_h1_write_fields (out, fields, n_fields);
  if (!c->keep_alive)
    g_string_append (out, "Connection: close\r\n");
  return out;
}

/* Send a complete response.  R is not valid afterwards.  */
void
wy_h1_respond (struct wy_h1_request *r, int status,
               const struct wy_h1_header *fields, size_t n_fields,
               const void *body, size_t n)
{
  GString *out = response_head (r, status, fields, n_fields);
  bool no_body
      = status == 204 || status == 304 || r->parser.method == HTTP_HEAD;

  if (status != 204)
    g_string_append_printf (out, "Content-Length: %zu\r\n", n);
  g_string_append (out, "\r\n");
  wy_h1_conn_send (r, out, body, no_body ? 0 : n, !r->keep_alive);
  g_string_free (out, TRUE);
  wy_h1_conn_finish_exchange (r);
}

/* Begin a response of unknown length.  */
void
wy_h1_begin_response (struct wy_h1_request *r, int status,
                      const struct wy_h1_header *fields, size_t n_fields)
{
  GString *out;

  r->chunked = r->parser.http_minor > 0;
  if (!r->chunked)
    r->keep_alive = false;
  out = response_head (r, status, fields, n_fields);
  g_string_append (out,
                   r->chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
  wy_h1_conn_send (r, out, NULL, 0, false);
  g_string_free (out, TRUE);
}

/* Send N more bytes of the response body.  */
void
wy_h1_write_response (struct wy_h1_request *r, const void *p, size_t n)
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
  wy_h1_conn_send (r, out, NULL, 0, false);
  g_string_free (out, TRUE);
}

/* Bytes of the response that are queued in this process.  */
size_t
wy_h1_unsent_bytes (const struct wy_h1_request *r)
{
  return uv_stream_get_write_queue_size ((const uv_stream_t *)&r->tcp);
}

/* Bytes sent on TCP that its peer has not acknowledged: those queued here and
   those in the kernel, which may hold megabytes and accept more only long
   after the peer has taken some.  */
size_t
wy_h1_untaken_bytes (const uv_tcp_t *tcp)
{
  size_t queued_bytes
      = uv_stream_get_write_queue_size ((const uv_stream_t *)tcp);
  int kernel_bytes = 0;
  uv_os_fd_t fd;

  if (uv_fileno ((const uv_handle_t *)tcp, &fd)
      || ioctl (fd, SIOCOUTQ, &kernel_bytes))
    return queued_bytes;
  return queued_bytes + (size_t)kernel_bytes;
}

/* Memory that the queued bytes of responses occupy.  */
size_t
wy_h1_held_bytes (const struct wy_h1_request *r)
{
  return r->held_bytes;
}

/* End the response as complete.  R is not valid afterwards.  */
void
wy_h1_end_response (struct wy_h1_request *r)
{
  const char *end = r->chunked ? "0\r\n\r\n" : "";

  if (r->server->announce_close)
    r->keep_alive = false;
  wy_h1_conn_send (r, NULL, end, strlen (end), !r->keep_alive);
  wy_h1_conn_finish_exchange (r);
}

/* Close the connection when what has been written of the response is sent, but
   without its end, so that the caller detects that it is incomplete.  R is not
   valid afterwards.  */
void
wy_h1_break_off (struct wy_h1_request *r)
{
  r->keep_alive = false;
  wy_h1_conn_send (r, NULL, NULL, 0, true);
  wy_h1_conn_finish_exchange (r);
}

/* Close the connection without the end of the response, so that the caller
   detects that it is incomplete.  R is not valid afterwards.  */
void
wy_h1_abort (struct wy_h1_request *r)
{
  r->on_hangup = NULL;
  wy_h1_conn_close (r);
}

/* Respond with STATUS to a malformed request or one over a limit, and close,
   since the rest of it is not read.  */
void
wy_h1_conn_reject (struct wy_h1_request *c, int status)
{
  char after[RETRY_AFTER_SIZE_BYTES];
  struct wy_h1_header retry_after = { "Retry-After", after };
  uint32_t after_ms = RETRY_AFTER_MS;

  if (status == STATUS_UNAVAILABLE && c->server->on_no_memory)
    after_ms = c->server->on_no_memory (c->server->ctx, c);
  g_snprintf (after, sizeof after, "%u.%03u", after_ms / MS_PER_S,
              after_ms % MS_PER_S);
  c->keep_alive = false;
  if (c->state != CONN_BUSY)
    wy_h1_conn_set_state (c, CONN_BUSY);
  {
    GString *out = response_head (c, status, &retry_after,
                                  status == STATUS_UNAVAILABLE ? 1 : 0);

    g_string_append (out, "Content-Length: 0\r\n\r\n");
    wy_h1_conn_send (c, out, NULL, 0, false);
    g_string_free (out, TRUE);
  }
  wy_h1_conn_finish_exchange (c);
}

/* Method of the request.  */
const char *
wy_h1_method (const struct wy_h1_request *r)
{
  return http_method_str ((enum http_method)r->parser.method);
}

/* Path and query as sent by the caller.  */
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

/* Monotonic time in ms at which the request was complete.  */
int64_t
wy_h1_received_ms (const struct wy_h1_request *r)
{
  return r->received_ms;
}

/* Call CB once if the caller hangs up before the response is complete; R is
   not valid then.  */
void
wy_h1_on_hangup (struct wy_h1_request *r, void (*cb) (void *ctx), void *ctx)
{
  r->on_hangup = cb;
  r->hangup_ctx = ctx;
}
