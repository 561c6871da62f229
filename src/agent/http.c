/* Metrics and health checks of an agent.  */
#include "agent/http.h"

#include <string.h>

#include <jansson.h>

#include "agent/links.h"
#include "http/json.h"

enum
{
  STATUS_OK = 200,
  STATUS_NOT_FOUND = 404,
  STATUS_UNAVAILABLE = 503,
  CONNECTIONS_MAX = 64,
  REQUEST_LIMIT_BYTES = 4096
};

/* Whether the agent accepts requests now.  */
bool
wy_agent_is_ready (const struct wy_agent *a)
{
  if (a->leaving || a->target.state != WY_TARGET_UP)
    return false;
  return a->s->target_kind == WY_TARGET_MODEL ? a->target.version > 0
                                              : a->document != NULL;
}

static void
print_metrics (struct wy_agent *a, struct wy_http_exchange *ex)
{
  GString *out = g_string_new (NULL);

  *a->n.runs = g_hash_table_size (a->runs);
  *a->n.retained_bytes = (int64_t)a->retained_bytes;
  wy_metrics_print (a->metrics, out);
  wy_http_respond (ex, STATUS_OK, "text/plain; version=0.0.4", out->str,
                   out->len);
  g_string_free (out, TRUE);
}

static void
on_request (struct wy_http_exchange *ex, void *ctx)
{
  struct wy_agent *a = ctx;
  const char *path = wy_http_path (ex);

  if (!strcmp (path, "/metrics"))
    print_metrics (a, ex);
  else if (!strcmp (path, "/healthz"))
    wy_http_respond (ex, STATUS_OK, "text/plain", "ok\n", 3);
  else if (!strcmp (path, "/readyz"))
    wy_http_respond (ex,
                     wy_agent_is_ready (a) ? STATUS_OK : STATUS_UNAVAILABLE,
                     "text/plain", "", 0);
  else
    wy_http_respond (ex, STATUS_NOT_FOUND, "text/plain", "", 0);
}

/* Open the port for metrics and health checks.  Returns 0 or
   WY_AGENT_ELISTEN.  */
int
wy_agent_http_start (struct wy_agent *a)
{
  int system_error = 0;
  struct wy_http_server_options o = { .loop = a->loop,
                                      .host = a->s->host,
                                      .port = (uint16_t)a->s->http_port,
                                      .body_limit_bytes = REQUEST_LIMIT_BYTES,
                                      .connection_limit = CONNECTIONS_MAX,
                                      .on_request = on_request,
                                      .ctx = a,
                                      .system_error = &system_error };

  if (!wy_http_server_new (&a->http, &o))
    return 0;
  wy_agent_listen_failed (a, "http_port", o.port, system_error);
  return WY_AGENT_ELISTEN;
}

#define COUNTER(field, help)                                                  \
  a->n.field = wy_metrics_counter (m, "wy_agent_" #field "_total", help)
#define GAUGE(field, help)                                                    \
  a->n.field = wy_metrics_gauge (m, "wy_agent_" #field, help)

/* Register the metrics of A.  */
void
wy_agent_register_metrics (struct wy_agent *a)
{
  struct wy_metrics *m = a->metrics;
  static const char *const results[]
      = { "none", "done", "failed", "crashed", "cancelled", "timed_out" };
  static const char *const ran[] = { "no", "unknown", "yes" };

  COUNTER (submitted, "requests sent by entries");
  COUNTER (attached, "sendings that joined a run");
  COUNTER (started, "runs handed to the target");
  COUNTER (resumed, "runs followed again by a new connection");
  COUNTER (dropped, "results dropped without acknowledgement");
  COUNTER (links_closed, "connections from entries that closed");
  COUNTER (links_bad, "connections closed for a wrong key or bad bytes");
  COUNTER (malformed_responses,
           "responses to calls of this process that were malformed");
  COUNTER (paused, "streams paused for callers");
  COUNTER (moved, "streams whose KV memory was exported");
  COUNTER (target_restarts, "new incarnations of the target");
  COUNTER (unproven, "samples whose weight versions are not proven");
  COUNTER (orders, "orders of entries");
  COUNTER (orders_stale, "orders with an old fencing number");
  GAUGE (runs, "runs known, ended ones included");
  GAUGE (retained_bytes, "bytes of requests and results held");
  GAUGE (links, "entries connected");
  GAUGE (leaving, "1: takes no new work");
  GAUGE (target_up, "1: the target answers");
  GAUGE (version, "weight version in force");
  a->n.wait_ms = wy_metrics_histogram (m, "wy_agent_wait_ms",
                                       "time in the queue before a run");
  for (size_t i = 0; i < sizeof results / sizeof *results; i++)
    {
      char *name = g_strdup_printf ("wy_agent_ended_%s_total", results[i]);
      a->n.ended[i] = wy_metrics_counter (m, name, "runs that ended so");
      g_free (name);
    }
  for (size_t i = 0; i < sizeof ran / sizeof *ran; i++)
    {
      char *name = g_strdup_printf ("wy_agent_refused_%s_total", ran[i]);
      a->n.refused[i]
          = wy_metrics_counter (m, name, "refusals, by whether it ran");
      g_free (name);
    }
}
