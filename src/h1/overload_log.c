/* Log lines of clients that give way, for processes with JSON logs.  */
#include "h1/overload_log.h"

#include "trace/json_log.h"

/* Log that a connection gives way as Y says.  CTX is not used.  */
void
wy_h1_log_yield (void *ctx, const struct wy_h1_yield *y)
{
  wy_json_log ("client.gave_way",
               "listener=%s reason=%s state=%s held=%llu state_ms=%u "
               "unread_ms=%u silent_ms=%u connections=%u",
               y->listener, wy_h1_yield_name (y->reason),
               wy_h1_client_state_name (y->client.state),
               (unsigned long long)y->client.held_bytes, y->client.state_ms,
               y->client.unread_ms, y->client.silent_ms, y->connections);
}

/* Log that LISTENER could not accept a connection for libuv's error ERR.  CTX
   is not used.  */
void
wy_h1_log_accept_failed (void *ctx, const char *listener, int err)
{
  wy_json_log ("client.not_accepted", "listener=%s error=%s", listener,
               uv_err_name (err));
}
