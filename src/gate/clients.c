/* What clients can make an entry hold: its shares of descriptors, and what is
   logged and measured when connections give way.  */
#include <stdio.h>

#include "base/descriptors.h"
#include "gate/gate_state.h"
#include "h1/overload_log.h"
#include "trace/json_log.h"

enum
{
  NAME_SIZE_BYTES = 64
};

/* Connections that each listener of G accepts.  */
struct wy_client_shares
wy_gate_client_shares (const struct wy_gate *g)
{
  const struct wy_gate_settings *s = g->o.settings;
  struct wy_client_shares shares;
  uint32_t descriptors = wy_descriptor_limit ((uint64_t)s->descriptors);

  wy_client_shares (descriptors, g->env.memory.budget_bytes, &shares);
  if (s->caller_connections)
    shares.callers = (uint32_t)s->caller_connections;
  wy_json_log ("clients.limits",
               "descriptors=%u callers=%u peers=%u ready=%u metrics=%u "
               "unread=%lld reader_timeout_ms=%lld",
               descriptors, shares.callers, shares.peers, shares.readiness,
               shares.metrics, (long long)s->unread_response_bytes,
               (long long)(s->reader_timeout_s * WY_MS_PER_S));
  return shares;
}

/* Prepare the bounds that the servers of G share.  */
void
wy_gate_start_overload (struct wy_gate *g)
{
  struct wy_h1_overload_options o
      = { .loop = g->o.loop,
          .memory = &g->env.memory,
          .on_yield = wy_h1_log_yield,
          .on_accept_failed = wy_h1_log_accept_failed };

  g->overload = wy_h1_overload_new (&o);
}

/* Register the metrics of clients' connections.  */
void
wy_gate_register_client_metrics (struct wy_gate *g)
{
  struct wy_gate_client_gauges *v = &g->gauges.clients;
  struct wy_metrics *m = g->metrics;

  v->open = wy_metrics_gauge (m, "wy_gate_caller_connections",
                              "Connections open from callers");
  for (int r = 0; r < WY_H1_YIELD_REASONS; r++)
    {
      char name[NAME_SIZE_BYTES];

      snprintf (name, sizeof name, "wy_gate_clients_gave_way_%s",
                wy_h1_yield_name ((enum wy_h1_yield_reason)r));
      v->yields[r] = wy_metrics_gauge (
          m, name, "Connections that gave way since the start, by reason");
    }
  v->unread_pauses = wy_metrics_gauge (
      m, "wy_gate_clients_unread_pauses",
      "Times that a request waited until its client had read");
  v->turns_cut = wy_metrics_gauge (
      m, "wy_gate_clients_turns_cut",
      "Times that requests sent ahead waited for other connections");
  v->accepts_deferred = wy_metrics_gauge (
      m, "wy_gate_clients_accepts_deferred",
      "Times that a connection waited since all others were in use");
  v->places_passed = wy_metrics_gauge (
      m, "wy_gate_clients_places_passed",
      "Connections closed after a response since another one waited");
  v->accepts_failed
      = wy_metrics_gauge (m, "wy_gate_clients_accepts_failed",
                          "Connections that could not be accepted");
}

/* Set the gauges of clients' connections.  */
void
wy_gate_update_client_gauges (const struct wy_gate *g)
{
  const struct wy_gate_client_gauges *v = &g->gauges.clients;
  const struct wy_h1_overload_stats *s = &g->overload->stats;

  *v->open = wy_h1_server_connections (g->caller_server);
  for (int r = 0; r < WY_H1_YIELD_REASONS; r++)
    *v->yields[r] = (int64_t)s->yields[r];
  *v->unread_pauses = (int64_t)s->unread_pauses;
  *v->turns_cut = (int64_t)s->turns_cut;
  *v->accepts_deferred = (int64_t)s->accepts_deferred;
  *v->places_passed = (int64_t)s->places_passed;
  *v->accepts_failed = (int64_t)s->accepts_failed;
}
