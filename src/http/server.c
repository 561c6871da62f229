/* HTTP server on h2o and libuv: listening, connections, timeouts.  */
#include "http/server.h"

#include <string.h>
#include <sys/socket.h>

#include <glib.h>
#include <h2o.h>
#include <h2o/http1.h>

#include "base/tcp_listen.h"
#include "http/error.h"
#include "http/exchange.h"
#include "http/tcp_info.h"

enum
{
  LISTEN_BACKLOG = 512,
  H2O_DEFAULT_PORT = 65535,
  /* Interval of checks for disconnected callers.  h2o does not read from a
     connection while its request is in progress, so it notices a disconnect
     only at the first write, which comes late for a response that is not
     streamed.  */
  CALLER_CHECK_MS = 500,
  /* When a request takes too long to arrive, h2o closes the connection
     without a response.  Its timeout is set to this multiple of ours, so that
     the caller gets a 408 first.  */
  H2O_TIMEOUT_FACTOR = 4
};

static const char request_timeout_response[]
    = "HTTP/1.1 408 Request Timeout\r\nconnection: close\r\n"
      "content-length: 0\r\n\r\n";

struct wy_http_server
{
  h2o_globalconf_t conf;
  h2o_context_t h2o;
  h2o_accept_ctx_t accept;
  uv_tcp_t listener;
  uv_timer_t caller_check;
  bool accepting;
  uint16_t port;
  uint32_t connection_limit;
  uint32_t request_timeout_ms;
  GHashTable *connections; /* file descriptor -> struct connection */
  GQueue active;           /* struct wy_http_exchange */
  void (*on_request) (struct wy_http_exchange *ex, void *ctx);
  void *ctx;
};

struct handler
{
  h2o_handler_t base; /* must stay first */
  struct wy_http_server *server;
};

struct connection
{
  uv_tcp_t tcp; /* must stay first */
  struct wy_http_server *server;
  int fd;
  uint32_t exchanges;     /* open ones */
  uint64_t idle_since_ms; /* loop time of accept or of the last response */
  uint64_t idle_bytes;    /* received on the connection until then */
  bool timed_out;
};

static struct connection *
connection_of (struct wy_http_server *s, struct wy_http_exchange *ex)
{
  return g_hash_table_lookup (s->connections,
                              GINT_TO_POINTER (wy_http_exchange_fd (ex)));
}

static void
mark_idle (struct connection *c)
{
  c->idle_since_ms = uv_now (c->tcp.loop);
  c->idle_bytes = wy_tcp_received_bytes (c->fd);
}

/* Count EX as open; called when it is created.  */
void
wy_http_server_exchange_opened (struct wy_http_server *s,
                                struct wy_http_exchange *ex)
{
  struct connection *c = connection_of (s, ex);

  g_queue_push_tail_link (&s->active, &ex->link);
  if (c)
    c->exchanges++;
}

/* Count EX as closed; called when it is freed.  */
void
wy_http_server_exchange_closed (struct wy_http_server *s,
                                struct wy_http_exchange *ex)
{
  struct connection *c = connection_of (s, ex);

  g_queue_unlink (&s->active, &ex->link);
  if (!c || c->exchanges == 0)
    return;
  c->exchanges--;
  mark_idle (c);
}

static int
on_req (h2o_handler_t *self, h2o_req_t *req)
{
  struct wy_http_server *s = ((struct handler *)self)->server;

  s->on_request (wy_http_exchange_new (s, req), s->ctx);
  return 0;
}

/* Abort the exchanges whose callers have disconnected; h2o notices it only at
   the next write, and a stream may pause for long.  A callback may end other
   exchanges, so the iteration restarts after each; an aborted exchange has no
   callback any more and is skipped.  */
static void
abort_disconnected (struct wy_http_server *s)
{
  GList *l = s->active.head;

  while (l)
    {
      struct wy_http_exchange *ex = l->data;

      l = l->next;
      if (!ex->on_abort || ex->ended
          || !wy_tcp_peer_closed (wy_http_exchange_fd (ex)))
        continue;
      wy_http_exchange_abort (ex);
      if (ex->started)
        wy_http_stream_abort (ex);
      else
        wy_http_respond (ex, 503, "text/plain", "", 0);
      l = s->active.head;
    }
}

/* Send 408 to a caller that began a request and does not complete it, and
   close the connection, which counts against the connection limit.  Shutting
   down the read side makes h2o see the end of the stream and close.  */
static void
time_out (struct connection *c)
{
  uv_buf_t buf = uv_buf_init ((char *)request_timeout_response,
                              sizeof request_timeout_response - 1);

  c->timed_out = true;
  uv_try_write ((uv_stream_t *)&c->tcp, &buf, 1);
  shutdown (c->fd, SHUT_RD);
}

static void
on_caller_check (uv_timer_t *t)
{
  struct wy_http_server *s = t->data;
  uint64_t now_ms = uv_now (t->loop);
  GHashTableIter it;
  gpointer value;

  abort_disconnected (s);
  if (!s->request_timeout_ms)
    return;
  g_hash_table_iter_init (&it, s->connections);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct connection *c = value;

      if (!c->timed_out && c->exchanges == 0
          && now_ms - c->idle_since_ms >= s->request_timeout_ms
          && wy_tcp_received_bytes (c->fd) > c->idle_bytes)
        time_out (c);
    }
}

static void
on_connection_closed (uv_handle_t *h)
{
  struct connection *c = (struct connection *)h;
  gpointer key = GINT_TO_POINTER (c->fd);

  /* The file descriptor may already be reused by a newer connection.  */
  if (g_hash_table_lookup (c->server->connections, key) == c)
    g_hash_table_remove (c->server->connections, key);
  g_free (c);
}

static void
on_rejected_closed (uv_handle_t *h)
{
  g_free (h);
}

static void
on_accept (uv_stream_t *listener, int status)
{
  struct wy_http_server *s = listener->data;
  struct connection *c;

  if (status)
    return;
  c = g_malloc0 (sizeof *c);
  c->server = s;
  uv_tcp_init (listener->loop, &c->tcp);
  if (uv_accept (listener, (uv_stream_t *)&c->tcp)
      || uv_fileno ((uv_handle_t *)&c->tcp, &c->fd)
      || (s->connection_limit
          && g_hash_table_size (s->connections) >= s->connection_limit))
    {
      uv_close ((uv_handle_t *)&c->tcp, on_rejected_closed);
      return;
    }
  uv_tcp_nodelay (&c->tcp, 1);
  c->idle_since_ms = uv_now (listener->loop);
  g_hash_table_replace (s->connections, GINT_TO_POINTER (c->fd), c);
  h2o_accept (&s->accept, h2o_uv_socket_create ((uv_stream_t *)&c->tcp,
                                                on_connection_closed));
}

static int
listen_on (struct wy_http_server *s, const struct wy_http_server_options *o)
{
  struct wy_tcp_listen_options l = { .loop = o->loop,
                                     .host = o->host,
                                     .port = o->port,
                                     .backlog = LISTEN_BACKLOG,
                                     .on_connection = on_accept,
                                     .data = s };
  int err = wy_tcp_listen (&s->listener, &l, &s->port);

  if (o->system_error)
    *o->system_error = err;
  s->accepting = err == 0;
  return err ? WY_HTTP_EBIND : 0;
}

static void
configure_h2o (struct wy_http_server *s,
               const struct wy_http_server_options *o)
{
  h2o_hostconf_t *host;
  struct handler *h;

  h2o_config_init (&s->conf);
  s->conf.max_request_entity_size = o->body_limit_bytes;
  if (o->request_timeout_ms)
    s->conf.http1.req_timeout
        = (uint64_t)o->request_timeout_ms * H2O_TIMEOUT_FACTOR;
  host = h2o_config_register_host (
      &s->conf, h2o_iovec_init (H2O_STRLIT ("default")), H2O_DEFAULT_PORT);
  h = (struct handler *)h2o_create_handler (
      h2o_config_register_path (host, "/", 0), sizeof *h);
  h->base.on_req = on_req;
  h->server = s;
  h2o_context_init (&s->h2o, o->loop, &s->conf);
  s->accept.ctx = &s->h2o;
  s->accept.hosts = s->conf.hosts;
}

/* Start a server with the options O and store it in OUT.  O->on_request is
   called for each request, once its body is complete.  Returns 0 or
   WY_HTTP_EBIND.  */
int
wy_http_server_new (struct wy_http_server **out,
                    const struct wy_http_server_options *o)
{
  struct wy_http_server *s = g_malloc0 (sizeof *s);
  int err = listen_on (s, o);

  if (err)
    {
      uv_close ((uv_handle_t *)&s->listener, NULL);
      return err;
    }
  s->connections = g_hash_table_new (g_direct_hash, g_direct_equal);
  s->connection_limit = o->connection_limit;
  s->request_timeout_ms = o->request_timeout_ms;
  s->on_request = o->on_request;
  s->ctx = o->ctx;
  g_queue_init (&s->active);
  configure_h2o (s, o);
  uv_timer_init (o->loop, &s->caller_check);
  s->caller_check.data = s;
  uv_timer_start (&s->caller_check, on_caller_check, CALLER_CHECK_MS,
                  CALLER_CHECK_MS);
  uv_unref ((uv_handle_t *)&s->caller_check);
  *out = s;
  return 0;
}

/* The port S listens on.  */
uint16_t
wy_http_server_port (const struct wy_http_server *s)
{
  return s->port;
}

/* Number of requests whose response h2o has not sent completely.  */
uint32_t
wy_http_server_active_requests (const struct wy_http_server *s)
{
  return s->active.length;
}

/* Number of open connections.  */
uint32_t
wy_http_server_connections (const struct wy_http_server *s)
{
  return g_hash_table_size (s->connections);
}

/* Close the listening socket; requests in progress continue.  */
void
wy_http_server_stop_accepting (struct wy_http_server *s)
{
  if (!s->accepting)
    return;
  s->accepting = false;
  uv_close ((uv_handle_t *)&s->listener, NULL);
  h2o_context_request_shutdown (&s->h2o);
}

/* Stop listening.  The memory of S is not freed, since open connections refer
   to it; a process has few servers, which live as long as it does.  */
void
wy_http_server_free (struct wy_http_server *s)
{
  wy_http_server_stop_accepting (s);
  uv_timer_stop (&s->caller_check);
}
