/* Admission of callers' requests: checks the configuration, the access key and
   the route.  */
#include <string.h>

#include "gate/gate_state.h"
#include "gate/proxy.h"
#include "gate/response.h"
#include "orgs/access.h"
#include "platform/request_wire.h"
#include "trace/json_log.h"

enum
{
  RETRY_AFTER_MS = 500,
  RETRY_AFTER_NO_MEMORY_MS = 1000,
  /* The configuration counts as current if the store has confirmed it within
     this time: twice the interval between its responses while nothing
     changes.  */
  CONFIG_CURRENT_MS = 2000
};

static bool
is_config_current (const struct wy_gate *g)
{
  int64_t age_ms = wy_watch_age_ms (g->operator_watch);

  return age_ms >= 0 && age_ms <= CONFIG_CURRENT_MS;
}

static const char *
credential_name (enum wy_credential c)
{
  static const char *const names[] = { "none", "malformed", "several", "key" };

  return names[c];
}

/* Reject R, described by INFO, with status 503 for REASON, a configuration
   that is unknown or may be old.  It is current again when the store is
   reachable.  */
static void
reject_for_config (struct wy_gate *g, struct wy_h1_request *r,
                   const struct wy_request_info *info, const char *reason)
{
  struct wy_rejection o = { .reason = reason,
                            .ends = WY_REJECTION_ENDS_BY_STORE,
                            .default_ms = RETRY_AFTER_MS,
                            .time_left_ms = info->time_left_ms };
  struct wy_retry_after_time t = wy_rejections_tell (g->env.rejections, &o);
  char fields[WY_REJECTION_FIELDS_SIZE_BYTES];

  wy_json_log ("request.ended",
               "id=%s outcome=refused status=503 reason=%s credential=%s "
               "config=%lld config_age_ms=%lld %s",
               info->id ? info->id : "", reason,
               credential_name (info->credential),
               g->env.routing ? (long long)g->env.routing->version : 0LL,
               (long long)wy_watch_age_ms (g->operator_watch),
               wy_rejection_fields (&t, fields));
  wy_respond_status (r, 503, reason, t.ms);
}

/* Respond to R, described by INFO, with the status for ACCESS and log it.  */
static void
reject_access (struct wy_gate *g, struct wy_h1_request *r,
               const struct wy_request_info *info, enum wy_access access)
{
  int status = access == WY_ACCESS_UNAUTHORIZED ? 401 : 404;
  const char *reason
      = access == WY_ACCESS_UNAUTHORIZED ? "no_valid_key" : "no_route";

  if (access == WY_ACCESS_CONFIG_STALE)
    {
      reject_for_config (g, r, info, "config_may_be_old");
      return;
    }
  wy_json_log ("request.ended",
               "id=%s outcome=refused status=%d reason=%s credential=%s "
               "config=%lld config_age_ms=%lld",
               info->id ? info->id : "", status, reason,
               credential_name (info->credential),
               (long long)g->env.routing->version,
               (long long)wy_watch_age_ms (g->operator_watch));
  if (access == WY_ACCESS_UNAUTHORIZED)
    wy_respond_unauthorized (r, reason);
  else
    wy_respond_status (r, status, reason, 0);
}

static enum wy_access
check_access (const struct wy_gate *g, const struct wy_request_info *info,
              enum wy_route_access route, const struct wy_org **org)
{
  struct wy_access_query q = { .orgs = g->env.routing->orgs,
                               .credential = info->credential,
                               .key = info->key,
                               .route = route,
                               .config_is_current = is_config_current (g) };

  return wy_access_check (&q, org);
}

/* Handle a call on a job, which names no route.  No key is required if the
   host has a public job route, where jobs are submitted without one.  */
static void
handle_job_call (struct wy_gate *g, struct wy_h1_request *r,
                 const struct wy_request_info *info, struct wy_job_call *call)
{
  bool is_public
      = info->host && wy_routing_has_public_jobs (g->env.routing, info->host);
  const struct wy_org *org;
  enum wy_access access = check_access (
      g, info,
      is_public ? WY_ROUTE_ACCESS_PUBLIC : WY_ROUTE_ACCESS_KEY_REQUIRED, &org);

  if (access != WY_ACCESS_ALLOW)
    reject_access (g, r, info, access);
  else if (!wy_gate_refuse_at_stop (g, r, info, NULL, call))
    wy_jobs_handle_call (g->jobs, r, org ? org->name : "", call);
}

/* Forward the caller's request R, or reject it.  */
void
wy_gate_on_request (void *ctx, struct wy_h1_request *r)
{
  struct wy_gate *g = ctx;
  struct wy_request_info info;
  struct wy_job_call call;
  const struct wy_route *route;
  const struct wy_org *org;
  enum wy_access access;

  wy_request_parse_head (wy_h1_head (r), &info);
  if (!g->env.routing)
    {
      reject_for_config (g, r, &info, "no_config");
      return;
    }
  wy_job_call_parse (wy_h1_method (r), wy_h1_target (r), wy_h1_head (r),
                     &call);
  if (call.kind != WY_JOB_CALL_NONE)
    {
      handle_job_call (g, r, &info, &call);
      return;
    }
  route = info.host
              ? wy_routing_match (g->env.routing, info.host, wy_h1_target (r))
              : NULL;
  access = check_access (g, &info,
                         !route             ? WY_ROUTE_ACCESS_UNKNOWN
                         : route->is_public ? WY_ROUTE_ACCESS_PUBLIC
                                            : WY_ROUTE_ACCESS_KEY_REQUIRED,
                         &org);
  if (!route || access != WY_ACCESS_ALLOW)
    reject_access (g, r, &info, access);
  else if (wy_gate_refuse_at_stop (g, r, &info, route, NULL))
    return;
  else if (route->kind == WY_ROUTE_JOB && !strcmp (wy_h1_method (r), "POST"))
    wy_jobs_accept (g->jobs, r, org ? org->name : "", is_config_current (g));
  else
    wy_proxy_start (&g->env, r, route, org);
}

/* R is rejected since there is no memory for its body.  Most bodies are those
   of jobs, so memory is free again as jobs end.  */
uint32_t
wy_gate_on_no_memory (void *ctx, const struct wy_h1_request *r)
{
  struct wy_gate *g = ctx;
  struct wy_request_info info;
  struct wy_rejection o = { .reason = "upload_memory",
                            .ends = WY_REJECTION_ENDS_BY_RATE,
                            .default_ms = RETRY_AFTER_NO_MEMORY_MS };
  struct wy_retry_after_time t;
  char fields[WY_REJECTION_FIELDS_SIZE_BYTES];

  wy_request_parse_head (wy_h1_head (r), &info);
  o.time_left_ms = info.time_left_ms;
  t = wy_rejections_tell (g->env.rejections, &o);
  wy_json_log (
      "request.ended", "id=%s outcome=refused status=503 reason=%s %s",
      info.id ? info.id : "", o.reason, wy_rejection_fields (&t, fields));
  return t.ms;
}
