/* Proxy: forwards a caller's request to a replica and the response back.

   An idempotent request is hedged: if the response is late, the request is
   sent to a second replica while the first still runs it, and the first
   complete response is used.  So a slow or unresponsive replica costs callers
   at most about half of the route's target latency.  A non-idempotent request
   is sent to another replica only if the first states, or the lack of a
   connection proves, that it has not run.  */
#include "gate/proxy_state.h"

#include <string.h>

#include "decide/attempt.h"
#include "gate/crash_watch.h"
#include "gate/servable.h"
#include "platform/request_wire.h"
#include "trace/json_log.h"

enum
{
  /* Requests that replicas reject without running them do not count as
     attempts.  This limits the total.  */
  SENDS_MAX = 8,
  /* On routes without a target latency the hedge is sent after the timeout
     divided by this.  */
  HEDGE_DIVISOR = 4,
  DEFAULT_TIMEOUT_MS = 30000,
  /* The response is sent this long before the caller's deadline, so that it
     arrives in time.  */
  RESPONSE_MARGIN_MS = 10,
  /* When all targets have rejected the request or have just failed, it is
     retried at this interval, for about as long as a target is avoided after a
     rejection.  A stream that has begun is retried until its deadline.  */
  CAPACITY_RETRY_MS = 40,
  CAPACITY_RETRIES_MAX = 6,
  /* The same while an equal request may be about to crash its target.  */
  ISOLATION_RETRY_MS = 20,
  /* If a stream pauses for this long, its replica counts as failed.  */
  STREAM_IDLE_TIMEOUT_MS = 2000,
  /* A stream whose caller reads too slowly is aborted at this size: unsent
     data is buffered in memory.  */
  UNSENT_LIMIT_BYTES = 4 << 20,
  /* A response that isn't streamed is buffered until it is complete; a longer
     one is treated as invalid.  */
  RESPONSE_LIMIT_BYTES = 16 << 20
};

static void on_timer (uv_timer_t *timer);

static bool
is_repeatable (const struct wy_proxy_request *p)
{
  return p->kind == WY_ROUTE_IDEMPOTENT
         || (p->kind == WY_ROUTE_STREAM && p->resumable);
}

static bool
has_running_attempt (const struct wy_proxy_request *p)
{
  for (size_t i = 0; i < WY_PROXY_ATTEMPTS_MAX; i++)
    if (p->running[i].target)
      return true;
  return false;
}

/* An attempt has ended without a usable response: start another one or fail
   the request.  */
static void
continue_or_fail (struct wy_proxy_request *p, const char *reason)
{
  bool repeatable = is_repeatable (p) || !p->may_have_run;

  if (has_running_attempt (p))
    {
      if (repeatable && p->attempts_left)
        wy_proxy_start_attempt (p);
      return;
    }
  if (!repeatable || p->attempts_left == 0
      || (p->sends >= SENDS_MAX && !p->streaming))
    {
      wy_proxy_fail (p, false, reason);
      return;
    }
  wy_proxy_start_attempt (p);
}

static void
attempt_failed (struct wy_proxy_attempt *t, enum wy_target_outcome outcome,
                bool may_have_run, const char *reason)
{
  struct wy_proxy_request *p = t->p;

  wy_proxy_log_failed_attempt (t, reason);
  if (may_have_run)
    p->may_have_run = true;
  else
    p->attempts_left++;
  wy_proxy_end_attempt (t, outcome);
  if (!may_have_run && !p->may_have_run && !has_running_attempt (p))
    wy_proxy_usage_end (p, false);
  wy_sse_reset (&p->events);
  (*p->env->count.retries)++;
  continue_or_fail (p, reason);
}

static void
on_head (void *ctx, const struct wy_h1_response *r)
{
  struct wy_proxy_attempt *t = ctx;
  struct wy_proxy_request *p = t->p;

  t->last_received_ms = wy_proxy_now_ms (p);
  wy_target_response_started (t->target);
  wy_response_parse_head (r->status, r->head, &t->info);
  if (t->info.has_load)
    wy_target_record_load (t->target, t->info.running + t->info.waiting,
                           t->last_received_ms);
  /* A response to another request, left over on the connection.  */
  if (t->info.id && strcmp (t->info.id, p->id) != 0)
    t->invalid = true;
  if (r->status < 300 && (t->info.encoded || !t->info.stamp))
    t->invalid = true;
  t->not_run = t->info.not_run;
  t->response = wy_response_new (r->status, r->head, &p->env->memory);
  if (p->kind == WY_ROUTE_STREAM && r->status == 200 && !t->invalid
      && !p->streaming)
    {
      p->streaming = true;
      wy_response_begin (t->response, p->request);
    }
}

static void
on_event (void *ctx, const struct wy_sse_event *ev)
{
  struct wy_proxy_request *p = ctx;

  if (ev->id >= 0 && ev->id <= p->after_event)
    return;
  if (ev->id >= 0)
    p->after_event = ev->id;
  wy_h1_write_response (p->request, ev->raw, ev->raw_n);
}

static void
on_data (void *ctx, const char *bytes, size_t n)
{
  struct wy_proxy_attempt *t = ctx;
  struct wy_proxy_request *p = t->p;

  t->last_received_ms = wy_proxy_now_ms (p);
  if (t->invalid)
    return;
  if (!p->streaming || t->response->status != 200)
    {
      if (t->response->body->len + n > RESPONSE_LIMIT_BYTES)
        t->invalid = true;
      else
        {
          wy_response_append (t->response, bytes, n);
          wy_proxy_pause_if_behind (t, NULL);
        }
      return;
    }
  wy_sse_feed (&p->events, bytes, n, on_event, p);
  if (wy_h1_unsent_bytes (p->request) > UNSENT_LIMIT_BYTES)
    wy_proxy_fail (p, false, "slow_caller");
  else
    wy_proxy_pause_if_behind (t, p->request);
}

static void
record_interruption (const struct wy_proxy_attempt *t)
{
  struct wy_crash_watch_run r = { .id = t->p->id,
                                  .fingerprint = wy_proxy_fingerprint (t->p),
                                  .target = t->target,
                                  .incarnation = t->incarnation,
                                  .started_ms = t->started_ms };

  wy_crash_watch_run_interrupted (t->p->env, &r);
}

static void
on_end (void *ctx, int err)
{
  struct wy_proxy_attempt *t = ctx;
  struct wy_proxy_request *p = t->p;
  bool refused = wy_h1_call_was_refused (t->call);
  int status = t->response ? t->response->status : 0;
  struct wy_attempt a = { .sent = wy_h1_call_sent (t->call),
                          .complete = !err,
                          .mismatched = t->invalid,
                          .not_run = t->not_run,
                          .status = status };
  bool may_have_run = wy_attempt_may_have_run (&a);

  t->call = NULL;
  if (refused)
    wy_crash_watch_refused (p->env, t->target);
  if (!a.sent)
    attempt_failed (t, WY_TARGET_FAILED, may_have_run, "no_connection");
  else if (err)
    {
      if (!t->response)
        record_interruption (t);
      attempt_failed (t, WY_TARGET_FAILED, may_have_run,
                      err == WY_H1_EPARTIAL ? "cut_short" : "broken_off");
    }
  else if (t->invalid)
    attempt_failed (t, WY_TARGET_FAILED, may_have_run, "spoilt_answer");
  else if (t->not_run)
    attempt_failed (t,
                    status == 421 ? WY_TARGET_MISDIRECTED : WY_TARGET_REJECTED,
                    may_have_run, status == 421 ? "not_there" : "full");
  else if (wy_attempt_is_unclear_refusal (&a) && !p->streaming)
    attempt_failed (t, WY_TARGET_ANSWERED, may_have_run, "unclear_refusal");
  else if (p->streaming && wy_sse_has_partial (&p->events))
    attempt_failed (t, WY_TARGET_FAILED, true, "cut_short");
  else if (status >= 500 && !p->streaming && is_repeatable (p)
           && p->attempts_left)
    {
      wy_response_free (p->error_response);
      p->error_response = t->response;
      t->response = NULL;
      attempt_failed (t, WY_TARGET_ANSWERED, true, "replica_failed");
    }
  else if (t->response)
    wy_proxy_succeed (p, t);
}

static void
send_attempt (struct wy_proxy_request *p, struct wy_target *g,
              struct wy_proxy_attempt *t)
{
  GArray *fields = g_array_new (FALSE, FALSE, sizeof (struct wy_h1_header));
  int64_t now_ms = wy_proxy_now_ms (p);
  struct wy_forward_info f
      = { .replica = g->info.id,
          .time_left_ms = p->has_deadline ? p->deadline_ms - now_ms : -1,
          .after_event = p->after_event,
          .has_orgs = p->has_orgs,
          .organisation = p->organisation };
  struct wy_h1_call_options o = { .address = g->info.address,
                                  .method = wy_h1_method (p->request),
                                  .target = wy_h1_target (p->request),
                                  .on_head = on_head,
                                  .on_data = on_data,
                                  .on_end = on_end,
                                  .ctx = t };

  memset (t, 0, sizeof *t);
  t->p = p;
  t->target = g;
  t->incarnation = g->incarnation;
  t->started_ms = now_ms;
  t->last_received_ms = now_ms;
  wy_proxy_init_source (t);
  wy_request_forward_fields (wy_h1_head (p->request), &f, fields);
  o.fields = (const struct wy_h1_header *)fields->data;
  o.n_fields = fields->len;
  o.body = wy_h1_body (p->request, &o.body_size_bytes);
  o.has_body = strcmp (o.method, "GET") != 0 && strcmp (o.method, "HEAD") != 0;
  wy_target_ref (g);
  g_ptr_array_add (p->tried, g);
  wy_target_request_started (g);
  p->sends++;
  p->attempts_left--;
  wy_proxy_isolate (p);
  wy_proxy_usage_begin (p);
  t->call = wy_h1_call_start (p->env->http, &o);
  g_array_free (fields, TRUE);
}

static struct wy_target *
pick_target (struct wy_proxy_request *p, bool allow_tried)
{
  struct wy_target_criteria q
      = { .service = p->service,
          .availability_zone = p->env->availability_zone,
          .in_flight_limit = wy_gate_in_flight_limit (p->env, p->service),
          .tried = (const struct wy_target *const *)p->tried->pdata,
          .n_tried = allow_tried ? 0 : p->tried->len };

  return wy_targets_pick (p->env->targets, &q, wy_proxy_now_ms (p));
}

static struct wy_proxy_attempt *
unused_attempt (struct wy_proxy_request *p)
{
  for (size_t i = 0; i < WY_PROXY_ATTEMPTS_MAX; i++)
    if (!p->running[i].target)
      return &p->running[i];
  return NULL;
}

static void
arm_timer (struct wy_proxy_request *p)
{
  int64_t now_ms = wy_proxy_now_ms (p);
  int64_t due_ms = p->deadline_ms - RESPONSE_MARGIN_MS;

  if (p->hedge_due_ms && p->hedge_due_ms < due_ms)
    due_ms = p->hedge_due_ms;
  if (p->retry_due_ms && p->retry_due_ms < due_ms)
    due_ms = p->retry_due_ms;
  if (p->streaming && due_ms > now_ms + STREAM_IDLE_TIMEOUT_MS)
    due_ms = now_ms + STREAM_IDLE_TIMEOUT_MS;
  uv_update_time (p->env->loop);
  uv_timer_start (&p->timer, on_timer,
                  due_ms > now_ms ? (uint64_t)(due_ms - now_ms) : 0, 0);
}

/* Try again to start an attempt after MS.  */
static void
retry_after (struct wy_proxy_request *p, int64_t ms)
{
  /* Nothing runs that could be hedged.  */
  p->hedge_due_ms = 0;
  p->retry_due_ms = wy_proxy_now_ms (p) + ms;
  arm_timer (p);
}

/* Whether P, of which nothing has been sent, can't be served in its time.
   Doesn't apply to streams, whose callers use what arrives in time.  */
static bool
is_too_late (const struct wy_proxy_request *p)
{
  return p->sends == 0 && p->has_deadline && p->kind != WY_ROUTE_STREAM
         && wy_gate_is_too_late (
             p->env, p->service,
             MAX (p->deadline_ms - RESPONSE_MARGIN_MS - wy_proxy_now_ms (p),
                  0));
}

/* No target accepts the request now, and it isn't running.  Retry shortly, or
   fail at once if the service has no target.  */
static void
wait_for_target (struct wy_proxy_request *p)
{
  wy_proxy_end_permit (p);
  if (wy_targets_count_ready (p->env->targets, p->service) == 0)
    wy_proxy_fail (p, false, "no_target");
  else if (++p->capacity_retries > CAPACITY_RETRIES_MAX && !p->streaming)
    wy_proxy_fail (p, false, "full");
  else
    retry_after (p, CAPACITY_RETRY_MS);
}

/* Send the request to G, unless it must run alone and can't now.  */
static void
try_target (struct wy_proxy_request *p, struct wy_target *g,
            struct wy_proxy_attempt *t)
{
  bool is_hedge = has_running_attempt (p);

  switch (wy_proxy_go (p, is_hedge))
    {
    case WY_PROXY_RUN:
      send_attempt (p, g, t);
      p->hedge_due_ms = is_repeatable (p) && p->attempts_left && !p->streaming
                            ? wy_proxy_now_ms (p) + p->hedge_delay_ms
                            : 0;
      arm_timer (p);
      return;
    case WY_PROXY_WAIT:
      if (!is_hedge)
        retry_after (p, ISOLATION_RETRY_MS);
      return;
    case WY_PROXY_REJECT:
      if (!is_hedge)
        wy_proxy_fail (p, false, p->reject_reason);
      return;
    }
}

/* Send the request to one more target, one that has not been tried if
   possible.  If no target can accept it now, retry shortly; if the service has
   no target or the time is too short for any, fail at once; likewise if it has
   been blocked since it was accepted.  */
void
wy_proxy_start_attempt (struct wy_proxy_request *p)
{
  struct wy_proxy_attempt *t = unused_attempt (p);
  struct wy_target *g = pick_target (p, false);

  p->retry_due_ms = 0;
  if (!t)
    return;
  if (wy_proxy_is_blocked (p))
    {
      if (!has_running_attempt (p))
        wy_proxy_fail (p, false, WY_PROXY_REASON_CRASHES_TARGETS);
      return;
    }
  if (is_too_late (p))
    {
      wy_proxy_fail (p, false, WY_PROXY_REASON_NO_TIME);
      return;
    }
  if (!g && !has_running_attempt (p)
      && (is_repeatable (p) || !p->may_have_run))
    g = pick_target (p, true);
  if (g)
    try_target (p, g, t);
  else if (!has_running_attempt (p))
    wait_for_target (p);
}

static void
check_stream (struct wy_proxy_request *p)
{
  for (size_t i = 0; i < WY_PROXY_ATTEMPTS_MAX; i++)
    {
      struct wy_proxy_attempt *t = &p->running[i];

      if (t->target && !t->source.paused
          && wy_proxy_now_ms (p) - t->last_received_ms
                 >= STREAM_IDLE_TIMEOUT_MS)
        {
          attempt_failed (t, WY_TARGET_TIMED_OUT, true, "silent");
          return;
        }
    }
  arm_timer (p);
}

static void
on_timer (uv_timer_t *timer)
{
  struct wy_proxy_request *p = timer->data;
  int64_t now_ms = wy_proxy_now_ms (p);

  if (now_ms >= p->deadline_ms - RESPONSE_MARGIN_MS)
    {
      if (has_running_attempt (p))
        p->may_have_run = true;
      wy_proxy_fail (p, true, "time_limit");
    }
  else if (p->retry_due_ms && now_ms >= p->retry_due_ms)
    wy_proxy_start_attempt (p);
  else if (p->hedge_due_ms && now_ms >= p->hedge_due_ms
           && wy_proxy_is_paused (p))
    {
      /* A second response would take more memory, and the first is late
         because it is not read.  */
      p->hedge_due_ms = now_ms + p->hedge_delay_ms;
      arm_timer (p);
    }
  else if (p->hedge_due_ms && now_ms >= p->hedge_due_ms)
    {
      p->hedge_due_ms = 0;
      (*p->env->count.hedges)++;
      p->may_have_run = true;
      wy_proxy_start_attempt (p);
      if (!p->ended)
        arm_timer (p);
    }
  else if (p->streaming)
    check_stream (p);
  else
    arm_timer (p);
}

static void
set_deadlines (struct wy_proxy_request *p, const struct wy_route *route,
               const struct wy_request_info *info, int64_t received_ms)
{
  int64_t limit_ms = route->timeout_ms ? route->timeout_ms : 0;

  if (info->time_left_ms >= 0
      && (limit_ms == 0 || info->time_left_ms < limit_ms))
    limit_ms = info->time_left_ms;
  p->has_deadline = limit_ms > 0 || info->time_left_ms >= 0;
  p->started_ms = received_ms;
  p->deadline_ms
      = received_ms + (p->has_deadline ? limit_ms : DEFAULT_TIMEOUT_MS);
  p->caller_until_ms
      = info->time_left_ms >= 0 ? received_ms + info->time_left_ms : 0;
  p->hedge_delay_ms
      = route->target_latency_ms
            ? route->target_latency_ms / 2
            : (uint32_t)(p->deadline_ms - received_ms) / HEDGE_DIVISOR;
}

/* Forward R as configured by ROUTE, for ORG, which may be NULL.  The response
   follows asynchronously.  */
void
wy_proxy_start (struct wy_gate_env *env, struct wy_h1_request *r,
                const struct wy_route *route, const struct wy_org *org)
{
  struct wy_proxy_request *p = g_new0 (struct wy_proxy_request, 1);
  struct wy_request_info info;

  wy_request_parse_head (wy_h1_head (r), &info);
  (*env->count.requests)++;
  p->env = env;
  p->request = r;
  p->kind = route->kind;
  p->resumable = route->resumable;
  p->id = g_strdup (info.id ? info.id : "");
  p->route = g_strdup (route->name);
  p->service = g_strdup (
      wy_route_pick_service (route, wy_rng_below (&env->rng, UINT32_MAX)));
  p->config_version = env->routing->version;
  p->has_orgs = env->routing->orgs != NULL;
  p->organisation = org ? g_strdup (org->name) : NULL;
  p->attempts_left = route->attempts;
  p->after_event = info.after_event;
  p->tried = g_ptr_array_new ();
  wy_sse_init (&p->events);
  set_deadlines (p, route, &info, wy_h1_received_ms (r));
  uv_timer_init (env->loop, &p->timer);
  p->timer.data = p;
  wy_h1_on_hangup (r, wy_proxy_on_hangup, p);
  if (wy_rejections_expects_any (env->rejections, p->service))
    p->returned = wy_rejections_returned (env->rejections, p->service,
                                          wy_proxy_fingerprint (p));
  if (wy_proxy_is_blocked (p))
    wy_proxy_fail (p, false, WY_PROXY_REASON_CRASHES_TARGETS);
  else if (wy_proxy_is_over_memory (p))
    wy_proxy_fail (p, false, WY_PROXY_REASON_MEMORY);
  else
    wy_proxy_start_attempt (p);
}
