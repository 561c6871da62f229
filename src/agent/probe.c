/* Tests whether a port accepts connections.  A plain service is only connected
   to, since any request invented here could have an effect on it.  */
#include "agent/probe.h"

#include <glib.h>

enum
{
  PROBE_TIMEOUT_MS = 2000
};

struct probe
{
  uv_tcp_t tcp; /* must stay first */
  uv_timer_t timer;
  uv_connect_t connect;
  uint32_t open_handles;
  bool done;
  void (*on_done) (void *ctx, bool ok);
  void *ctx;
};

static void
on_closed (uv_handle_t *h)
{
  struct probe *p = h->data;

  if (--p->open_handles == 0)
    g_free (p);
}

static void
finish (struct probe *p, bool ok)
{
  if (p->done)
    return;
  p->done = true;
  uv_close ((uv_handle_t *)&p->tcp, on_closed);
  uv_close ((uv_handle_t *)&p->timer, on_closed);
  p->on_done (p->ctx, ok);
}

static void
on_connect (uv_connect_t *req, int status)
{
  finish (req->data, status == 0);
}

static void
on_timeout (uv_timer_t *t)
{
  finish (t->data, false);
}

static void
on_failed (uv_timer_t *t)
{
  finish (t->data, false);
}

/* Connect to PORT of HOST, an IPv4 address, and pass the outcome to ON_DONE,
   which is called from the event loop.  */
void
wy_agent_probe (uv_loop_t *loop, const char *host, uint16_t port,
                void (*on_done) (void *ctx, bool ok), void *ctx)
{
  struct probe *p = g_new0 (struct probe, 1);
  struct sockaddr_in a;

  p->on_done = on_done;
  p->ctx = ctx;
  p->open_handles = 2;
  uv_tcp_init (loop, &p->tcp);
  uv_timer_init (loop, &p->timer);
  p->tcp.data = p;
  p->timer.data = p;
  p->connect.data = p;
  if (uv_ip4_addr (host, port, &a)
      || uv_tcp_connect (&p->connect, &p->tcp, (struct sockaddr *)&a,
                         on_connect))
    uv_timer_start (&p->timer, on_failed, 0, 0);
  else
    uv_timer_start (&p->timer, on_timeout, PROBE_TIMEOUT_MS, 0);
}
