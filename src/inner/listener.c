/* Listening socket for connections from other processes.  */
#include "base/descriptors.h"
#include "base/tcp_listen.h"
#include "inner/conn.h"
#include "inner/conn_state.h"

enum
{
  LISTEN_BACKLOG = 512,
  /* Limit of connections whose peers haven't authenticated.  Each costs a few
     kilobytes until its handshake times out.  Above the limit the oldest of
     them is closed, so that a crowd of silent ones competes with itself;
     established ones aren't affected.  */
  UNAUTHENTICATED_MAX = 256,
  /* The same as a part of the process's descriptors.  */
  UNAUTHENTICATED_DIVISOR = 4
};

struct wy_listener
{
  uv_tcp_t tcp; /* must stay first */
  struct wy_listener_options o;
  uint16_t port;
  GQueue unauthenticated; /* struct wy_conn, oldest first */
  uint32_t unauthenticated_max;
  uint32_t conns; /* connections that refer to this listener */
  bool closed;    /* the socket is closed */
};

static void
free_if_unused (struct wy_listener *l)
{
  if (l->closed && l->conns == 0)
    g_free (l);
}

/* C is being closed: it no longer counts as unauthenticated.  */
void
wy_listener_conn_closing (struct wy_conn *c)
{
  if (!c->authenticated)
    g_queue_unlink (&c->listener->unauthenticated, &c->listener_link);
  c->authenticated = true;
}

/* Remove C, which is closed, from its listener.  */
void
wy_listener_conn_closed (struct wy_conn *c)
{
  struct wy_listener *l = c->listener;

  l->conns--;
  free_if_unused (l);
}

/* Record that the peer of C has authenticated.  */
void
wy_listener_conn_authenticated (struct wy_conn *c)
{
  wy_listener_conn_closing (c);
}

static void
on_connection (uv_stream_t *s, int status)
{
  struct wy_listener *l = s->data;
  struct wy_conn *c;

  if (status)
    return;
  c = g_malloc0 (sizeof *c);
  wy_conn_init (c, l->o.identity, WY_CONN_HELLO);
  c->listener = l;
  l->conns++;
  c->listener_link.data = c;
  g_queue_push_tail_link (&l->unauthenticated, &c->listener_link);
  if (l->unauthenticated.length > l->unauthenticated_max)
    wy_conn_fail (l->unauthenticated.head->data, WY_INNER_ECLOSED);
  if (uv_accept (s, (uv_stream_t *)&c->tcp))
    {
      wy_conn_fail (c, WY_INNER_ECLOSED);
      return;
    }
  c->events = l->o.on_accept (l->o.ctx, c);
  wy_conn_start_reading (c);
}

/* Listen as described by O and store the listener in OUT.  Returns 0 or
   WY_INNER_EBIND.  */
int
wy_listener_new (struct wy_listener **out, const struct wy_listener_options *o)
{
  struct wy_listener *l = g_malloc0 (sizeof *l);
  struct wy_tcp_listen_options t = { .loop = o->identity->loop,
                                     .host = o->host,
                                     .port = o->port,
                                     .backlog = LISTEN_BACKLOG,
                                     .on_connection = on_connection,
                                     .data = l };
  int err;

  l->o = *o;
  l->unauthenticated_max
      = MIN (UNAUTHENTICATED_MAX,
             MAX (wy_descriptor_limit (0) / UNAUTHENTICATED_DIVISOR, 1));
  err = wy_tcp_listen (&l->tcp, &t, &l->port);
  if (o->system_error)
    *o->system_error = err;
  if (err)
    {
      wy_listener_close (l);
      return WY_INNER_EBIND;
    }
  *out = l;
  return 0;
}

/* Return the port that L listens on.  */
uint16_t
wy_listener_port (const struct wy_listener *l)
{
  return l->port;
}

static void
on_listener_closed (uv_handle_t *h)
{
  struct wy_listener *l = h->data;

  l->closed = true;
  free_if_unused (l);
}

/* Stop listening.  Open connections continue; L is freed after the last of
   them is closed.  */
void
wy_listener_close (struct wy_listener *l)
{
  uv_close ((uv_handle_t *)&l->tcp, on_listener_closed);
}
