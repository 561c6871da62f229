/* HTTP/1.1 client on h2o and libuv: one connection per call.  */
#include "http/client.h"

#include <stdbool.h>
#include <string.h>

#include <glib.h>
#include <h2o.h>
#include <h2o/http1client.h>

#include "http/error.h"

struct wy_http_client
{
  h2o_http1client_ctx_t h2o;
  h2o_timeout_t idle_timeout;
  uv_loop_t *loop;
};

struct wy_http_call
{
  struct wy_http_call_options o; /* its strings are not valid any more */
  h2o_http1client_t *h2o;
  GString *head;
  GString *body;
  h2o_iovec_t bufs[2];
  uv_timer_t timer;
  bool chunked;
  bool in_callback;
  bool starting;    /* within wy_http_call_start */
  bool not_started; /* h2o could not open a connection */
  bool cancelled;
  bool ended;
  /* for wy_http_fetch */
  GString *response;
  int status;
  char *etag;
  void (*on_done) (void *ctx, const struct wy_http_response *r);
  void *done_ctx;
};

/* Create a client on LOOP.  A call fails if nothing is received for
   IDLE_TIMEOUT_MS.  */
struct wy_http_client *
wy_http_client_new (uv_loop_t *loop, uint32_t idle_timeout_ms)
{
  struct wy_http_client *c = g_malloc0 (sizeof *c);

  c->loop = loop;
  h2o_timeout_init (loop, &c->idle_timeout, idle_timeout_ms);
  c->h2o.loop = loop;
  c->h2o.io_timeout = &c->idle_timeout;
  return c;
}

/* Free C; no call may be in progress.  */
void
wy_http_client_free (struct wy_http_client *c)
{
  h2o_timeout_dispose (c->loop, &c->idle_timeout);
  g_free (c);
}

static void
on_timer_closed (uv_handle_t *h)
{
  struct wy_http_call *call = h->data;

  g_string_free (call->head, TRUE);
  g_string_free (call->body, TRUE);
  if (call->response)
    g_string_free (call->response, TRUE);
  g_free (call->etag);
  g_free (call);
}

static void
close_call (struct wy_http_call *call)
{
  call->ended = true;
  uv_close ((uv_handle_t *)&call->timer, on_timer_closed);
}

static void
finish (struct wy_http_call *call, int err)
{
  if (call->ended)
    return;
  if (!call->cancelled && call->o.on_end)
    {
      call->in_callback = true;
      call->o.on_end (call->o.ctx, err);
    }
  close_call (call);
}

/* Whether the body is complete when h2o reports ERRSTR.  If the connection
   closes between two chunks, before the empty one that ends a body, h2o
   reports the same as for a complete body, as browsers do; the response of a
   target that crashed would pass for a complete one.  The two cases differ in
   that the last chunk comes with bytes read and a closed connection does
   not.  */
static bool
is_complete (const struct wy_http_call *call, const char *errstr)
{
  if (errstr != h2o_http1client_error_is_eos)
    return false;
  return !call->chunked || call->h2o->sock->bytes_read > 0;
}

static int
on_body (h2o_http1client_t *h2o, const char *errstr)
{
  struct wy_http_call *call = h2o->data;
  h2o_buffer_t *in = h2o->sock->input;

  if (in->size && call->o.on_data && !call->cancelled)
    {
      call->in_callback = true;
      call->o.on_data (call->o.ctx, in->bytes, in->size);
      call->in_callback = false;
    }
  h2o_buffer_consume (&h2o->sock->input, h2o->sock->input->size);
  if (call->cancelled)
    {
      close_call (call);
      return -1;
    }
  if (errstr)
    {
      finish (call, is_complete (call, errstr) ? 0 : WY_HTTP_EINCOMPLETE);
      return -1;
    }
  return 0;
}

static void
deliver_head (struct wy_http_call *call, int status, h2o_header_t *headers,
              size_t n)
{
  struct wy_http_header_field *pairs
      = g_new (struct wy_http_header_field, n + 1);

  for (size_t i = 0; i < n; i++)
    {
      pairs[i].name = g_strndup (headers[i].name->base, headers[i].name->len);
      pairs[i].value = g_strndup (headers[i].value.base, headers[i].value.len);
    }
  call->in_callback = true;
  call->o.on_head (call->o.ctx, status, pairs, n);
  call->in_callback = false;
  for (size_t i = 0; i < n; i++)
    {
      g_free ((char *)pairs[i].name);
      g_free ((char *)pairs[i].value);
    }
  g_free (pairs);
}

static h2o_http1client_body_cb
on_head (h2o_http1client_t *h2o, const char *errstr, int minor_version,
         int status, h2o_iovec_t msg, h2o_header_t *headers,
         size_t num_headers, int rlen)
{
  struct wy_http_call *call = h2o->data;

  if (errstr && errstr != h2o_http1client_error_is_eos)
    {
      finish (call, WY_HTTP_EINCOMPLETE);
      return NULL;
    }
  for (size_t i = 0; i < num_headers; i++)
    if (headers[i].name == &H2O_TOKEN_TRANSFER_ENCODING->buf)
      call->chunked = true;
  if (call->o.on_head)
    deliver_head (call, status, headers, num_headers);
  if (call->cancelled)
    {
      close_call (call);
      return NULL;
    }
  if (errstr)
    {
      finish (call, 0);
      return NULL;
    }
  return on_body;
}

static h2o_http1client_head_cb
on_connect (h2o_http1client_t *h2o, const char *errstr, h2o_iovec_t **reqbufs,
            size_t *reqbufcnt, int *method_is_head)
{
  struct wy_http_call *call = h2o->data;

  if (errstr)
    {
      call->not_started = call->starting;
      if (!call->starting)
        finish (call, WY_HTTP_ECONNECT);
      return NULL;
    }
  if (call->o.on_sending)
    call->o.on_sending (call->o.ctx);
  call->bufs[0] = h2o_iovec_init (call->head->str, call->head->len);
  call->bufs[1] = h2o_iovec_init (call->body->str, call->body->len);
  *reqbufs = call->bufs;
  *reqbufcnt = call->body->len ? 2 : 1;
  *method_is_head = 0;
  return on_head;
}

static void
on_timeout (uv_timer_t *t)
{
  struct wy_http_call *call = t->data;

  h2o_http1client_cancel (call->h2o);
  finish (call, WY_HTTP_ETIMEOUT);
}

static void
on_not_started (uv_timer_t *t)
{
  finish (t->data, WY_HTTP_ECONNECT);
}

static void
write_head (GString *s, const struct wy_http_call_options *o)
{
  g_string_printf (s, "%s %s HTTP/1.1\r\nhost: %s:%u\r\n", o->method, o->path,
                   o->host, o->port);
  for (size_t i = 0; i < o->n_headers; i++)
    g_string_append_printf (s, "%s: %s\r\n", o->headers[i].name,
                            o->headers[i].value);
  if (o->body_size_bytes)
    g_string_append_printf (s, "content-length: %zu\r\n", o->body_size_bytes);
  g_string_append (s, "connection: close\r\n\r\n");
}

/* Start the call O; everything O points to is copied.  on_end gets 0,
   WY_HTTP_ECONNECT if nothing was sent, or WY_HTTP_EINCOMPLETE or
   WY_HTTP_ETIMEOUT if the target may have run the request.  No callback comes
   before this returns.  */
struct wy_http_call *
wy_http_call_start (struct wy_http_client *c,
                    const struct wy_http_call_options *o)
{
  struct wy_http_call *call = g_malloc0 (sizeof *call);
  h2o_iovec_t host = h2o_iovec_init (o->host, strlen (o->host));

  call->o = *o;
  call->head = g_string_new (NULL);
  call->body = g_string_new_len (o->body_size_bytes ? o->body : "",
                                 (gssize)o->body_size_bytes);
  write_head (call->head, o);
  uv_timer_init (c->loop, &call->timer);
  call->timer.data = call;
  if (o->timeout_ms)
    uv_timer_start (&call->timer, on_timeout, o->timeout_ms, 0);
  call->starting = true;
  h2o_http1client_connect (&call->h2o, call, &c->h2o, host, o->port, 0,
                           on_connect);
  call->starting = false;
  /* Without descriptors h2o fails at once; the callback comes later all the
     same.  */
  if (call->not_started)
    uv_timer_start (&call->timer, on_not_started, 0, 0);
  return call;
}

/* Cancel CALL: no further callback comes and the connection is closed.  CALL
   must not be used afterwards.  */
void
wy_http_call_cancel (struct wy_http_call *call)
{
  if (call->ended || call->cancelled)
    return;
  call->cancelled = true;
  if (call->in_callback)
    return;
  if (!call->not_started)
    h2o_http1client_cancel (call->h2o);
  close_call (call);
}

static void
fetch_head (void *ctx, int status, const struct wy_http_header_field *headers,
            size_t n)
{
  struct wy_http_call *call = ctx;

  call->status = status;
  for (size_t i = 0; i < n && !call->etag; i++)
    if (!g_ascii_strcasecmp (headers[i].name, "etag"))
      call->etag = g_strdup (headers[i].value);
}

static void
fetch_data (void *ctx, const char *p, size_t n)
{
  g_string_append_len (((struct wy_http_call *)ctx)->response, p, (gssize)n);
}

static void
fetch_end (void *ctx, int err)
{
  struct wy_http_call *call = ctx;
  struct wy_http_response r = { err, call->status, call->response->str,
                                call->response->len, call->etag };

  call->on_done (call->done_ctx, &r);
}

/* Like wy_http_call_start, but collects the response: ON_DONE is called once,
   unless the call is cancelled; the callbacks in O are not used.  */
struct wy_http_call *
wy_http_fetch (struct wy_http_client *c, const struct wy_http_call_options *o,
               void (*on_done) (void *ctx, const struct wy_http_response *r),
               void *ctx)
{
  struct wy_http_call_options options = *o;
  struct wy_http_call *call;

  options.on_sending = NULL;
  options.on_head = fetch_head;
  options.on_data = fetch_data;
  options.on_end = fetch_end;
  call = wy_http_call_start (c, &options);
  call->o.ctx = call;
  call->response = g_string_new (NULL);
  call->on_done = on_done;
  call->done_ctx = ctx;
  return call;
}
