/* Metrics of an orderer: its load orders, their outcomes, and the loaded
   version compared with the one requested by trainers.  */
#include "orders/orderer_state.h"

#include "h1/overload_log.h"
#include "h1/response_check.h"
#include "platform/replica_wire.h"
#include "trace/json_log.h"

enum
{
  OUTCOMES_MAX = 16,
  HEADER_BYTES = 8192,
  BODY_BYTES = 1024,
  TIMEOUT_MS = 5000,
  IDLE_MS = 15000,
  BUFFERED_BYTES = 1 << 20
};

static void
on_yield (void *ctx, const struct wy_h1_yield *y)
{
  struct wy_order_metrics *m = ctx;

  ++*m->gave_way;
  wy_h1_log_yield (NULL, y);
}

static void
create_metrics (struct wy_order_metrics *m)
{
  struct wy_metrics *a = wy_metrics_new ();

  m->all = a;
  m->orders = wy_metrics_counter_family (a, "wy_orderer_orders_total",
                                         "Orders by how they were answered",
                                         OUTCOMES_MAX);
  m->need = wy_metrics_gauge_family (
      a, "wy_orderer_model_need_slots",
      "Average number of slots that the model's jobs need, as read",
      WY_REPLICA_MODELS_MAX);
  m->share = wy_metrics_gauge_family (
      a, "wy_orderer_model_share_replicas",
      "Replicas of the service that the model has", WY_REPLICA_MODELS_MAX);
  m->load_us = wy_metrics_histogram (a, "wy_orderer_load_us",
                                     "Time from an order to its effect");
  m->requested = wy_metrics_gauge (a, "wy_orderer_version_named",
                                   "Newest version named of any model");
  m->loaded = wy_metrics_gauge (a, "wy_orderer_version_held",
                                "The version that the replica has of it");
  m->due = wy_metrics_gauge (
      a, "wy_orderer_version_due",
      "1: a version whose turn has come is not loaded yet");
  m->report_age_ms = wy_metrics_gauge (a, "wy_orderer_report_age_ms",
                                       "Age of the replica's last report");
  m->generation = wy_metrics_gauge (a, "wy_orderer_generation",
                                    "Number that orders carry; 0: none yet");
  m->store_calls = wy_metrics_gauge (a, "wy_orderer_store_calls",
                                     "Calls to the store since the start");
  m->store_direct = wy_metrics_gauge (a, "wy_orderer_store_direct",
                                      "1: the direct path to the store works");
  m->malformed = wy_metrics_counter_family (
      a, "wy_orderer_malformed_responses_total",
      "Responses to calls of this process that were malformed, by reason",
      WY_H1_FAULTS);
  m->gave_way = wy_metrics_counter (
      a, "wy_orderer_clients_gave_way_total",
      "Connections to the metrics that were closed for others");
  m->log_dropped = wy_metrics_gauge (a, "wy_orderer_log_lines_dropped",
                                     "Log lines left out since the start");
}

static void
update_version_gauges (const struct wy_orderer_daemon *d,
                       const struct wy_order_metrics *m)
{
  int64_t now_ms = wy_orderer_now_ms (d);

  *m->requested = 0;
  *m->loaded = 0;
  *m->due = 0;
  for (uint32_t i = 0; i < d->n_versions; i++)
    {
      const struct wy_orderer_version *n = &d->versions[i];
      int64_t loaded = wy_orderer_loaded_version (d, n->v.model);

      if (n->selected && n->due_ms && now_ms >= n->due_ms
          && loaded < n->v.version)
        *m->due = 1;
      if (n->v.version <= *m->requested)
        continue;
      *m->requested = n->v.version;
      *m->loaded = loaded;
    }
}

static void
update_share_gauges (const struct wy_orderer_daemon *d,
                     const struct wy_order_metrics *m)
{
  const struct wy_service *s
      = d->routing ? wy_routing_service (d->routing, d->o.settings->service)
                   : NULL;

  for (uint32_t i = 0; s && i < MIN (d->shares.models, s->models->len); i++)
    {
      char *model
          = wy_metrics_label ("model", g_ptr_array_index (s->models, i));

      *wy_metrics_family_gauge (m->need, model)
          = (int64_t)(d->shares.demand[i].slots + .5);
      *wy_metrics_family_gauge (m->share, model) = d->shares.counts[i];
      g_free (model);
    }
}

static void
on_request (void *ctx, struct wy_h1_request *r)
{
  static const struct wy_h1_header type
      = { "Content-Type", "text/plain; version=0.0.4" };
  struct wy_orderer_daemon *d = ctx;
  struct wy_order_metrics *m = &d->metrics;
  struct wy_rows_stats rows;
  GString *out = g_string_new (NULL);

  wy_rows_stats (d->rows, &rows);
  update_version_gauges (d, m);
  update_share_gauges (d, m);
  *m->report_age_ms
      = d->reported_ms ? wy_orderer_now_ms (d) - d->reported_ms : -1;
  *m->generation = MAX (d->generation, 0);
  *m->store_calls = (int64_t)rows.calls;
  *m->store_direct = rows.direct_ok;
  *m->log_dropped = (int64_t)wy_json_log_dropped ();
  wy_metrics_print (m->all, out);
  wy_h1_respond (r, 200, &type, 1, out->str, out->len);
  g_string_free (out, TRUE);
}

/* Create the metrics and serve them on the address in the settings, if any.
   Returns 0 or WY_H1_EBIND.  */
int
wy_order_metrics_start (struct wy_orderer_daemon *d)
{
  const char *address = d->o.settings->metrics;
  int system_error = 0;
  struct sockaddr_in a;
  char ip[INET_ADDRSTRLEN];
  struct wy_h1_overload_options overload
      = { .loop = d->o.loop,
          .on_yield = on_yield,
          .on_accept_failed = wy_h1_log_accept_failed,
          .ctx = &d->metrics };
  struct wy_h1_server_options o
      = { .loop = d->o.loop,
          .host = ip,
          .limits = { .header_bytes = HEADER_BYTES,
                      .body_bytes = BODY_BYTES,
                      .header_timeout_ms = TIMEOUT_MS,
                      .idle_timeout_ms = IDLE_MS,
                      .buffered_bytes = BUFFERED_BYTES },
          /* One document a turn, since each lists many values.  */
          .clients
          = { .connections = (uint32_t)d->o.settings->metrics_connections,
              .requests_per_turn = 1 },
          .name = "metrics",
          .on_request = on_request,
          .ctx = d,
          .system_error = &system_error };
  int err;

  create_metrics (&d->metrics);
  if (!*address)
    return 0;
  if (!wy_address_parse (address, &a))
    {
      wy_orderer_address_failed (d, "metrics_address", address, UV_EINVAL);
      return WY_H1_EBIND;
    }
  uv_ip4_name (&a, ip, sizeof ip);
  o.port = ntohs (a.sin_port);
  d->metrics.overload = wy_h1_overload_new (&overload);
  o.overload = d->metrics.overload;
  err = wy_h1_server_new (&d->metrics.server, &o);
  if (err)
    wy_orderer_address_failed (d, "metrics_address", address, system_error);
  return err;
}

void
wy_order_metrics_stop (struct wy_orderer_daemon *d)
{
  if (d->metrics.server)
    wy_h1_server_free (d->metrics.server);
  if (d->metrics.overload)
    wy_h1_overload_close (d->metrics.overload);
}

/* Count an order that ended with OUTCOME.  */
void
wy_order_metrics_outcome (struct wy_order_metrics *m, const char *outcome)
{
  char *label = wy_metrics_label ("outcome", outcome);

  ++*wy_metrics_family_counter (m->orders, label);
  g_free (label);
}
