/* HTTP/1.1 server: listener, and timeouts of connections.  */
#include "base/tcp_listen.h"
#include "h1/server_state.h"

enum
{
  LISTEN_BACKLOG = 1024,
  /* Interval of checks of the timeouts.  */
  SWEEP_MS = 500,
  /* How long a rejected upload is read and discarded before the connection
     closes: a close with unread bytes resets the connection, and the caller
     would not see the response.  */
  LINGER_MS = 1000
};

static void
on_accept (uv_stream_t *listener, int status)
{
  if (status == 0)
    wy_h1_conn_accept (listener->data);
}

static void
check_timeouts (struct wy_h1_request *c, uint64_t now_ms)
{
  const struct wy_h1_limits *l = &c->server->limits;
  uint64_t age_ms = now_ms - c->state_since_ms;

  switch (c->state)
    {
    case CONN_IDLE:
      if (age_ms >= l->idle_timeout_ms)
        wy_h1_conn_close (c);
      break;
    case CONN_HEAD:
      if (age_ms >= l->header_timeout_ms)
        wy_h1_conn_reject (c, 408);
      break;
    case CONN_BODY:
      /* A body may be large, so it has the idle timeout, counted from the end
         of the head.  */
      if (age_ms >= l->idle_timeout_ms)
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

/* Count for how many sweeps the reader of C has taken nothing; this is not
   needed while memory is not short.  Sweeps and not the clock are counted,
   since after a stall of this process the clock has advanced, but nothing was
   offered to the reader meanwhile.  */
static void
check_reader (struct wy_h1_request *c)
{
  uint64_t taken_bytes;

  if (wy_memory_account_level (c->server->memory) == WY_MEMORY_NORMAL
      || wy_h1_unsent_bytes (c) == 0)
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

/* Return the connection with the most unsent bytes whose reader is silent, or
   NULL.  */
static struct wy_h1_request *
find_silent (const struct wy_h1_server *s)
{
  struct wy_h1_request *most = NULL;

  for (GList *l = s->connections.head; l; l = l->next)
    {
      struct wy_h1_request *c = l->data;

      if (c->silent_sweeps * SWEEP_MS >= WY_H1_SILENT_READER_MS
          && (!most || c->held_bytes > most->held_bytes))
        most = c;
    }
  return most;
}

/* Close connections until enough memory is free or no reader is silent.  The
   account falls only when the pending writes end, on the next turn of the
   loop.  */
static void
shed (struct wy_h1_server *s)
{
  int64_t to_free_bytes = wy_memory_account_to_shed_bytes (s->memory);
  struct wy_h1_request *c;

  while (to_free_bytes > 0 && (c = find_silent (s)))
    {
      to_free_bytes -= (int64_t)c->held_bytes;
      s->memory->sheds++;
      if (s->on_shed)
        s->on_shed (s->ctx, c, wy_h1_unsent_bytes (c),
                    c->silent_sweeps * SWEEP_MS);
      wy_h1_conn_hang_up (c);
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
      struct wy_h1_request *c = l->data;

      next = l->next;
      check_reader (c);
      check_timeouts (c, now_ms);
    }
  shed (s);
}

static int
listen_on (struct wy_h1_server *s, const struct wy_h1_server_options *o)
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
  s->listening = err == 0;
  return err ? WY_H1_EBIND : 0;
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
  s->memory = o->memory;
  s->on_request = o->on_request;
  s->on_no_memory = o->on_no_memory;
  s->may_reject = o->may_reject;
  s->on_shed = o->on_shed;
  s->ctx = o->ctx;
  g_queue_init (&s->connections);
  uv_timer_init (o->loop, &s->sweep);
  s->sweep.data = s;
  uv_timer_start (&s->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
  uv_unref ((uv_handle_t *)&s->sweep);
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

/* Number of open connections.  */
uint32_t
wy_h1_server_connections (const struct wy_h1_server *s)
{
  return s->connections.length;
}

/* Add "Connection: close" to each further response.  */
void
wy_h1_server_announce_close (struct wy_h1_server *s)
{
  s->announce_close = true;
}

/* Stop listening; open connections continue.  */
void
wy_h1_server_stop (struct wy_h1_server *s)
{
  if (!s->listening)
    return;
  s->listening = false;
  uv_close ((uv_handle_t *)&s->listener, NULL);
}

/* Close the listener and all connections as if every caller had hung up.  */
void
wy_h1_server_hang_up (struct wy_h1_server *s)
{
  wy_h1_server_stop (s);
  while (s->connections.head)
    wy_h1_conn_hang_up (s->connections.head->data);
}

/* Close the listener and all connections.  S is not freed, since callbacks of
   the loop still use it; the caller must run the loop once more.  A process
   has few servers and ends with them.  */
void
wy_h1_server_free (struct wy_h1_server *s)
{
  wy_h1_server_stop (s);
  while (s->connections.head)
    wy_h1_conn_close (s->connections.head->data);
  uv_close ((uv_handle_t *)&s->sweep, NULL);
}
