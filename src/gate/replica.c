/* Functions of a replica's description.  */
#include "gate/replica.h"

#include <arpa/inet.h>

/* A number by which replicas are ranked: the order of their addresses, which
   all processes see alike.  */
uint64_t
wy_replica_address_key (const struct sockaddr_in *a)
{
  return (uint64_t)ntohl (a->sin_addr.s_addr) << 16 | ntohs (a->sin_port);
}
