/* Listening TCP sockets.  */
#ifndef WY_BASE_TCP_LISTEN_H
#define WY_BASE_TCP_LISTEN_H

#include <stdint.h>

#include <uv.h>

struct wy_tcp_listen_options
{
  uv_loop_t *loop;
  const char *host; /* IPv4 address */
  uint16_t port;    /* 0: any free port */
  int backlog;
  uv_connection_cb on_connection;
  void *data; /* of the handle */
};

int wy_tcp_listen (uv_tcp_t *tcp, const struct wy_tcp_listen_options *o,
                   uint16_t *port);

#endif
