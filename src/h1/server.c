/* HTTP/1.1 server: listener, and timeouts of connections.  */
#include "base/tcp_listen.h"
#include "h1/server_state.h"

enum
{
  LISTEN_BACKLOG = 1024,
  /* How long a rejected upload is read and discarded before the connection
     closes: a close with unread bytes resets the connection, and the caller
     would not see the response.  */
  LINGER_MS = 1000,
  DEFAULT_UNREAD_BYTES = 65536,
  DEFAULT_REQUESTS_PER_TURN = 16,
  DEFAULT_READER_TIMEOUT_MS = 60000
};

static void
check_timeouts (struct wy_h1_request *c, uint64_t now_ms)
{
  const struct wy_h1_limits *l = &c->server->limits;
  uint64_t age_ms = now_ms - c->state_since_ms;

  switch (c->state)
    {
    case CONN_IDLE:
      if (age_ms >= l->idle_timeout_ms && wy_h1_unsent_bytes (c) == 0)
        wy_h1_conn_close (c);
      break;
    case CONN_HEAD:
      if (age_ms >= l->header_timeout_ms)
        wy_h1_conn_reject (c, 408);
      break;
    case CONN_BODY:
      /* A body may be large, so it has the idle timeout unless it has its own,
         counted from the end of the head.  */
      if (age_ms >= (c->server->clients.body_timeout_ms
                         ? c->server->clients.body_timeout_ms
                         : l->idle_timeout_ms))
        wy_h1_conn_reject (c, 408);
      break;
    case CONN_BUSY:
      break;
    case CONN_LINGER:
      if (age_ms >= LINGER_MS && wy_h1_unsent_bytes (c) == 0)
        wy_h1_conn_close (c);
      break;
    }
}

/* Count for how many sweeps the reader of C has taken nothing.  Sweeps and not
   the clock are counted, since after a stall of this process the clock has
   advanced, but nothing was offered to the reader meanwhile.  */
static void
check_reader (struct wy_h1_request *c)
{
  uint64_t taken_bytes;

  if (wy_h1_unsent_bytes (c) == 0)
    {
      c->silent_sweeps = 0;
      return;
    }
  taken_bytes = c->queued_bytes - wy_h1_untaken_bytes (&c->tcp);
  if (taken_bytes != c->taken_bytes)
    c->silent_sweeps = 0;
  else
    c->silent_sweeps++;
  c->taken_bytes = taken_bytes;
}

/* Close C if its reader has taken nothing for too long.  */
static void
check_reader_timeout (struct wy_h1_request *c)
{
  struct wy_client_view view = wy_h1_conn_view (c);

  if (c->closing || view.silent_ms < c->server->clients.reader_timeout_ms)
    return;
  wy_h1_yield_report (c, &view, WY_H1_YIELD_READER);
  wy_h1_conn_hang_up (c);
}

static void
on_sweep (uv_timer_t *t)
{
  struct wy_h1_server *s = t->data;
  uint64_t now_ms = uv_now (t->loop);
  GList *next;

  for (GList *l = s->connections.head; l; l = next)
    {
      struct wy_h1_request *c = l->data;

      next = l->next;
      check_reader (c);
      check_timeouts (c, now_ms);
      check_reader_timeout (c);
    }
  wy_h1_overload_relieve (s->overload);
  wy_h1_accept_if_room (s);
}

/* A handle of S is closed: free S if it was the last one.  */
void
wy_h1_server_handle_closed (struct wy_h1_server *s)
{
  s->handles--;
  if (s->freed && s->handles == 0)
    g_free (s);
}

static void
on_listener_closed (uv_handle_t *h)
{
  wy_h1_server_handle_closed (h->data);
}

static void
on_sweep_closed (uv_handle_t *h)
{
  wy_h1_server_handle_closed (h->data);
}

static int
listen_on (struct wy_h1_server *s, const struct wy_h1_server_options *o)
{
  struct wy_tcp_listen_options l = { .loop = o->loop,
                                     .host = o->host,
                                     .port = o->port,
                                     .backlog = LISTEN_BACKLOG,
                                     .on_connection = wy_h1_on_connection,
                                     .data = s };
  int err = wy_tcp_listen (&s->listener, &l, &s->port);

  if (o->system_error)
    *o->system_error = err;
  s->listening = err == 0;
  return err ? WY_H1_EBIND : 0;
}

static uint32_t
or_default (uint32_t v, uint32_t default_value)
{
  return v ? v : default_value;
}

static void
set_client_limits (struct wy_h1_server *s, const struct wy_h1_client_limits *l)
{
  s->clients = *l;
  s->clients.unread_bytes = or_default (l->unread_bytes, DEFAULT_UNREAD_BYTES);
  s->clients.requests_per_turn
      = or_default (l->requests_per_turn, DEFAULT_REQUESTS_PER_TURN);
  s->clients.reader_timeout_ms
      = or_default (l->reader_timeout_ms, DEFAULT_READER_TIMEOUT_MS);
}

static void
join_overload (struct wy_h1_server *s, const struct wy_h1_server_options *o)
{
  struct wy_h1_overload_options own = { .loop = o->loop, .memory = o->memory };

  s->owns_overload = !o->overload;
  s->overload = o->overload ? o->overload : wy_h1_overload_new (&own);
  s->overload_link.data = s;
  g_queue_push_tail_link (&s->overload->servers, &s->overload_link);
}

/* Start a server with the options O and store it in OUT.  Returns 0 or
   WY_H1_EBIND.  */
int
wy_h1_server_new (struct wy_h1_server **out,
                  const struct wy_h1_server_options *o)
{
  struct wy_h1_server *s = g_malloc0 (sizeof *s);
  int err = listen_on (s, o);

  if (err)
    {
      /* Not freed: the handle closes on the loop, which may not run again.  */
      uv_close ((uv_handle_t *)&s->listener, NULL);
      return err;
    }
  s->limits = o->limits;
  s->name = o->name ? o->name : "";
  set_client_limits (s, &o->clients);
  join_overload (s, o);
  s->memory = o->memory;
  s->on_request = o->on_request;
  s->on_no_memory = o->on_no_memory;
  s->may_reject = o->may_reject;
  s->on_shed = o->on_shed;
  s->ctx = o->ctx;
  g_queue_init (&s->connections);
  uv_timer_init (o->loop, &s->sweep);
  s->sweep.data = s;
  uv_timer_start (&s->sweep, on_sweep, WY_H1_SWEEP_MS, WY_H1_SWEEP_MS);
  uv_unref ((uv_handle_t *)&s->sweep);
  s->handles = 2;
  *out = s;
  return 0;
}

/* Replace the limits, also for open connections.  */
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

/* Number of requests without a complete response.  */
uint32_t
wy_h1_server_active (const struct wy_h1_server *s)
{
  return s->active;
}

/* Number of connections without a request in progress whose responses have not
   been sent completely.  */
uint32_t
wy_h1_server_unsent (const struct wy_h1_server *s)
{
  uint32_t n = 0;

  for (GList *l = s->connections.head; l; l = l->next)
    {
      const struct wy_h1_request *c = l->data;

      n += c->state != CONN_BUSY && wy_h1_unsent_bytes (c) > 0;
    }
  return n;
}

/* Number of connections that a stop would cut off: with a request that is not
   read or not answered completely, or with bytes of responses that their peers
   have not taken, also those in the kernel.  */
uint32_t
wy_h1_server_unfinished (const struct wy_h1_server *s)
{
  uint32_t n = 0;

  for (GList *l = s->connections.head; l; l = l->next)
    {
      const struct wy_h1_request *c = l->data;

      n += c->state != CONN_IDLE || wy_h1_untaken_bytes (&c->tcp) > 0;
    }
  return n;
}

/* Number of open connections.  */
uint32_t
wy_h1_server_connections (const struct wy_h1_server *s)
{
  return s->connections.length;
}

/* Add "Connection: close" to each further response, and close connections
   whose response has begun without it at its end.  */
void
wy_h1_server_announce_close (struct wy_h1_server *s)
{
  s->announce_close = true;
}

/* Close the connections without a request for which CLOSES returns true, given
   the time for which they have had none.  */
void
wy_h1_server_close_idle (struct wy_h1_server *s,
                         bool (*closes) (void *ctx, int64_t idle_ms),
                         void *ctx)
{
  GList *next;

  for (GList *l = s->connections.head; l; l = next)
    {
      struct wy_h1_request *c = l->data;

      next = l->next;
      if (c->state == CONN_IDLE && c->unparsed->len == 0
          && wy_h1_unsent_bytes (c) == 0
          && closes (ctx, (int64_t)(uv_now (c->tcp.loop) - c->state_since_ms)))
        wy_h1_conn_close (c);
    }
}

/* Stop listening; open connections continue.  */
void
wy_h1_server_stop (struct wy_h1_server *s)
{
  if (!s->listening)
    return;
  s->listening = false;
  uv_close ((uv_handle_t *)&s->listener, on_listener_closed);
}

/* Close the listener and all connections as if every caller had hung up.  */
void
wy_h1_server_hang_up (struct wy_h1_server *s)
{
  wy_h1_server_stop (s);
  while (s->connections.head)
    wy_h1_conn_hang_up (s->connections.head->data);
}

/* Close the listener and all connections.  S is freed on the loop, which the
   caller must run once more.  */
void
wy_h1_server_free (struct wy_h1_server *s)
{
  wy_h1_server_stop (s);
  while (s->connections.head)
    wy_h1_conn_close (s->connections.head->data);
  g_queue_unlink (&s->overload->servers, &s->overload_link);
  if (s->owns_overload)
    wy_h1_overload_close (s->overload);
  s->freed = true;
  uv_close ((uv_handle_t *)&s->sweep, on_sweep_closed);
}
