/* One request and its response.

   An exchange is allocated in the memory pool of the h2o request and freed
   with it.  A handler that responds later sets an abort callback, which is the
   only notice that the caller has disconnected.  */
#include "http/exchange.h"

#include <string.h>

static char *
pool_dup (h2o_req_t *req, const char *p, size_t n)
{
  return h2o_strdup (&req->pool, p, n).base;
}

/* Call the abort callback of EX, at most once, since nobody waits for the
   response any more.  */
void
wy_http_exchange_abort (struct wy_http_exchange *ex)
{
  void (*cb) (struct wy_http_exchange *, void *) = ex->on_abort;

  ex->on_abort = NULL;
  if (cb && !ex->ended)
    cb (ex, ex->abort_ctx);
}

/* Called when h2o frees the request, whether or not it got a response.  */
static void
exchange_dispose (void *p)
{
  struct wy_http_exchange *ex = p;

  wy_http_exchange_abort (ex);
  wy_http_server_exchange_closed (ex->server, ex);
  g_string_free (ex->pending, TRUE);
}

static void
flush (struct wy_http_exchange *ex)
{
  h2o_iovec_t buf;
  size_t n = ex->pending->len;
  h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;

  if (ex->sending || (n == 0 && !ex->ended))
    return;
  if (ex->ended)
    state = ex->aborted ? H2O_SEND_STATE_ERROR : H2O_SEND_STATE_FINAL;
  buf.base = pool_dup (ex->req, ex->pending->str, n);
  buf.len = n;
  g_string_truncate (ex->pending, 0);
  ex->sending = true;
  h2o_send (ex->req, &buf, n ? 1 : 0, state);
}

static void
on_proceed (h2o_generator_t *self, h2o_req_t *req)
{
  struct wy_http_exchange *ex = (struct wy_http_exchange *)self;

  ex->sending = false;
  flush (ex);
}

static void
on_stop (h2o_generator_t *self, h2o_req_t *req)
{
  wy_http_exchange_abort ((struct wy_http_exchange *)self);
}

/* Create the exchange for REQ on S.  */
struct wy_http_exchange *
wy_http_exchange_new (struct wy_http_server *s, h2o_req_t *req)
{
  struct wy_http_exchange *ex;
  size_t path_n = req->input.path.len;

  ex = h2o_mem_alloc_shared (&req->pool, sizeof *ex, exchange_dispose);
  memset (ex, 0, sizeof *ex);
  ex->generator.proceed = on_proceed;
  ex->generator.stop = on_stop;
  ex->req = req;
  ex->server = s;
  ex->link.data = ex;
  ex->pending = g_string_new (NULL);
  ex->method = pool_dup (req, req->method.base, req->method.len);
  ex->query = pool_dup (req, "", 0);
  if (req->input.query_at < path_n)
    {
      path_n = req->input.query_at;
      ex->query = pool_dup (req, req->input.path.base + path_n + 1,
                            req->input.path.len - path_n - 1);
    }
  ex->path = pool_dup (req, req->input.path.base, path_n);
  wy_http_server_exchange_opened (s, ex);
  return ex;
}

/* File descriptor of the caller's connection; -1 if h2o does not expose
   it.  */
int
wy_http_exchange_fd (struct wy_http_exchange *ex)
{
  h2o_socket_t *sock = ex->req->conn->callbacks->get_socket (ex->req->conn);

  return sock ? h2o_socket_get_fd (sock) : -1;
}

/* Method of the request, such as "GET".  */
const char *
wy_http_method (const struct wy_http_exchange *ex)
{
  return ex->method;
}

/* Path of the request without the query, not decoded.  */
const char *
wy_http_path (const struct wy_http_exchange *ex)
{
  return ex->path;
}

/* Query of the request without the question mark; empty if there is none.  */
const char *
wy_http_query (const struct wy_http_exchange *ex)
{
  return ex->query;
}

/* Value of the request header NAME (in lower case), or NULL.  */
const char *
wy_http_header (struct wy_http_exchange *ex, const char *name)
{
  const h2o_header_t *h;
  ssize_t i
      = h2o_find_header_by_str (&ex->req->headers, name, strlen (name), -1);

  if (i < 0)
    return NULL;
  h = &ex->req->headers.entries[i];
  return pool_dup (ex->req, h->value.base, h->value.len);
}

/* Number of request headers.  */
size_t
wy_http_header_count (const struct wy_http_exchange *ex)
{
  return ex->req->headers.size;
}

/* Name and value of request header I.  */
void
wy_http_header_at (struct wy_http_exchange *ex, size_t i, const char **name,
                   const char **value)
{
  const h2o_header_t *h = &ex->req->headers.entries[i];

  *name = pool_dup (ex->req, h->name->base, h->name->len);
  *value = pool_dup (ex->req, h->value.base, h->value.len);
}

/* Body of the request; its size in bytes is stored in N.  */
const char *
wy_http_body (const struct wy_http_exchange *ex, size_t *n)
{
  *n = ex->req->entity.len;
  return ex->req->entity.base ? ex->req->entity.base : "";
}

/* Call CB if the caller disconnects before the response has ended.  EX must
   not be used after CB returns.  */
void
wy_http_on_abort (struct wy_http_exchange *ex,
                  void (*cb) (struct wy_http_exchange *ex, void *ctx),
                  void *ctx)
{
  ex->on_abort = cb;
  ex->abort_ctx = ctx;
}

/* Add a response header; only before the response is started.  */
void
wy_http_add_header (struct wy_http_exchange *ex, const char *name,
                    const char *value)
{
  h2o_req_t *req = ex->req;

  h2o_add_header_by_str (&req->pool, &req->res.headers,
                         pool_dup (req, name, strlen (name)), strlen (name), 1,
                         NULL, pool_dup (req, value, strlen (value)),
                         strlen (value));
}

static void
start_response (struct wy_http_exchange *ex, int status,
                const char *content_type)
{
  ex->started = true;
  ex->req->res.status = status;
  ex->req->res.reason = "";
  if (content_type)
    wy_http_add_header (ex, "content-type", content_type);
  h2o_start_response (ex->req, &ex->generator);
}

/* Send a complete response with the N bytes at BODY.  Does nothing if the
   response has been started.  EX must not be used afterwards.  */
void
wy_http_respond (struct wy_http_exchange *ex, int status,
                 const char *content_type, const void *body, size_t n)
{
  if (ex->started)
    return;
  ex->req->res.content_length = n;
  ex->ended = true;
  g_string_append_len (ex->pending, body, (gssize)n);
  start_response (ex, status, content_type);
  flush (ex);
}

/* Start a streamed response.  */
void
wy_http_stream_begin (struct wy_http_exchange *ex, int status,
                      const char *content_type)
{
  start_response (ex, status, content_type);
}

/* Append the N bytes at P to a streamed response.  */
void
wy_http_stream_write (struct wy_http_exchange *ex, const void *p, size_t n)
{
  g_string_append_len (ex->pending, p, (gssize)n);
  flush (ex);
}

/* Bytes of a streamed response that are not yet passed to h2o, which takes
   more as the caller reads.  */
size_t
wy_http_stream_pending_bytes (const struct wy_http_exchange *ex)
{
  return ex->pending->len;
}

/* End a streamed response.  EX must not be used afterwards.  */
void
wy_http_stream_end (struct wy_http_exchange *ex)
{
  ex->ended = true;
  flush (ex);
}

/* End a streamed response in such a way that the caller sees that it is
   incomplete.  EX must not be used afterwards.  */
void
wy_http_stream_abort (struct wy_http_exchange *ex)
{
  ex->aborted = true;
  ex->ended = true;
  flush (ex);
}

/* Close the connection of EX without completing the response; the caller
   can't tell whether the request was run.  EX must not be used
   afterwards.  */
void
wy_http_close_connection (struct wy_http_exchange *ex)
{
  h2o_socket_t *sock = ex->req->conn->callbacks->get_socket (ex->req->conn);

  ex->on_abort = NULL;
  if (sock)
    shutdown (h2o_socket_get_fd (sock), SHUT_RDWR);
  if (ex->started)
    wy_http_stream_abort (ex);
  else
    wy_http_respond (ex, 503, NULL, "", 0);
}
