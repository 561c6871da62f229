/* A TCP relay that can make open connections silent, as a middlebox does that
   has lost their state: both ends believe that the connection is open.  */
#include "relay.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

enum
{
  BACKLOG = 16,
  BUFFER_SIZE_BYTES = 16384
};

struct endpoint
{
  uv_tcp_t tcp; /* must stay first */
  struct pair *pair;
  bool discard; /* what is read here */
  bool open;
  char buffer[BUFFER_SIZE_BYTES];
};

struct pair
{
  struct relay *relay;
  struct endpoint side[2]; /* dialler, listener */
  uv_connect_t connect;
  uint32_t handles;
};

struct relay
{
  uv_tcp_t listener;
  uint16_t port;
  uint16_t to_port;
  GPtrArray *pairs;
};

struct buffered_write
{
  uv_write_t req; /* must stay first */
  char data[];
};

static void
on_endpoint_closed (uv_handle_t *h)
{
  struct pair *p = ((struct endpoint *)h)->pair;

  if (--p->handles > 0)
    return;
  g_ptr_array_remove (p->relay->pairs, p);
  g_free (p);
}

static void
close_pair (struct pair *p)
{
  for (int i = 0; i < 2; i++)
    if (p->side[i].open)
      {
        p->side[i].open = false;
        uv_close ((uv_handle_t *)&p->side[i].tcp, on_endpoint_closed);
      }
}

static void
on_alloc (uv_handle_t *h, size_t n, uv_buf_t *buf)
{
  *buf = uv_buf_init (((struct endpoint *)h)->buffer, BUFFER_SIZE_BYTES);
}

static void
on_written (uv_write_t *req, int status)
{
  g_free (req);
}

static void
forward (struct endpoint *to, const char *p, size_t n)
{
  struct buffered_write *k = g_malloc (sizeof *k + n);
  uv_buf_t buf = uv_buf_init (k->data, (unsigned)n);

  memcpy (k->data, p, n);
  uv_write (&k->req, (uv_stream_t *)&to->tcp, &buf, 1, on_written);
}

static void
on_read (uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
  struct endpoint *from = (struct endpoint *)s;
  struct pair *p = from->pair;
  struct endpoint *to = from == &p->side[0] ? &p->side[1] : &p->side[0];

  if (n < 0)
    {
      /* A silent connection does not report its end either.  */
      if (from->discard)
        uv_read_stop (s);
      else
        close_pair (p);
    }
  else if (n > 0 && !from->discard && to->open)
    forward (to, buf->base, (size_t)n);
}

static void
on_connected (uv_connect_t *req, int status)
{
  struct pair *p = req->data;

  if (status)
    {
      close_pair (p);
      return;
    }
  for (int i = 0; i < 2; i++)
    uv_read_start ((uv_stream_t *)&p->side[i].tcp, on_alloc, on_read);
}

static void
on_accept (uv_stream_t *listener, int status)
{
  struct relay *r = listener->data;
  struct pair *p = g_malloc0 (sizeof *p);
  struct sockaddr_in to;

  p->relay = r;
  p->handles = 2;
  g_ptr_array_add (r->pairs, p);
  for (int i = 0; i < 2; i++)
    {
      uv_tcp_init (listener->loop, &p->side[i].tcp);
      p->side[i].pair = p;
      p->side[i].open = true;
    }
  cr_assert_eq (uv_accept (listener, (uv_stream_t *)&p->side[0].tcp), 0);
  uv_ip4_addr ("127.0.0.1", r->to_port, &to);
  uv_tcp_nodelay (&p->side[0].tcp, 1);
  uv_tcp_nodelay (&p->side[1].tcp, 1);
  p->connect.data = p;
  if (uv_tcp_connect (&p->connect, &p->side[1].tcp, (struct sockaddr *)&to,
                      on_connected))
    close_pair (p);
}

/* Start a relay to TO_PORT on loopback.  */
struct relay *
relay_start (uv_loop_t *loop, uint16_t to_port)
{
  struct relay *r = g_malloc0 (sizeof *r);
  struct sockaddr_in a;
  int n = sizeof a;

  r->to_port = to_port;
  r->pairs = g_ptr_array_new ();
  uv_tcp_init (loop, &r->listener);
  r->listener.data = r;
  uv_ip4_addr ("127.0.0.1", 0, &a);
  uv_tcp_bind (&r->listener, (struct sockaddr *)&a, 0);
  cr_assert_eq (uv_listen ((uv_stream_t *)&r->listener, BACKLOG, on_accept),
                0);
  uv_tcp_getsockname (&r->listener, (struct sockaddr *)&a, &n);
  r->port = ntohs (a.sin_port);
  return r;
}

/* The port that the relay listens on.  */
uint16_t
relay_port (const struct relay *r)
{
  return r->port;
}

/* Discard what is read from the given sides of the connections open now.  */
void
relay_discard (struct relay *r, bool from_dialler, bool from_listener)
{
  for (guint i = 0; i < r->pairs->len; i++)
    {
      struct pair *p = r->pairs->pdata[i];

      p->side[0].discard = from_dialler;
      p->side[1].discard = from_listener;
    }
}

/* Free R after relay_stop, when its handles are closed.  */
void
relay_free (struct relay *r)
{
  g_ptr_array_free (r->pairs, TRUE);
  g_free (r);
}

/* Close the listener and all connections.  */
void
relay_stop (struct relay *r)
{
  for (guint i = 0; i < r->pairs->len; i++)
    close_pair (r->pairs->pdata[i]);
  uv_close ((uv_handle_t *)&r->listener, NULL);
}
