/* Stop of the gate within its grace time.  */
#include "decide/stop.h"
#include "gate/gate_state.h"
#include "gate/proxy.h"
#include "gate/response.h"
#include "trace/json_log.h"

/* Reason for refusing requests, and for giving up those in progress.  */
#define REASON_STOPPING "stopping"

enum
{
  /* Another entry can serve the caller at once.  */
  RETRY_AFTER_MS = 50,
  /* The store's response to a call on a job, and to the acceptance of one, is
     awaited for this long.  */
  JOB_CALL_MS = 2500
};

static struct wy_stop
stop_of (const struct wy_gate *g)
{
  return (struct wy_stop){
    .since_ms = wy_clock_mono_ms (g->env.clock) - g->stop_requested_ms,
    .grace_ms = (int64_t)(g->o.settings->grace_s * WY_MS_PER_S)
  };
}

/* Connections of callers and other processes that must not be cut off.  */
static uint32_t
unfinished (const struct wy_gate *g)
{
  return wy_h1_server_unfinished (g->caller_server)
         + wy_h1_server_unfinished (g->ready_server)
         + wy_h1_server_unfinished (g->peer_server)
         + (g->metrics_server ? wy_h1_server_unfinished (g->metrics_server)
                              : 0);
}

static void
end_process (struct wy_gate *g, const char *reason)
{
  if (g->stopped)
    return;
  g->stopped = true;
  wy_json_log ("process.stop",
               "reason=%s requests=%u unsent=%u unfinished=%u jobs=%u", reason,
               wy_h1_server_active (g->caller_server),
               wy_h1_server_unsent (g->caller_server), unfinished (g),
               wy_jobs_running (g->jobs));
  g->o.on_stopped (g->o.ctx);
}

static void
leave (struct wy_gate *g, const struct wy_stop *s)
{
  g->has_left = true;
  g->env.stopping = true;
  wy_members_set_leaving (g->members);
  wy_json_log ("process.handing_over", "jobs=%u since_ms=%lld",
               wy_jobs_running (g->jobs), (long long)s->since_ms);
}

static bool
closes_idle (void *ctx, int64_t idle_ms)
{
  return wy_stop_closes_idle (ctx, idle_ms);
}

/* Continue a requested stop; called at each tick.  */
void
wy_gate_check_stop (struct wy_gate *g)
{
  struct wy_stop s = stop_of (g);
  struct wy_stop_work w = { .connections = unfinished (g),
                            .jobs = wy_jobs_running (g->jobs),
                            .has_left = g->has_left };

  wy_h1_server_close_idle (g->caller_server, closes_idle, &s);
  if (wy_stop_gives_up (&s))
    {
      wy_proxy_give_up_all (&g->env, REASON_STOPPING);
      wy_jobs_end_submissions (g->jobs, REASON_STOPPING);
    }
  switch (wy_stop_next (&s, &w))
    {
    case WY_STOP_GO_ON:
      break;
    case WY_STOP_LEAVE:
      leave (g, &s);
      break;
    case WY_STOP_END_IDLE:
      end_process (g, "idle");
      break;
    case WY_STOP_END_OF_TIME:
      end_process (g, "grace_over");
      break;
    }
}

/* What the stop decides on of the request INFO on ROUTE, or of the call on a
   job if ROUTE is NULL.  */
static struct wy_stop_request
view_of (const struct wy_request_info *info, const struct wy_route *route,
         const struct wy_job_call *call)
{
  struct wy_stop_request r = { .is_repeatable = true };

  if (!route)
    {
      r.limit_ms = (int64_t)call->wait_ms + JOB_CALL_MS;
      return r;
    }
  if (route->kind == WY_ROUTE_JOB)
    {
      r.limit_ms = JOB_CALL_MS;
      return r;
    }
  r.is_repeatable = route->kind == WY_ROUTE_IDEMPOTENT;
  r.typical_ms = route->target_latency_ms;
  r.limit_ms = route->timeout_ms;
  /* A limit of 0 would stand for none.  */
  if (info->time_left_ms >= 0
      && (!r.limit_ms || info->time_left_ms < r.limit_ms))
    r.limit_ms = MAX (info->time_left_ms, 1);
  return r;
}

static void
refuse (struct wy_gate *g, struct wy_h1_request *r,
        const struct wy_request_info *info, const struct wy_stop_request *v)
{
  struct wy_rejection o = { .reason = REASON_STOPPING,
                            .ends = WY_REJECTION_ENDS_NEVER,
                            .default_ms = RETRY_AFTER_MS,
                            .time_left_ms = info->time_left_ms };
  struct wy_retry_after_time t = wy_rejections_tell (g->env.rejections, &o);
  char fields[WY_REJECTION_FIELDS_SIZE_BYTES];

  (*g->env.count.refused)++;
  wy_json_log ("request.ended",
               "id=%s outcome=refused status=503 reason=" REASON_STOPPING
               " since_ms=%lld limit_ms=%lld repeatable=%d %s",
               info->id ? info->id : "", (long long)stop_of (g).since_ms,
               (long long)v->limit_ms, v->is_repeatable,
               wy_rejection_fields (&t, fields));
  wy_respond_status (r, 503, REASON_STOPPING, t.ms);
}

/* Refuse R, described by INFO, if the gate stops and may not finish it.
   ROUTE is its route, or NULL for CALL, a call on a job.  Return whether R was
   refused.  */
bool
wy_gate_refuse_at_stop (struct wy_gate *g, struct wy_h1_request *r,
                        const struct wy_request_info *info,
                        const struct wy_route *route,
                        const struct wy_job_call *call)
{
  struct wy_stop s;
  struct wy_stop_request v;

  if (!g->stop_requested_ms)
    return false;
  s = stop_of (g);
  v = view_of (info, route, call);
  if (wy_stop_admits (&s, &v)
      && !(g->has_left && route && route->kind == WY_ROUTE_JOB))
    return false;
  refuse (g, r, info, &v);
  return true;
}

/* Stop within the grace time.  The entry is no longer ready, so the load
   balancer sends no new connections; work in progress is finished first.  A
   further call changes nothing.  */
void
wy_gate_stop (struct wy_gate *g)
{
  if (g->stop_requested_ms)
    return;
  g->stop_requested_ms = wy_clock_mono_ms (g->env.clock);
  wy_json_log ("process.stopping", "requests=%u unsent=%u jobs=%u",
               wy_h1_server_active (g->caller_server),
               wy_h1_server_unsent (g->caller_server),
               wy_jobs_running (g->jobs));
  wy_h1_server_announce_close (g->caller_server);
  wy_members_set_draining (g->members);
  wy_gate_stop_duties (g);
}
