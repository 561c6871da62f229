/* HTTP/1.1 server: what a connection holds.  */
#include "h1/server_state.h"

static void
count_to (struct wy_h1_request *c, enum wy_memory_class class, size_t *counted,
          size_t bytes)
{
  if (bytes == *counted)
    return;
  wy_memory_account_add (c->server->memory, class,
                         (int64_t)bytes - (int64_t)*counted);
  *counted = bytes;
}

/* Memory of C that grows with what its client sends, without the body.  */
static size_t
received_bytes (const struct wy_h1_request *c)
{
  return c->unparsed_size_bytes + wy_h1_head_held_bytes (&c->head);
}

/* Bring the memory account up to date with C.  */
void
wy_h1_conn_count_held (struct wy_h1_request *c)
{
  count_to (c, WY_MEMORY_CONNECTIONS, &c->counted_bytes,
            c->closing ? 0 : sizeof *c + received_bytes (c));
  count_to (c, WY_MEMORY_BODIES, &c->body_counted_bytes,
            c->closing || !c->body->len ? 0 : c->body->allocated_len);
}

/* What C is seen as when connections have to give way.  The body of a request
   in progress is not its client's to give back.  */
struct wy_client_view
wy_h1_conn_view (const struct wy_h1_request *c)
{
  static const enum wy_client_state states[]
      = { [CONN_IDLE] = WY_CLIENT_WAITING,
          [CONN_HEAD] = WY_CLIENT_RECEIVING,
          [CONN_BODY] = WY_CLIENT_RECEIVING,
          [CONN_BUSY] = WY_CLIENT_IN_PROGRESS,
          [CONN_LINGER] = WY_CLIENT_CLOSING };
  uint64_t now_ms = uv_now (c->tcp.loop);
  struct wy_client_view v
      = { .state = states[c->state],
          .has_served = c->has_served,
          .held_bytes = c->held_bytes + received_bytes (c),
          .state_ms = (uint32_t)(now_ms - c->state_since_ms),
          .silent_ms = c->silent_sweeps * WY_H1_SWEEP_MS };

  if (c->state != CONN_BUSY)
    v.held_bytes += c->body->len;
  if (c->unread_since_ms)
    v.unread_ms = (uint32_t)(now_ms - c->unread_since_ms) + 1;
  return v;
}

/* Free what the last request needed beyond the usual.  */
void
wy_h1_conn_trim (struct wy_h1_request *c)
{
  if (c->unparsed->len || c->parsing)
    return;
  if (c->unparsed_size_bytes > WY_H1_KEPT_BYTES)
    {
      g_byte_array_free (c->unparsed, TRUE);
      c->unparsed = g_byte_array_new ();
      c->unparsed_size_bytes = 0;
    }
  if (c->state == CONN_IDLE || c->state == CONN_LINGER)
    wy_h1_head_trim (&c->head);
}

/* Free the body of C.  */
void
wy_h1_conn_discard_body (struct wy_h1_request *c)
{
  c->server->total_body_bytes -= c->body->len;
  if (c->body->allocated_len > WY_H1_KEPT_BYTES)
    {
      g_string_free (c->body, TRUE);
      c->body = g_string_new (NULL);
    }
  else
    g_string_truncate (c->body, 0);
  wy_h1_conn_count_held (c);
}
