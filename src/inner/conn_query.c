/* What the owner of a connection may ask of it.  */
#include "inner/conn_state.h"

/* Tell whether the peer of C has proved its key and C is open.  */
bool
wy_conn_is_ready (const struct wy_conn *c)
{
  return c->state == WY_CONN_READY;
}

/* Send a PING now, without waiting for the heartbeat.  */
void
wy_conn_ping (struct wy_conn *c)
{
  if (c->state == WY_CONN_READY)
    wy_heartbeat_ask (c);
}

/* Number of the last PING that was sent.  A PONG with a higher one proves that
   the peer has taken all that was sent before this call.  */
uint64_t
wy_conn_ping_seq (const struct wy_conn *c)
{
  return c->seq;
}

/* Bytes that wait to be sent.  */
size_t
wy_conn_unsent_bytes (const struct wy_conn *c)
{
  return c->writing_bytes + c->out->len;
}
