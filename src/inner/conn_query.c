/* Queries of a connection by its owner, and explicit PINGs.  */
#include "inner/conn_state.h"

/* Whether C is open and its peer has authenticated.  */
bool
wy_conn_is_ready (const struct wy_conn *c)
{
  return c->state == WY_CONN_READY;
}

/* Send a PING immediately, without waiting for the heartbeat.  */
void
wy_conn_ping (struct wy_conn *c)
{
  if (c->state == WY_CONN_READY)
    wy_heartbeat_ping (c);
}

/* Return the sequence number of the last PING sent.  A PONG with a higher one
   proves that the peer has received everything sent before this call.  */
uint64_t
wy_conn_ping_seq (const struct wy_conn *c)
{
  return c->seq;
}

/* Return the number of unsent bytes.  */
size_t
wy_conn_unsent_bytes (const struct wy_conn *c)
{
  return c->writing_bytes + c->out->len;
}
