/* Proxy: forwards a caller's request to a replica and the response back.

   An idempotent request is hedged: if the response is late, the request is
   sent to a second replica while the first still runs it, and the first
   complete response is used.  So a slow or unresponsive replica costs callers
   at most about half of the route's target latency.  A stream that may be
   resumed is hedged until its first event (decide/stream_runs).  A
   non-idempotent request is sent to another replica only if the first states,
   or the lack of a connection proves, that it has not run.  */
#include "gate/proxy_state.h"

#include "gate/servable.h"
#include "platform/request_wire.h"

enum
{
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
  /* If a stream that another replica could continue pauses for this long, its
     replica counts as failed.  */
  STREAM_IDLE_TIMEOUT_MS = 2000
};

static void on_timer (uv_timer_t *timer);

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

/* Whether T has to send events at intervals.  It need not if no other attempt
   could take over: silence is better than the end of the response.  */
static bool
is_replaceable_stream (const struct wy_proxy_attempt *t)
{
  const struct wy_proxy_request *p = t->p;

  if (!t->target || p->kind != WY_ROUTE_STREAM || p->attempts_left == 0)
    return false;
  return p->stream.begun
             ? wy_stream_may_be_resumed (&p->stream)
             : p->stream.resumable && t->response && t->info.has_events;
}

/* When the first attempt of P counts as silent, unless it sends an event
   until then; INT64_MAX: none.  */
static int64_t
silent_due_ms (const struct wy_proxy_request *p)
{
  int64_t due_ms = INT64_MAX;

  for (size_t i = 0; i < WY_PROXY_ATTEMPTS_MAX; i++)
    {
      const struct wy_proxy_attempt *t = &p->running[i];

      if (is_replaceable_stream (t))
        due_ms = MIN (due_ms, STREAM_IDLE_TIMEOUT_MS
                                  + (t->source.paused ? wy_proxy_now_ms (p)
                                                      : t->last_received_ms));
    }
  return due_ms;
}

/* Set the timer of P to what is due first.  */
void
wy_proxy_arm_timer (struct wy_proxy_request *p)
{
  int64_t now_ms = wy_proxy_now_ms (p);
  int64_t due_ms = p->deadline_ms - RESPONSE_MARGIN_MS;

  if (p->hedge_due_ms && p->hedge_due_ms < due_ms)
    due_ms = p->hedge_due_ms;
  if (p->retry_due_ms && p->retry_due_ms < due_ms)
    due_ms = p->retry_due_ms;
  due_ms = MIN (due_ms, silent_due_ms (p));
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
  wy_proxy_arm_timer (p);
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
  else if (++p->capacity_retries > CAPACITY_RETRIES_MAX && !p->stream.begun)
    wy_proxy_fail (p, false, "full");
  else
    retry_after (p, CAPACITY_RETRY_MS);
}

/* Send the request to G, unless it must run alone and can't now.  */
static void
try_target (struct wy_proxy_request *p, struct wy_target *g,
            struct wy_proxy_attempt *t)
{
  bool is_hedge = wy_proxy_is_running (p);

  switch (wy_proxy_go (p, is_hedge))
    {
    case WY_PROXY_RUN:
      wy_proxy_send (p, g, t);
      p->hedge_due_ms
          = wy_proxy_is_repeatable (p) && p->attempts_left && !p->stream.begun
                ? wy_proxy_now_ms (p) + p->hedge_delay_ms
                : 0;
      wy_proxy_arm_timer (p);
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
  if (!t || !wy_stream_may_start_run (&p->stream, wy_proxy_is_running (p)))
    return;
  if (wy_proxy_is_blocked (p))
    {
      if (!wy_proxy_is_running (p))
        wy_proxy_fail (p, false, WY_PROXY_REASON_CRASHES_TARGETS);
      return;
    }
  if (is_too_late (p))
    {
      wy_proxy_fail (p, false, WY_PROXY_REASON_NO_TIME);
      return;
    }
  if (!g && !wy_proxy_is_running (p)
      && (wy_proxy_is_repeatable (p) || !p->may_have_run))
    g = pick_target (p, true);
  if (g)
    try_target (p, g, t);
  else if (!wy_proxy_is_running (p))
    wait_for_target (p);
}

/* End an attempt of a stream that has been silent for too long.  */
static void
check_stream (struct wy_proxy_request *p)
{
  for (size_t i = 0; i < WY_PROXY_ATTEMPTS_MAX; i++)
    {
      struct wy_proxy_attempt *t = &p->running[i];

      if (is_replaceable_stream (t) && !t->source.paused
          && wy_proxy_now_ms (p) - t->last_received_ms
                 >= STREAM_IDLE_TIMEOUT_MS)
        {
          wy_proxy_attempt_failed (t, WY_TARGET_TIMED_OUT, true, "silent");
          return;
        }
    }
  wy_proxy_arm_timer (p);
}

static void
on_timer (uv_timer_t *timer)
{
  struct wy_proxy_request *p = timer->data;
  int64_t now_ms = wy_proxy_now_ms (p);

  if (now_ms >= p->deadline_ms - RESPONSE_MARGIN_MS)
    {
      if (wy_proxy_is_running (p))
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
      wy_proxy_arm_timer (p);
    }
  else if (p->hedge_due_ms && now_ms >= p->hedge_due_ms)
    {
      p->hedge_due_ms = 0;
      (*p->env->count.hedges)++;
      p->may_have_run = true;
      wy_proxy_start_attempt (p);
      if (!p->ended)
        wy_proxy_arm_timer (p);
    }
  else
    check_stream (p);
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
  p->link.data = p;
  g_queue_push_tail_link (&env->proxied, &p->link);
  p->kind = route->kind;
  p->id = g_strdup (info.id ? info.id : "");
  p->route = g_strdup (route->name);
  p->service = g_strdup (
      wy_route_pick_service (route, wy_rng_below (&env->rng, UINT32_MAX)));
  p->config_version = env->routing->version;
  p->has_orgs = env->routing->orgs != NULL;
  p->organisation = org ? g_strdup (org->name) : NULL;
  p->attempts_left = route->attempts;
  wy_stream_init (&p->stream, route->resumable, info.after_event);
  p->tried = g_ptr_array_new ();
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
    {
      wy_proxy_count_memory (p);
      wy_proxy_start_attempt (p);
    }
}
