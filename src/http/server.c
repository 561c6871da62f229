/* HTTP server of the daemons that do not run on the platform: exchanges on the
   HTTP/1.1 server of src/h1, which bounds what callers can make it hold.  */
#include "http/server.h"

#include <glib.h>

#include "http/error.h"
#include "http/exchange.h"

enum
{
  HEADER_BYTES = 65536,
  DEFAULT_REQUEST_TIMEOUT_MS = 10000,
  /* Idle connections are kept for this multiple of the time in which a request
     must arrive.  */
  IDLE_FACTOR = 4
};

struct wy_http_server
{
  struct wy_h1_server *h1;
  void (*on_request) (struct wy_http_exchange *ex, void *ctx);
  void *ctx;
};

static void
on_request (void *ctx, struct wy_h1_request *r)
{
  struct wy_http_server *s = ctx;

  s->on_request (wy_http_exchange_new (r), s->ctx);
}

static bool
may_reject (void *ctx, const struct wy_h1_request *r)
{
  return true;
}

/* Start a server with the options O and store it in OUT.  O->on_request is
   called for each request, once its body is complete.  Returns 0 or
   WY_HTTP_EBIND.  */
int
wy_http_server_new (struct wy_http_server **out,
                    const struct wy_http_server_options *o)
{
  struct wy_http_server *s = g_new0 (struct wy_http_server, 1);
  uint32_t timeout_ms = o->request_timeout_ms ? o->request_timeout_ms
                                              : DEFAULT_REQUEST_TIMEOUT_MS;
  struct wy_h1_server_options h
      = { .loop = o->loop,
          .host = o->host,
          .port = o->port,
          .name = o->name,
          .limits
          = { .header_bytes = HEADER_BYTES,
              .body_bytes = (uint32_t)o->body_limit_bytes,
              .header_timeout_ms = timeout_ms,
              .idle_timeout_ms = timeout_ms * IDLE_FACTOR,
              .buffered_bytes = o->bodies_limit_bytes ? o->bodies_limit_bytes
                                                      : UINT64_MAX / 2 },
          .clients = { .connections = o->connection_limit,
                       .body_timeout_ms = timeout_ms },
          .overload = o->overload,
          .memory = o->overload ? o->overload->o.memory : NULL,
          .may_reject = may_reject,
          .on_request = on_request,
          .ctx = s,
          .system_error = o->system_error };

  s->on_request = o->on_request;
  s->ctx = o->ctx;
  if (wy_h1_server_new (&s->h1, &h))
    {
      g_free (s);
      return WY_HTTP_EBIND;
    }
  *out = s;
  return 0;
}

/* The port S listens on.  */
uint16_t
wy_http_server_port (const struct wy_http_server *s)
{
  return wy_h1_server_port (s->h1);
}

/* Number of requests whose response has not been sent completely.  */
uint32_t
wy_http_server_active_requests (const struct wy_http_server *s)
{
  return wy_h1_server_active (s->h1) + wy_h1_server_unsent (s->h1);
}

/* Number of open connections.  */
uint32_t
wy_http_server_connections (const struct wy_http_server *s)
{
  return wy_h1_server_connections (s->h1);
}

/* Close the listening socket; requests in progress continue.  */
void
wy_http_server_stop_accepting (struct wy_http_server *s)
{
  wy_h1_server_announce_close (s->h1);
  wy_h1_server_stop (s->h1);
}

/* Close the listener and all connections, whose handlers are told, and free
   S.  */
void
wy_http_server_free (struct wy_http_server *s)
{
  wy_h1_server_hang_up (s->h1);
  wy_h1_server_free (s->h1);
  g_free (s);
}
