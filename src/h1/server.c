/* HTTP/1.1 server: listening, and the limits on slow and idle callers.  */
#include "h1/server_state.h"

enum
{
  LISTEN_BACKLOG = 1024,
  /* How often the limits on slow and idle callers are looked at.  */
  SWEEP_MS = 500,
  /* A refused upload is read and thrown away for so long before the
     connection closes: closing over unread bytes resets the connection, and
     the caller would never see the answer.  */
  LINGER_MS = 1000
};

static void
on_accept (uv_stream_t *listener, int status)
{
  if (status == 0)
    wy_h1_conn_accept (listener->data);
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
        wy_h1_conn_close (c);
      break;
    case CONN_HEAD:
      if (age_ms >= l->header_timeout_ms)
        wy_h1_conn_refuse (c, 408);
      break;
    case CONN_BODY:
      /* A body may be long: what counts is that it stands still.  */
      if (age_ms >= l->idle_timeout_ms)
        wy_h1_conn_refuse (c, 408);
      break;
    case CONN_BUSY:
      break;
    case CONN_LINGER:
      if (age_ms >= LINGER_MS && wy_h1_unsent_bytes (c) == 0)
        wy_h1_conn_close (c);
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
    wy_h1_conn_close (s->connections.head->data);
  uv_close ((uv_handle_t *)&s->sweep, NULL);
}
