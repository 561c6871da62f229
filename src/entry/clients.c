/* What callers can make an entry hold, and what is logged and measured when
   connections give way.  */
#include "entry/clients.h"

#include "base/descriptors.h"
#include "http/server.h"
#include "trace/log.h"

enum
{
  MB = 1 << 20,
  /* The memory divided by this is the limit of all requests' bodies.  */
  BODY_MEMORY_DIVISOR = 8,
  /* One of so many descriptors is kept for connections to agents, the store
     and the instance list.  */
  OWN_DESCRIPTORS_DIVISOR = 4
};

static void
on_yield (void *ctx, const struct wy_h1_yield *y)
{
  struct wy_entry *e = ctx;

  ++*e->counters.gave_way;
  wy_log (WY_LOG_WARN, "client.gave_way",
          "reason=%s state=%s held=%llu state_ms=%u unread_ms=%u silent_ms=%u "
          "connections=%u",
          wy_h1_yield_name (y->reason),
          wy_h1_client_state_name (y->client.state),
          (unsigned long long)y->client.held_bytes, y->client.state_ms,
          y->client.unread_ms, y->client.silent_ms, y->connections);
}

static void
on_accept_failed (void *ctx, const char *listener, int err)
{
  wy_log (WY_LOG_WARN, "client.not_accepted", "error=%s", uv_err_name (err));
}

/* Prepare the bounds of E's callers.  */
void
wy_entry_start_overload (struct wy_entry *e)
{
  struct wy_h1_overload_options o = { .loop = e->loop,
                                      .memory = &e->memory,
                                      .on_yield = on_yield,
                                      .on_accept_failed = on_accept_failed,
                                      .ctx = e };

  wy_memory_account_init (
      &e->memory, wy_memory_budget_bytes (e->s->memory_mb * (int64_t)MB));
  e->overload = wy_h1_overload_new (&o);
}

/* Connections of callers that an entry with the settings S accepts.  */
uint32_t
wy_entry_connection_limit (const struct wy_entry_settings *s)
{
  uint32_t n = wy_descriptor_limit ((uint64_t)s->descriptors);

  return MIN ((uint32_t)s->connection_limit, n - n / OWN_DESCRIPTORS_DIVISOR);
}

/* What the bodies of all requests may take together.  */
uint64_t
wy_entry_bodies_limit_bytes (const struct wy_entry_settings *s)
{
  return (uint64_t)s->memory_mb * MB / BODY_MEMORY_DIVISOR;
}

/* Set the gauges of callers' connections.  */
void
wy_entry_update_client_gauges (struct wy_entry *e)
{
  const struct wy_h1_overload_stats *s = &e->overload->stats;

  *e->counters.connections = wy_http_server_connections (e->http);
  *e->counters.memory_bytes = e->memory.total_bytes;
  *e->counters.unread_pauses = (int64_t)s->unread_pauses;
  *e->counters.turns_cut = (int64_t)s->turns_cut;
  *e->counters.accepts_deferred = (int64_t)s->accepts_deferred;
  *e->counters.accepts_failed = (int64_t)s->accepts_failed;
}
