/* Listening TCP sockets.  */
#include "base/tcp_listen.h"

#include <arpa/inet.h>

/* Initialize TCP and listen as O says; the port is stored in PORT.  Returns 0
   or libuv's error, after which TCP must still be closed.  */
int
wy_tcp_listen (uv_tcp_t *tcp, const struct wy_tcp_listen_options *o,
               uint16_t *port)
{
  struct sockaddr_in a;
  int n = sizeof a;
  int err;

  uv_tcp_init (o->loop, tcp);
  tcp->data = o->data;
  err = uv_ip4_addr (o->host, o->port, &a);
  if (!err)
    err = uv_tcp_bind (tcp, (const struct sockaddr *)&a, 0);
  if (!err)
    err = uv_listen ((uv_stream_t *)tcp, o->backlog, o->on_connection);
  if (!err)
    err = uv_tcp_getsockname (tcp, (struct sockaddr *)&a, &n);
  if (!err)
    *port = ntohs (a.sin_port);
  return err;
}
