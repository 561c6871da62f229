/* Operator interface of an entry: status, events, metrics, probes, and drain
   orders.  */
#include "entry/status.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "entry/clients.h"
#include "entry/orderer.h"
#include "entry/peers.h"
#include "entry/problem.h"

enum
{
  STATUS_OK = 200,
  STATUS_ACCEPTED = 202,
  STATUS_NOT_READY = 503
};

static void
send_json (struct wy_http_exchange *ex, int status, json_t *j)
{
  char *text = json_dumps (j, JSON_COMPACT);

  wy_http_respond (ex, status, "application/json", text, strlen (text));
  free (text);
  json_decref (j);
}

static const char *
target_state (const struct wy_peer *p)
{
  if (!p->keep_connected)
    return "not_in_subset";
  if (!p->ready)
    return "away";
  if (p->leaving)
    return "leaving";
  if (p->has_load && !p->load.target_up)
    return "down";
  return "up";
}

static json_t *
target_json (const struct wy_peer *p)
{
  const struct wy_target_load *t = &p->load;

  return json_pack (
      "{s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:I, s:I, s:I, s:I, s:I, s:i}",
      "id", p->id, "serves", p->pool->name, "availability_zone",
      p->availability_zone, "state", target_state (p), "incarnation",
      p->incarnation ? p->incarnation : "", "running", (int)t->running,
      "queued_interactive", (int)t->queued_interactive, "queued_rollout",
      (int)t->queued_rollout, "kv_used_tokens", (json_int_t)t->kv_used_tokens,
      "kv_total_tokens", (json_int_t)t->kv_total_tokens, "version",
      (json_int_t)t->version, "staged_version", (json_int_t)t->staged_version,
      "config_revision", (json_int_t)p->config_revision, "open",
      (int)p->requests.length);
}

static json_t *
targets_json (struct wy_entry *e)
{
  json_t *list = json_array ();
  GPtrArray *all = wy_peers_all (e);

  for (guint i = 0; i < all->len; i++)
    json_array_append_new (list, target_json (all->pdata[i]));
  g_ptr_array_unref (all);
  return list;
}

/* Whether E is ready to serve: not stopping, and configuration and instance
   list are known.  */
bool
wy_entry_ready (const struct wy_entry *e)
{
  return !e->stopping && e->list_known && e->document;
}

static json_t *
yards_json (const struct wy_entry *e)
{
  json_t *list = json_array ();

  for (guint i = 0; e->document && i < e->document->yards->len; i++)
    {
      const struct wy_yard_config *y = e->document->yards->pdata[i];

      json_array_append_new (
          list,
          json_pack ("{s:s, s:s, s:s, s:i, s:i}", "name", y->name, "model",
                     y->model, "weighs",
                     y->weighs == WY_WEIGHS_STALENESS ? "staleness" : "idle",
                     "staleness_bound", (int)y->staleness_bound, "trainers",
                     (int)y->trainers->len));
    }
  return list;
}

/* Respond to EX with the status of E.  */
void
wy_status_http (struct wy_entry *e, struct wy_http_exchange *ex,
                const char *tail)
{
  int64_t list_age_ms
      = e->list_known ? wy_clock_mono_ms (e->clock) - e->list_received_ms : -1;
  json_t *j = json_pack (
      "{s:s, s:s, s:s, s:b, s:I, s:I, s:I, s:i, s:o, s:o}", "name", e->s->name,
      "incarnation", wy_trace_incarnation (e->trace), "availability_zone",
      e->s->availability_zone, "ready", wy_entry_ready (e), "config_revision",
      (json_int_t)wy_config_feed_revision (e->feed), "config_confirmed_ms",
      (json_int_t)wy_config_feed_confirmed_ms (e->feed), "list_age_ms",
      (json_int_t)list_age_ms, "open_requests", (int)e->open.length, "targets",
      targets_json (e), "yards", yards_json (e));

  if (e->hooks.status)
    e->hooks.status (e->hooks.ctx, j);
  send_json (ex, STATUS_OK, j);
}

/* Respond to EX with the events after number `after' of the query; the next
   number is in a header.  */
void
wy_status_events (struct wy_entry *e, struct wy_http_exchange *ex,
                  const char *tail)
{
  const char *query = wy_http_query (ex);
  uint64_t after = 0;
  GString *out = g_string_new (NULL);
  char next[24];

  if (g_str_has_prefix (query, "after="))
    after = strtoull (query + strlen ("after="), NULL, 10);
  g_snprintf (next, sizeof next, "%" G_GUINT64_FORMAT,
              (guint64)wy_trace_read (e->trace, after, out));
  wy_http_add_header (ex, "waxwing-next", next);
  wy_http_respond (ex, STATUS_OK, "application/jsonl", out->str, out->len);
  g_string_free (out, TRUE);
}

/* Respond to EX with the metrics.  */
void
wy_status_metrics (struct wy_entry *e, struct wy_http_exchange *ex,
                   const char *tail)
{
  GString *out = g_string_new (NULL);
  GHashTableIter i;
  gpointer value;

  *e->counters.peers_connected = 0;
  g_hash_table_iter_init (&i, e->peers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    *e->counters.peers_connected += ((struct wy_peer *)value)->ready;
  *e->counters.config_revision = wy_config_feed_revision (e->feed);
  wy_entry_update_client_gauges (e);
  wy_metrics_print (e->metrics, out);
  wy_http_respond (ex, STATUS_OK, "text/plain; version=0.0.4", out->str,
                   out->len);
  g_string_free (out, TRUE);
}

/* Liveness probe.  */
void
wy_status_health (struct wy_entry *e, struct wy_http_exchange *ex,
                  const char *tail)
{
  wy_http_respond (ex, STATUS_OK, "text/plain", "ok\n", 3);
}

/* Readiness probe: whether the load balancer may send callers here.  */
void
wy_status_ready (struct wy_entry *e, struct wy_http_exchange *ex,
                 const char *tail)
{
  static const char no[] = "not ready\n";

  if (wy_entry_ready (e))
    wy_http_respond (ex, STATUS_OK, "text/plain", "ready\n", 6);
  else
    wy_http_respond (ex, STATUS_NOT_READY, "text/plain", no, strlen (no));
}

/* Order a target to drain or undrain: TAIL is ID/drain or ID/undrain.  */
void
wy_status_target (struct wy_entry *e, struct wy_http_exchange *ex,
                  const char *tail)
{
  struct wy_problem missing = { .reason = WY_REASON_NOT_FOUND };
  const char *slash = strrchr (tail, '/');
  char *id = slash ? g_strndup (tail, (gsize)(slash - tail)) : NULL;
  bool drain = slash && !strcmp (slash, "/drain");
  struct wy_order_request o
      = { .target = id, .kind = drain ? WY_ORDER_DRAIN : WY_ORDER_UNDRAIN };

  if (!id || (!drain && strcmp (slash, "/undrain") != 0)
      || !g_hash_table_contains (e->peers, id))
    wy_problem_send (ex, &missing);
  else
    {
      wy_order_send (e, &o, 0, NULL, NULL);
      send_json (ex, STATUS_ACCEPTED,
                 json_pack ("{s:s, s:b}", "target", id, "drain", drain));
    }
  g_free (id);
}
