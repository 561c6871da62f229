/* End of a forwarded request: success, failure, or hang-up of the caller.  */
#include "gate/proxy_state.h"

#include <string.h>

#include "base/id.h"
#include "decide/attempt.h"
#include "gate/servable.h"
#include "trace/json_log.h"

enum
{
  /* When a rejected caller may retry: targets at capacity have a free slot
     again after a few requests, targets that are gone take longer.  */
  RETRY_AFTER_FULL_MS = 200,
  RETRY_AFTER_NO_TARGET_MS = 500,
  /* Silent readers are closed after 2 s; until then the callers that return
     must not all be here at once.  */
  RETRY_AFTER_MEMORY_MS = 1000,
  /* A retry is of no use before an operator has looked at the request.  */
  RETRY_AFTER_CRASHES_MS = 30000,
  /* An equal request that runs will have been answered, or have crashed its
     replica.  */
  RETRY_AFTER_SUSPECT_MS = 200,
  STATUS_INTERNAL_ERROR = 500,
  STATUS_UNAVAILABLE = 503
};

/* The organisation of P's caller, "" for none.  */
const char *
wy_proxy_organisation (const struct wy_proxy_request *p)
{
  return p->organisation ? p->organisation : "";
}

/* Monotonic time in ms.  */
int64_t
wy_proxy_now_ms (const struct wy_proxy_request *p)
{
  return wy_clock_mono_ms (p->env->clock);
}

/* Fingerprint of P, a hash of its request target and body, by which the same
   request is recognized when it is sent again; never 0.  */
uint64_t
wy_proxy_fingerprint (struct wy_proxy_request *p)
{
  const char *target = wy_h1_target (p->request);
  size_t n;
  const char *body = wy_h1_body (p->request, &n);

  if (p->fingerprint)
    return p->fingerprint;
  p->fingerprint = wy_hash64 (body, n, wy_hash64 (target, strlen (target), 0));
  if (p->fingerprint == 0)
    p->fingerprint = 1;
  return p->fingerprint;
}

/* End T with OUTCOME for its target.  Does nothing if T isn't in use.  */
void
wy_proxy_end_attempt (struct wy_proxy_attempt *t,
                      enum wy_target_outcome outcome)
{
  struct wy_target *g = t->target;

  if (!g)
    return;
  wy_read_source_end (t->p->env->read_pauses, &t->source);
  if (t->call)
    wy_h1_call_cancel (t->call);
  t->call = NULL;
  t->target = NULL;
  wy_response_free (t->response);
  t->response = NULL;
  wy_sse_clear (&t->events);
  wy_stream_run_ended (&t->p->stream, &t->run);
  wy_target_request_ended (t->p->env->targets, g, outcome,
                           wy_proxy_now_ms (t->p));
}

static void
on_timer_closed (uv_handle_t *h)
{
  g_free (h->data);
}

/* Outcome for the target of T, which is cancelled.  A target that has not
   begun to respond within the hedge delay is avoided for a while; otherwise
   each caller in turn would wait that long for it.  */
static enum wy_target_outcome
outcome_of (const struct wy_proxy_attempt *t)
{
  const struct wy_proxy_request *p = t->p;

  if (!t->target || t->response
      || wy_proxy_now_ms (p) - t->started_ms < (int64_t)p->hedge_delay_ms)
    return WY_TARGET_CANCELLED;
  return WY_TARGET_STALLED;
}

/* Cancel the attempts of P that are still running and free P.  Its response
   has been sent.  REASON is logged for each of them; NULL: they have been
   logged.  */
void
wy_proxy_free (struct wy_proxy_request *p, const char *reason)
{
  p->ended = true;
  g_queue_unlink (&p->env->proxied, &p->link);
  wy_proxy_uncount_memory (p);
  for (size_t i = 0; i < WY_PROXY_ATTEMPTS_MAX; i++)
    {
      struct wy_proxy_attempt *t = &p->running[i];

      if (t->target && reason)
        wy_proxy_cancel_attempt (t, reason);
      else
        wy_proxy_end_attempt (t, outcome_of (t));
    }
  for (guint i = 0; i < p->tried->len; i++)
    wy_target_unref (p->env->targets, g_ptr_array_index (p->tried, i));
  wy_proxy_usage_end (p, true);
  wy_proxy_end_isolation (p);
  g_ptr_array_free (p->tried, TRUE);
  wy_response_free (p->error_response);
  g_free (p->id);
  g_free (p->route);
  g_free (p->service);
  g_free (p->organisation);
  uv_close ((uv_handle_t *)&p->timer, on_timer_closed);
}

/* Record the end of P in the metrics.  */
static void
count_end (const struct wy_proxy_request *p, const char *outcome,
           const char *reason)
{
  char *route = wy_metrics_label ("route", p->route);
  char *service = wy_metrics_label ("service", p->service);
  char *outcome_label = wy_metrics_label ("outcome", outcome);
  char *reason_label = wy_metrics_label ("reason", reason);
  char *ended = g_strjoin (",", route, outcome_label, reason_label, NULL);
  char *latency = g_strjoin (",", route, service, outcome_label, NULL);
  int64_t ms = wy_proxy_now_ms (p) - p->started_ms;

  wy_rejections_return_ended (p->env->rejections, p->service, p->returned,
                              outcome);
  ++*wy_metrics_family_counter (p->env->count.requests_ended, ended);
  wy_hist_add (
      wy_metrics_family_histogram (p->env->count.latency_by_route, latency),
      (uint64_t)ms * WY_US_PER_MS);
  g_free (latency);
  g_free (ended);
  g_free (reason_label);
  g_free (outcome_label);
  g_free (service);
  g_free (route);
}

static void
log_end (const struct wy_proxy_request *p, const char *outcome, int status,
         const char *reason)
{
  count_end (p, outcome, reason);
  wy_json_log (
      "request.ended",
      "id=%s route=%s service=%s organisation=%s config=%lld outcome=%s "
      "status=%d reason=%s sends=%u ms=%lld",
      p->id, p->route, p->service, wy_proxy_organisation (p),
      (long long)p->config_version, outcome, status, reason, p->sends,
      (long long)(wy_proxy_now_ms (p) - p->started_ms));
}

/* The caller has hung up.  */
void
wy_proxy_on_hangup (void *ctx)
{
  struct wy_proxy_request *p = ctx;

  for (size_t i = 0; i < WY_PROXY_ATTEMPTS_MAX; i++)
    wy_proxy_note_cancelled (&p->running[i]);
  p->request = NULL;
  (*p->env->count.hung_up)++;
  log_end (p, "hung_up", 0, "caller");
  wy_proxy_free (p, "caller_left");
}

/* The number of the attempt of T's request that is in progress beside T; 0:
   none.  */
static uint32_t
number_beside (const struct wy_proxy_attempt *t)
{
  for (size_t i = 0; i < WY_PROXY_ATTEMPTS_MAX; i++)
    {
      const struct wy_proxy_attempt *other = &t->p->running[i];

      if (other != t && other->target)
        return other->run.number;
    }
  return 0;
}

static const char *
start_reason (const struct wy_proxy_attempt *t, uint32_t beside)
{
  if (t->run.number == 1)
    return "first";
  if (beside)
    return "hedge";
  return t->p->stream.begun ? "resumption" : "retry";
}

/* Log that T has been started, and why.  The first attempt of a request that
   isn't streamed is left out: the request's end names its target.  */
void
wy_proxy_log_started (const struct wy_proxy_attempt *t)
{
  const struct wy_proxy_request *p = t->p;
  uint32_t beside = number_beside (t);

  if (t->run.number == 1 && p->kind != WY_ROUTE_STREAM)
    return;
  wy_json_log ("request.run_started",
               "id=%s run=%u target=%s reason=%s beside=%u after=%lld "
               "in_flight=%u",
               p->id, t->run.number, t->target->info.id,
               start_reason (t, beside), beside,
               (long long)p->stream.last_event, t->target->in_flight);
}

/* Status of the response to T; 0: none so far.  */
static int
status_of (const struct wy_proxy_attempt *t)
{
  return t->response ? t->response->status : 0;
}

/* Cancel T, which is still running, for REASON.  */
void
wy_proxy_cancel_attempt (struct wy_proxy_attempt *t, const char *reason)
{
  wy_json_log ("request.run_cancelled",
               "id=%s run=%u target=%s reason=%s status=%d events=%u "
               "first=%lld last=%lld ms=%lld",
               t->p->id, t->run.number, t->target->info.id, reason,
               status_of (t), t->run.n_events, (long long)t->run.first_event,
               (long long)t->run.last_event,
               (long long)(wy_proxy_now_ms (t->p) - t->started_ms));
  wy_proxy_end_attempt (t, outcome_of (t));
}

/* Log that T has ended the caller's response with its own.  */
static void
log_run_ended (const struct wy_proxy_attempt *t, int status)
{
  if (t->p->kind != WY_ROUTE_STREAM)
    return;
  wy_json_log ("request.run_ended",
               "id=%s run=%u target=%s status=%d events=%u first=%lld "
               "last=%lld ms=%lld",
               t->p->id, t->run.number, t->target->info.id, status,
               t->run.n_events, (long long)t->run.first_event,
               (long long)t->run.last_event,
               (long long)(wy_proxy_now_ms (t->p) - t->started_ms));
}

/* Log that T has ended without a usable response, and the known state of its
   target.  */
void
wy_proxy_log_failed_attempt (const struct wy_proxy_attempt *t,
                             const char *outcome)
{
  const struct wy_target *g = t->target;
  int64_t now_ms = wy_proxy_now_ms (t->p);

  wy_json_log ("request.try_failed",
               "id=%s run=%u target=%s outcome=%s status=%d events=%u "
               "first=%lld last=%lld ms=%lld in_flight=%u failures=%u "
               "load=%u load_age_ms=%lld",
               t->p->id, t->run.number, g->info.id, outcome, status_of (t),
               t->run.n_events, (long long)t->run.first_event,
               (long long)t->run.last_event,
               (long long)(now_ms - t->started_ms), g->in_flight, g->failures,
               g->reported_load,
               g->reported_ms ? (long long)(now_ms - g->reported_ms) : -1LL);
}

/* When the caller of P, which is rejected for REASON, should return.  */
static struct wy_retry_after_time
tell_return (struct wy_proxy_request *p, const char *reason)
{
  struct wy_rejection o
      = { .service = p->service,
          .reason = reason,
          .ends = WY_REJECTION_ENDS_BY_RATE,
          .default_ms = RETRY_AFTER_NO_TARGET_MS,
          .time_left_ms = p->caller_until_ms ? MAX (
                              p->caller_until_ms - wy_proxy_now_ms (p), 0)
                                             : -1 };

  if (!strcmp (reason, WY_PROXY_REASON_CRASHES_TARGETS))
    {
      o.ends = WY_REJECTION_ENDS_NEVER;
      o.default_ms = RETRY_AFTER_CRASHES_MS;
      return wy_rejections_tell (p->env->rejections, &o);
    }
  o.fingerprint = wy_proxy_fingerprint (p);
  o.least_rate_hz = wy_gate_capacity_hz (p->env, p->service);
  if (!strcmp (reason, "full") || !strcmp (reason, WY_PROXY_REASON_NO_TIME))
    o.default_ms = RETRY_AFTER_FULL_MS;
  else if (!strcmp (reason, WY_PROXY_REASON_MEMORY))
    o.not_before_ms = o.default_ms = RETRY_AFTER_MEMORY_MS;
  else if (!strcmp (reason, WY_PROXY_REASON_SUSPECT))
    o.not_before_ms = o.default_ms = RETRY_AFTER_SUSPECT_MS;
  else if (!strcmp (reason, "no_target"))
    o.not_before_ms = RETRY_AFTER_NO_TARGET_MS;
  return wy_rejections_tell (p->env->rejections, &o);
}

static void
log_rejection (const struct wy_proxy_request *p, const char *reason,
               const struct wy_retry_after_time *t)
{
  char fields[WY_REJECTION_FIELDS_SIZE_BYTES];

  count_end (p, "refused", reason);
  wy_json_log (
      "request.ended",
      "id=%s route=%s service=%s organisation=%s config=%lld outcome=refused "
      "status=503 reason=%s fingerprint=%016llx sends=%u ms=%lld %s",
      p->id, p->route, p->service, wy_proxy_organisation (p),
      (long long)p->config_version, reason, (unsigned long long)p->fingerprint,
      p->sends, (long long)(wy_proxy_now_ms (p) - p->started_ms),
      wy_rejection_fields (t, fields));
}

/* Reject the request, which has not run and never will, for REASON.  */
static void
reject (struct wy_proxy_request *p, struct wy_h1_request *r,
        const char *reason, const struct wy_retry_after_time *t)
{
  (*p->env->count.refused)++;
  log_rejection (p, reason, t);
  wy_respond_status (r, STATUS_UNAVAILABLE, reason, t->ms);
}

/* Fail the request for REASON; TIMED_OUT if its deadline has passed.  Status
   503 guarantees that it has not run; 502 and 504 are used if it may have.  */
void
wy_proxy_fail (struct wy_proxy_request *p, bool timed_out, const char *reason)
{
  struct wy_h1_request *r = p->request;
  int status = wy_attempt_failure_status (p->may_have_run, timed_out);
  struct wy_retry_after_time told = { 0 };

  if (status == STATUS_UNAVAILABLE && !p->stream.begun && !p->error_response)
    told = tell_return (p, reason);
  for (size_t i = 0; i < WY_PROXY_ATTEMPTS_MAX; i++)
    if (p->running[i].target)
      {
        wy_proxy_log_failed_attempt (&p->running[i], "unanswered");
        wy_proxy_note_cancelled (&p->running[i]);
      }
  p->request = NULL;
  if (p->stream.begun)
    {
      (*p->env->count.failed)++;
      log_end (p, "broken_off", 0, reason);
      wy_h1_abort (r);
    }
  else if (p->error_response)
    {
      (*p->env->count.answered)++;
      log_end (p, "answered", p->error_response->status, "replica_failed");
      wy_response_send (p->error_response, r);
    }
  else if (status == STATUS_UNAVAILABLE)
    reject (p, r, reason, &told);
  else
    {
      (*p->env->count.failed)++;
      log_end (p, "failed", status, reason);
      wy_respond_status (r, status, reason, 0);
    }
  wy_proxy_free (p, NULL);
}

/* End all requests whose response has not begun, for REASON.  */
void
wy_proxy_give_up_all (struct wy_gate_env *env, const char *reason)
{
  GList *next;

  for (GList *l = env->proxied.head; l; l = next)
    {
      struct wy_proxy_request *p = l->data;

      next = l->next;
      if (p->stream.begun)
        continue;
      p->may_have_run = p->may_have_run || wy_proxy_is_running (p);
      wy_proxy_fail (p, false, reason);
    }
}

/* Pass the response of T on to the caller.  */
void
wy_proxy_succeed (struct wy_proxy_request *p, struct wy_proxy_attempt *t)
{
  struct wy_h1_request *r = p->request;
  struct wy_response *response = t->response;
  int64_t now_ms = wy_proxy_now_ms (p);

  /* An error shows nothing: its replica may not have run the request.  */
  if (response->status < STATUS_INTERNAL_ERROR)
    wy_proxy_clear_suspicion (p);
  p->request = NULL;
  t->response = NULL;
  (*p->env->count.answered)++;
  wy_hist_add (p->env->count.latency_us,
               (uint64_t)(now_ms - p->started_ms) * WY_US_PER_MS);
  wy_json_log ("request.ended",
               "id=%s route=%s service=%s organisation=%s config=%lld "
               "outcome=answered status=%d target=%s sends=%u ms=%lld "
               "target_ms=%lld",
               p->id, p->route, p->service, wy_proxy_organisation (p),
               (long long)p->config_version, response->status,
               t->target->info.id, p->sends,
               (long long)(now_ms - p->started_ms),
               (long long)(now_ms - t->started_ms));
  log_run_ended (t, response->status);
  count_end (p, "answered", "replica");
  wy_rejections_ended (p->env->rejections, p->service);
  if (p->stream.begun)
    wy_h1_end_response (r);
  else
    wy_response_send (response, r);
  wy_response_free (response);
  if (p->kind != WY_ROUTE_STREAM)
    {
      double ms = (double)(now_ms - t->started_ms);

      wy_target_record_pace (t->target, WY_WORK_REQUEST, ms, now_ms);
      wy_service_time_record (
          wy_rejections_service_time (p->env->rejections, p->service), ms,
          now_ms);
    }
  wy_proxy_end_attempt (t, WY_TARGET_ANSWERED);
  wy_proxy_free (p, "answered_by_another");
}
