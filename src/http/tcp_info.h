/* TCP state of a connection, from the kernel.  */
#ifndef WY_HTTP_TCP_INFO_H
#define WY_HTTP_TCP_INFO_H

#include <stdbool.h>
#include <stdint.h>

bool wy_tcp_peer_closed (int fd);
uint64_t wy_tcp_received_bytes (int fd);

#endif
