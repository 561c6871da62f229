/* What the kernel knows of the other end of a connection.  Apart, because
   the kernel's own header and the one of the C library clash.  */
#include "http/tcp_info.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <linux/tcp.h>

enum
{
  STATE_ESTABLISHED = 1 /* TCP_ESTABLISHED of the C library's header */
};

static bool
tcp_info (int fd, struct tcp_info *info)
{
  socklen_t n = sizeof *info;

  return fd >= 0 && !getsockopt (fd, IPPROTO_TCP, TCP_INFO, info, &n);
}

/* Tell whether the other end of FD has closed its side.  */
bool
wy_tcp_peer_closed (int fd)
{
  struct tcp_info info = { 0 };

  return tcp_info (fd, &info) && info.tcpi_state != STATE_ESTABLISHED;
}

/* Bytes that have come in on FD since it was opened.  */
uint64_t
wy_tcp_received_bytes (int fd)
{
  struct tcp_info info = { 0 };

  return tcp_info (fd, &info) ? info.tcpi_bytes_received : 0;
}
