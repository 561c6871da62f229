/* Memory of an entry: its budget, and what is logged and measured of it.  */
#include "gate/gate_state.h"

#include <stdio.h>

#include "platform/request_wire.h"
#include "trace/json_log.h"

enum
{
  LABELS_SIZE_BYTES = 64,
  ADDRESS_SIZE_BYTES = 32
};

static void
log_shed (const char *id, const char *peer, size_t unsent_bytes,
          uint32_t silent_ms)
{
  wy_json_log ("memory.shed", "id=%s peer=%s unsent=%zu silent_ms=%u", id,
               peer, unsent_bytes, silent_ms);
}

/* Whether R may be rejected for lack of memory before its body is read.  A
   submission of a job may not: if the job was accepted before, 503 would be
   wrong, and wy_jobs_accept knows.  */
bool
wy_gate_may_reject_body (void *ctx, const struct wy_h1_request *r)
{
  const struct wy_gate *g = ctx;
  struct wy_request_info info;
  const struct wy_route *route;

  wy_request_parse_head (wy_h1_head (r), &info);
  route = g->env.routing && info.host
              ? wy_routing_match (g->env.routing, info.host, wy_h1_target (r))
              : NULL;
  if (route && route->kind == WY_ROUTE_JOB)
    return false;
  wy_json_log ("request.ended",
               "id=%s route=%s outcome=refused status=503 reason=memory",
               info.id ? info.id : "", route ? route->name : "");
  return true;
}

/* The connection of a caller that reads nothing is about to be closed.  */
void
wy_gate_on_shed_caller (void *ctx, const struct wy_h1_request *r,
                        size_t unsent_bytes, uint32_t silent_ms)
{
  struct wy_request_info info;

  wy_request_parse_head (wy_h1_head (r), &info);
  log_shed (info.id ? info.id : "", "caller", unsent_bytes, silent_ms);
}

/* A call to PEER, which does not read its request, is about to be ended.  */
void
wy_gate_on_shed_peer (void *ctx, const struct sockaddr_in *peer,
                      size_t unsent_bytes, uint32_t silent_ms)
{
  char ip[INET_ADDRSTRLEN];
  char address[ADDRESS_SIZE_BYTES];

  uv_ip4_name (peer, ip, sizeof ip);
  snprintf (address, sizeof address, "%s:%u", ip, ntohs (peer->sin_port));
  log_shed ("", address, unsent_bytes, silent_ms);
}

/* Log the level of the memory account if it has changed since the last line,
   also if it has risen and fallen again between two calls.  */
void
wy_gate_log_memory_level (struct wy_gate *g)
{
  struct wy_memory_account *a = &g->env.memory;
  enum wy_memory_level level = wy_memory_account_level (a);

  if (level == g->logged_memory_level
      && a->highest_level <= g->logged_memory_level)
    return;
  wy_json_log (
      "memory.level",
      "level=%s before=%s highest=%s total=%lld peak=%lld budget=%lld "
      "to_callers=%lld "
      "to_replicas=%lld bodies=%lld connections=%lld responses=%lld jobs=%lld "
      "store=%lld "
      "paused=%u rejections=%llu sheds=%llu",
      wy_memory_level_name (level),
      wy_memory_level_name (g->logged_memory_level),
      wy_memory_level_name (a->highest_level), (long long)a->total_bytes,
      (long long)a->peak_bytes, (long long)a->budget_bytes,
      (long long)a->bytes[WY_MEMORY_TO_CALLERS],
      (long long)a->bytes[WY_MEMORY_TO_REPLICAS],
      (long long)a->bytes[WY_MEMORY_BODIES],
      (long long)a->bytes[WY_MEMORY_CONNECTIONS],
      (long long)a->bytes[WY_MEMORY_RESPONSES],
      (long long)a->bytes[WY_MEMORY_JOBS],
      (long long)a->bytes[WY_MEMORY_STORE],
      wy_read_pauses_count (g->env.read_pauses),
      (unsigned long long)a->rejections, (unsigned long long)a->sheds);
  g->logged_memory_level = level;
  a->highest_level = level;
}

/* Register the metrics of the memory account.  */
void
wy_gate_register_memory_metrics (struct wy_gate *g)
{
  struct wy_gate_memory_gauges *v = &g->gauges.memory;
  struct wy_metrics *m = g->metrics;

  for (int c = 0; c < WY_MEMORY_CLASSES; c++)
    {
      char name[LABELS_SIZE_BYTES];

      snprintf (name, sizeof name, "wy_gate_memory_%s_bytes",
                wy_memory_class_name ((enum wy_memory_class)c));
      v->bytes[c] = wy_metrics_gauge (m, name, "Bytes held, by what for");
    }
  v->budget = wy_metrics_gauge (m, "wy_gate_memory_budget_bytes",
                                "What requests and jobs may hold together");
  v->peak = wy_metrics_gauge (m, "wy_gate_memory_peak_bytes",
                              "The most they held since the start");
  v->level = wy_metrics_gauge (m, "wy_gate_memory_level",
                               "0: normal, 1: pause_reading, 2: reject_new,"
                               " 3: shed");
  v->levels_raised
      = wy_metrics_gauge (m, "wy_gate_memory_levels_raised",
                          "Times that the level rose since the start");
  v->paused = wy_metrics_gauge (m, "wy_gate_memory_paused_reads",
                                "Responses that are not read for now");
  v->rejections = wy_metrics_gauge (
      m, "wy_gate_memory_rejections",
      "Requests and jobs rejected for lack of memory since the start");
  v->sheds = wy_metrics_gauge (
      m, "wy_gate_memory_sheds",
      "Connections closed since their reader took nothing, since the start");
}

/* Set the gauges of the memory account.  */
void
wy_gate_update_memory_gauges (const struct wy_gate *g)
{
  const struct wy_gate_memory_gauges *v = &g->gauges.memory;
  const struct wy_memory_account *a = &g->env.memory;

  for (int c = 0; c < WY_MEMORY_CLASSES; c++)
    *v->bytes[c] = a->bytes[c];
  *v->budget = a->budget_bytes;
  *v->peak = a->peak_bytes;
  *v->level = wy_memory_account_level (a);
  *v->levels_raised = (int64_t)a->levels_raised;
  *v->paused = wy_read_pauses_count (g->env.read_pauses);
  *v->rejections = (int64_t)a->rejections;
  *v->sheds = (int64_t)a->sheds;
}
