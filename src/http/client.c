/* HTTP/1.1 client of the daemons that do not run on the platform, and of
   wyctl: calls on the client of src/h1, each on a connection of its own.  */
#include "http/client.h"

#include <string.h>

#include <glib.h>

#include "h1/client.h"
#include "http/error.h"
#include "trace/log.h"

struct wy_http_client
{
  struct wy_h1_client *h1;
  uv_loop_t *loop;
  uint64_t *malformed; /* responses; NULL: not counted */
};

/* A lookup of a host that is not an IP number.  */
struct lookup
{
  uv_getaddrinfo_t req;
  struct wy_http_call_options o; /* copied */
  struct wy_http_call *call;     /* NULL: cancelled */
};

struct wy_http_call
{
  struct wy_http_client *client;
  struct wy_http_call_options o; /* its strings are not valid any more */
  struct wy_h1_call *h1;         /* NULL: not started, or ended */
  struct lookup *lookup;         /* NULL: none in progress */
  uv_timer_t timer;
  /* for wy_http_fetch */
  GString *response;
  int status;
  char *etag;
  void (*on_done) (void *ctx, const struct wy_http_response *r);
  void *done_ctx;
};

static void
on_malformed (void *ctx, const struct wy_h1_malformed *m)
{
  const struct wy_http_client *c = ctx;
  char ip[INET_ADDRSTRLEN];

  uv_ip4_name (m->peer, ip, sizeof ip);
  wy_log (WY_LOG_WARN, "response.malformed",
          "peer=%s:%u reason=%s after_head=%d received=%zu", ip,
          ntohs (m->peer->sin_port), wy_h1_fault_name (m->fault),
          m->after_head, m->received_bytes);
  if (c->malformed)
    ++*c->malformed;
}

/* Create a client on LOOP.  A call fails if nothing is received for
   IDLE_TIMEOUT_MS.  */
struct wy_http_client *
wy_http_client_new (uv_loop_t *loop, uint32_t idle_timeout_ms)
{
  struct wy_http_client *c = g_new0 (struct wy_http_client, 1);
  struct wy_h1_client_options o = { .loop = loop,
                                    .connect_timeout_ms = idle_timeout_ms,
                                    .silence_timeout_ms = idle_timeout_ms,
                                    .on_malformed = on_malformed,
                                    .ctx = c };

  c->loop = loop;
  c->h1 = wy_h1_client_new (&o);
  return c;
}

/* Count C's malformed responses in COUNT.  */
void
wy_http_client_count_malformed (struct wy_http_client *c, uint64_t *count)
{
  c->malformed = count;
}

/* Free C; no call may be in progress.  The loop must run once more.  */
void
wy_http_client_free (struct wy_http_client *c)
{
  wy_h1_client_free (c->h1);
  g_free (c);
}

static void
on_timer_closed (uv_handle_t *h)
{
  struct wy_http_call *call = h->data;

  if (call->response)
    g_string_free (call->response, TRUE);
  g_free (call->etag);
  g_free (call);
}

static void
close_call (struct wy_http_call *call)
{
  call->h1 = NULL;
  call->lookup = NULL;
  uv_close ((uv_handle_t *)&call->timer, on_timer_closed);
}

static void
finish (struct wy_http_call *call, int err)
{
  close_call (call);
  if (call->o.on_end)
    call->o.on_end (call->o.ctx, err);
}

static int
error_of (int h1_err)
{
  switch (h1_err)
    {
    case 0:
      return 0;
    case WY_H1_ECONNECT:
      return WY_HTTP_ECONNECT;
    case WY_H1_EMALFORMED:
      return WY_HTTP_EMALFORMED;
    default:
      return WY_HTTP_EINCOMPLETE;
    }
}

static void
on_h1_sending (void *ctx)
{
  struct wy_http_call *call = ctx;

  if (call->o.on_sending)
    call->o.on_sending (call->o.ctx);
}

/* Names are given in lower case.  */
static void
on_h1_head (void *ctx, const struct wy_h1_response *r)
{
  struct wy_http_call *call = ctx;
  size_t n = wy_h1_head_count (r->head);
  struct wy_http_header_field *pairs;

  if (!call->o.on_head)
    return;
  pairs = g_new (struct wy_http_header_field, n + 1);
  for (size_t i = 0; i < n; i++)
    {
      struct wy_h1_header h = wy_h1_head_at (r->head, i);

      pairs[i].name = g_ascii_strdown (h.name, -1);
      pairs[i].value = h.value;
    }
  call->o.on_head (call->o.ctx, r->status, pairs, n);
  for (size_t i = 0; i < n; i++)
    g_free ((char *)pairs[i].name);
  g_free (pairs);
}

static void
on_h1_data (void *ctx, const char *p, size_t n)
{
  struct wy_http_call *call = ctx;

  if (call->o.on_data)
    call->o.on_data (call->o.ctx, p, n);
}

static void
on_h1_end (void *ctx, int err)
{
  finish (ctx, error_of (err));
}

static void
stop (struct wy_http_call *call)
{
  if (call->lookup)
    call->lookup->call = NULL;
  if (call->h1)
    wy_h1_call_cancel (call->h1);
}

static void
on_timeout (uv_timer_t *t)
{
  struct wy_http_call *call = t->data;

  stop (call);
  finish (call, WY_HTTP_ETIMEOUT);
}

static void
start_h1 (struct wy_http_call *call, const struct wy_http_call_options *o,
          const struct sockaddr_in *address)
{
  struct wy_h1_header *fields = g_new (struct wy_h1_header, o->n_headers + 2);
  char *host = g_strdup_printf ("%s:%u", o->host, o->port);
  struct wy_h1_call_options k = { .address = *address,
                                  .method = o->method,
                                  .target = o->path,
                                  .fields = fields,
                                  .body = o->body,
                                  .body_size_bytes = o->body_size_bytes,
                                  .new_connection = true,
                                  .on_sending = on_h1_sending,
                                  .on_head = on_h1_head,
                                  .on_data = on_h1_data,
                                  .on_end = on_h1_end,
                                  .ctx = call };

  fields[k.n_fields++] = (struct wy_h1_header){ "host", host };
  for (size_t i = 0; i < o->n_headers; i++)
    fields[k.n_fields++]
        = (struct wy_h1_header){ o->headers[i].name, o->headers[i].value };
  fields[k.n_fields++] = (struct wy_h1_header){ "connection", "close" };
  call->h1 = wy_h1_call_start (call->client->h1, &k);
  g_free (fields);
  g_free (host);
}

/* Copy what O points to into COPY.  */
static void
copy_options (struct wy_http_call_options *copy,
              const struct wy_http_call_options *o)
{
  struct wy_http_header_field *headers
      = g_new (struct wy_http_header_field, o->n_headers + 1);

  *copy = *o;
  copy->method = g_strdup (o->method);
  copy->host = g_strdup (o->host);
  copy->path = g_strdup (o->path);
  for (size_t i = 0; i < o->n_headers; i++)
    {
      headers[i].name = g_strdup (o->headers[i].name);
      headers[i].value = g_strdup (o->headers[i].value);
    }
  copy->headers = headers;
  copy->body = g_memdup2 (o->body, o->body_size_bytes);
}

static void
free_options (struct wy_http_call_options *copy)
{
  for (size_t i = 0; i < copy->n_headers; i++)
    {
      g_free ((char *)copy->headers[i].name);
      g_free ((char *)copy->headers[i].value);
    }
  g_free ((void *)copy->headers);
  g_free ((char *)copy->method);
  g_free ((char *)copy->host);
  g_free ((char *)copy->path);
  g_free ((void *)copy->body);
}

static void
on_looked_up (uv_getaddrinfo_t *req, int status, struct addrinfo *found)
{
  struct lookup *l = req->data;
  struct wy_http_call *call = l->call;

  if (call)
    {
      call->lookup = NULL;
      if (status < 0)
        finish (call, WY_HTTP_ECONNECT);
      else
        {
          struct sockaddr_in a = *(struct sockaddr_in *)found->ai_addr;

          a.sin_port = htons (l->o.port);
          start_h1 (call, &l->o, &a);
        }
    }
  uv_freeaddrinfo (found);
  free_options (&l->o);
  g_free (l);
}

static void
on_not_started (uv_timer_t *t)
{
  finish (t->data, WY_HTTP_ECONNECT);
}

/* Look up the host of O and start CALL then.  */
static void
look_up (struct wy_http_call *call, const struct wy_http_call_options *o)
{
  static const struct addrinfo hints
      = { .ai_family = AF_INET, .ai_socktype = SOCK_STREAM };
  struct lookup *l = g_new0 (struct lookup, 1);

  copy_options (&l->o, o);
  l->call = call;
  l->req.data = l;
  if (uv_getaddrinfo (call->client->loop, &l->req, on_looked_up, l->o.host,
                      NULL, &hints))
    {
      free_options (&l->o);
      g_free (l);
      uv_timer_start (&call->timer, on_not_started, 0, 0);
      return;
    }
  call->lookup = l;
}

/* Start the call O; everything O points to is copied.  on_end gets 0,
   WY_HTTP_ECONNECT if nothing was sent, or WY_HTTP_EINCOMPLETE,
   WY_HTTP_EMALFORMED or WY_HTTP_ETIMEOUT if the target may have run the
   request.  No callback comes before this returns.  */
struct wy_http_call *
wy_http_call_start (struct wy_http_client *c,
                    const struct wy_http_call_options *o)
{
  struct wy_http_call *call = g_new0 (struct wy_http_call, 1);
  struct sockaddr_in address;

  call->client = c;
  call->o = *o;
  uv_timer_init (c->loop, &call->timer);
  call->timer.data = call;
  if (o->timeout_ms)
    uv_timer_start (&call->timer, on_timeout, o->timeout_ms, 0);
  if (uv_ip4_addr (o->host, o->port, &address))
    look_up (call, o);
  else
    start_h1 (call, o, &address);
  return call;
}

/* Cancel CALL: no further callback comes and the connection is closed.  CALL
   must not be used afterwards.  */
void
wy_http_call_cancel (struct wy_http_call *call)
{
  if (uv_is_closing ((uv_handle_t *)&call->timer))
    return;
  stop (call);
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
