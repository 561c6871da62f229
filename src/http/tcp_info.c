/* TCP state of a connection, from the kernel (TCP_INFO).  In a file of its
   own because linux/tcp.h conflicts with netinet/tcp.h of the C library.  */
#include "http/tcp_info.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <linux/tcp.h>

enum
{
  STATE_ESTABLISHED = 1 /* TCP_ESTABLISHED of netinet/tcp.h */
};

static bool
tcp_info (int fd, struct tcp_info *info)
{
  socklen_t n = sizeof *info;

  return fd >= 0 && !getsockopt (fd, IPPROTO_TCP, TCP_INFO, info, &n);
}

/* Whether the peer has closed its side of the connection FD.  */
bool
wy_tcp_peer_closed (int fd)
{
  struct tcp_info info = { 0 };

  return tcp_info (fd, &info) && info.tcpi_state != STATE_ESTABLISHED;
}

/* Bytes received on the connection FD since it was opened.  */
uint64_t
wy_tcp_received_bytes (int fd)
{
  struct tcp_info info = { 0 };

  return tcp_info (fd, &info) ? info.tcpi_bytes_received : 0;
}
