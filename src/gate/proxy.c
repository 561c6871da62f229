/* Passes a caller's request on to a replica and its answer back.

   An idempotent request that gets no answer in good time is sent to a second
   replica while the first still works on it, and the first whole answer
   wins; that keeps one slow or silent replica from costing callers more than
   about half of the latency they are promised.  A non-idempotent one goes
   elsewhere only if the replica says, or the lack of a connection proves,
   that it has not run.  */
#include "gate/proxy_state.h"

#include <string.h>

#include "decide/attempt.h"
#include "platform/request_wire.h"
#include "trace/json_log.h"

enum
{
  /* Sends that replicas turned away unrun do not count as attempts; this many
     bound them.  */
  SENDS_MAX = 8,
  /* Without a promised latency a second replica is asked after this share of
     the time limit.  */
  HEDGE_DIVISOR = 4,
  DEFAULT_TIMEOUT_MS = 30000,
  /* The answer leaves this much before the caller's own limit, so that it
     arrives.  */
  REPLY_MARGIN_MS = 10,
  /* All targets turned it away, or have just failed: they are asked again
     after this time, for about as long as one of them takes to come back from
     a refusal; a stream that has begun goes on trying to its time limit.  */
  ROUND_MS = 40,
  ROUNDS_MAX = 6,
  /* A stream that pauses for so long has lost its replica.  */
  STREAM_SILENCE_MS = 2000,
  /* A stream whose caller has fallen this far behind is broken off: what it
     does not read lies in this process's memory.  */
  UNSENT_LIMIT_BYTES = 4 << 20,
  /* A whole answer is kept until its last byte has come; a longer one is
     taken for spoilt.  */
  ANSWER_LIMIT_BYTES = 16 << 20
};

static void launch (struct wy_proxied *p);
static void on_timer (uv_timer_t *timer);

static bool
is_repeatable (const struct wy_proxied *p)
{
  return p->kind == WY_ROUTE_IDEMPOTENT
         || (p->kind == WY_ROUTE_STREAM && p->resumable);
}

static bool
any_running (const struct wy_proxied *p)
{
  for (size_t i = 0; i < WY_PROXY_TRIES_MAX; i++)
    if (p->tries[i].target)
      return true;
  return false;
}

/* A try has ended without an answer to pass on: go on or give up.  */
static void
go_on (struct wy_proxied *p, const char *reason)
{
  bool repeatable = is_repeatable (p) || !p->may_have_run;

  if (any_running (p))
    {
      if (repeatable && p->attempts_left)
        launch (p);
      return;
    }
  if (!repeatable || p->attempts_left == 0
      || (p->sends >= SENDS_MAX && !p->streaming))
    {
      wy_proxy_give_up (p, false, reason);
      return;
    }
  launch (p);
}

static void
try_failed (struct wy_try *t, enum wy_target_outcome outcome, bool ran,
            const char *reason)
{
  struct wy_proxied *p = t->p;

  wy_proxy_log_try (t, reason);
  if (ran)
    p->may_have_run = true;
  else
    p->attempts_left++;
  wy_proxy_end_try (t, outcome);
  if (!ran && !p->may_have_run && !any_running (p))
    wy_proxy_usage_settle (p, false);
  wy_sse_reset (&p->events);
  (*p->env->count.retries)++;
  go_on (p, reason);
}

static void
on_head (void *ctx, const struct wy_h1_response *a)
{
  struct wy_try *t = ctx;
  struct wy_proxied *p = t->p;

  t->heard_ms = wy_proxy_now_ms (p);
  wy_target_response_started (t->target);
  wy_response_parse_head (a->status, a->head, &t->info);
  if (t->info.has_load)
    wy_target_record_load (t->target, t->info.running + t->info.waiting,
                           t->heard_ms);
  /* An answer to another request, left over on the connection.  */
  if (t->info.id && strcmp (t->info.id, p->id) != 0)
    t->bad = true;
  if (a->status < 300 && (t->info.encoded || !t->info.stamp))
    t->bad = true;
  t->not_run = t->info.not_run;
  t->answer = wy_response_new (a->status, a->head);
  if (p->kind == WY_ROUTE_STREAM && a->status == 200 && !t->bad
      && !p->streaming)
    {
      p->streaming = true;
      wy_response_begin (t->answer, p->request);
    }
}

static void
on_event (void *ctx, const struct wy_sse_event *ev)
{
  struct wy_proxied *p = ctx;

  if (ev->id >= 0 && ev->id <= p->after_event)
    return;
  if (ev->id >= 0)
    p->after_event = ev->id;
  wy_h1_write_response (p->request, ev->raw, ev->raw_n);
}

static void
on_data (void *ctx, const char *bytes, size_t n)
{
  struct wy_try *t = ctx;
  struct wy_proxied *p = t->p;

  t->heard_ms = wy_proxy_now_ms (p);
  if (t->bad)
    return;
  if (!p->streaming || t->answer->status != 200)
    {
      if (t->answer->body->len + n > ANSWER_LIMIT_BYTES)
        t->bad = true;
      else
        g_string_append_len (t->answer->body, bytes, (gssize)n);
      return;
    }
  wy_sse_feed (&p->events, bytes, n, on_event, p);
  if (wy_h1_unsent_bytes (p->request) > UNSENT_LIMIT_BYTES)
    wy_proxy_give_up (p, false, "slow_caller");
}

static void
on_end (void *ctx, int err)
{
  struct wy_try *t = ctx;
  struct wy_proxied *p = t->p;
  int status = t->answer ? t->answer->status : 0;
  struct wy_attempt a = { .sent = wy_h1_call_sent (t->call),
                          .complete = !err,
                          .mismatched = t->bad,
                          .not_run = t->not_run,
                          .status = status };
  bool ran = wy_attempt_may_have_run (&a);

  t->call = NULL;
  if (!a.sent)
    try_failed (t, WY_TARGET_FAILED, ran, "no_connection");
  else if (err)
    {
      if (!t->answer)
        wy_crash_tracker_run_interrupted (
            &p->env->crashes, wy_proxy_fingerprint (p), t->target->info.id,
            wy_proxy_now_ms (p));
      try_failed (t, WY_TARGET_FAILED, ran,
                  err == WY_H1_EPARTIAL ? "cut_short" : "broken_off");
    }
  else if (t->bad)
    try_failed (t, WY_TARGET_FAILED, ran, "spoilt_answer");
  else if (t->not_run)
    try_failed (t, status == 421 ? WY_TARGET_MISDIRECTED : WY_TARGET_REJECTED,
                ran, status == 421 ? "not_there" : "full");
  else if (wy_attempt_is_unclear_refusal (&a) && !p->streaming)
    try_failed (t, WY_TARGET_ANSWERED, ran, "unclear_refusal");
  else if (p->streaming && wy_sse_has_partial (&p->events))
    try_failed (t, WY_TARGET_FAILED, true, "cut_short");
  else if (status >= 500 && !p->streaming && is_repeatable (p)
           && p->attempts_left)
    {
      wy_response_free (p->spare);
      p->spare = t->answer;
      t->answer = NULL;
      try_failed (t, WY_TARGET_ANSWERED, true, "replica_failed");
    }
  else if (t->answer)
    wy_proxy_succeed (p, t);
}

static void
send_to (struct wy_proxied *p, struct wy_target *g, struct wy_try *t)
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
  t->started_ms = now_ms;
  t->heard_ms = now_ms;
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
  wy_proxy_usage_sent (p);
  t->call = wy_h1_call_start (p->env->http, &o);
  g_array_free (fields, TRUE);
}

static struct wy_target *
pick (struct wy_proxied *p, bool again)
{
  struct wy_target_criteria q
      = { .service = p->service,
          .availability_zone = p->env->availability_zone,
          .in_flight_limit = wy_gate_in_flight_limit (p->env, p->service),
          .tried = (const struct wy_target *const *)p->tried->pdata,
          .n_tried = again ? 0 : p->tried->len };

  return wy_targets_pick (p->env->targets, &q, wy_proxy_now_ms (p));
}

static struct wy_try *
free_try (struct wy_proxied *p)
{
  for (size_t i = 0; i < WY_PROXY_TRIES_MAX; i++)
    if (!p->tries[i].target)
      return &p->tries[i];
  return NULL;
}

static void
arm (struct wy_proxied *p)
{
  int64_t now_ms = wy_proxy_now_ms (p);
  int64_t due_ms = p->deadline_ms - REPLY_MARGIN_MS;

  if (p->hedge_due_ms && p->hedge_due_ms < due_ms)
    due_ms = p->hedge_due_ms;
  if (p->round_due_ms && p->round_due_ms < due_ms)
    due_ms = p->round_due_ms;
  if (p->streaming && due_ms > now_ms + STREAM_SILENCE_MS)
    due_ms = now_ms + STREAM_SILENCE_MS;
  uv_update_time (p->env->loop);
  uv_timer_start (&p->timer, on_timer,
                  due_ms > now_ms ? (uint64_t)(due_ms - now_ms) : 0, 0);
}

/* Send the request to one more target.  Where all have been tried, or are
   full, another round follows shortly; where there is none, the caller hears
   at once.  */
static void
launch (struct wy_proxied *p)
{
  struct wy_try *t = free_try (p);
  struct wy_target *g = pick (p, false);

  p->round_due_ms = 0;
  if (!t)
    return;
  if (!g && !any_running (p) && (is_repeatable (p) || !p->may_have_run))
    g = pick (p, true);
  if (g)
    {
      send_to (p, g, t);
      p->hedge_due_ms = is_repeatable (p) && p->attempts_left && !p->streaming
                            ? wy_proxy_now_ms (p) + p->hedge_ms
                            : 0;
      arm (p);
      return;
    }
  if (any_running (p))
    return;
  if (wy_targets_count_ready (p->env->targets, p->service) == 0)
    {
      wy_proxy_give_up (p, false, "no_target");
      return;
    }
  if (++p->rounds > ROUNDS_MAX && !p->streaming)
    {
      wy_proxy_give_up (p, false, "full");
      return;
    }
  p->round_due_ms = wy_proxy_now_ms (p) + ROUND_MS;
  arm (p);
}

static void
check_stream (struct wy_proxied *p)
{
  for (size_t i = 0; i < WY_PROXY_TRIES_MAX; i++)
    {
      struct wy_try *t = &p->tries[i];

      if (t->target && wy_proxy_now_ms (p) - t->heard_ms >= STREAM_SILENCE_MS)
        {
          try_failed (t, WY_TARGET_TIMED_OUT, true, "silent");
          return;
        }
    }
  arm (p);
}

static void
on_timer (uv_timer_t *timer)
{
  struct wy_proxied *p = timer->data;
  int64_t now_ms = wy_proxy_now_ms (p);

  if (now_ms >= p->deadline_ms - REPLY_MARGIN_MS)
    {
      if (any_running (p))
        p->may_have_run = true;
      wy_proxy_give_up (p, true, "time_limit");
    }
  else if (p->round_due_ms && now_ms >= p->round_due_ms)
    launch (p);
  else if (p->hedge_due_ms && now_ms >= p->hedge_due_ms)
    {
      p->hedge_due_ms = 0;
      (*p->env->count.hedges)++;
      p->may_have_run = true;
      launch (p);
      if (!p->ended)
        arm (p);
    }
  else if (p->streaming)
    check_stream (p);
  else
    arm (p);
}

static void
set_times (struct wy_proxied *p, const struct wy_route *route,
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
  p->hedge_ms = route->target_latency_ms
                    ? route->target_latency_ms / 2
                    : (uint32_t)(p->deadline_ms - received_ms) / HEDGE_DIVISOR;
}

/* Whether targets crashed under requests like P, here or at other entries. */
static bool
is_held_back (struct wy_proxied *p)
{
  struct wy_crash_tracker *w = &p->env->crashes;

  if (!wy_crash_tracker_has_suspects (w)
      || !wy_crash_tracker_is_blocked (w, wy_proxy_fingerprint (p),
                                       wy_proxy_now_ms (p)))
    return false;
  (*p->env->count.held_back)++;
  return true;
}

/* Pass R on as ROUTE says, for ORG, or NULL; the answer follows.  */
void
wy_proxy_start (struct wy_gate_env *env, struct wy_h1_request *r,
                const struct wy_route *route, const struct wy_org *org)
{
  struct wy_proxied *p = g_new0 (struct wy_proxied, 1);
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
  set_times (p, route, &info, wy_h1_received_ms (r));
  uv_timer_init (env->loop, &p->timer);
  p->timer.data = p;
  wy_h1_on_hangup (r, wy_proxy_on_hangup, p);
  if (is_held_back (p))
    wy_proxy_give_up (p, false, WY_PROXY_CRASHES_TARGETS);
  else
    launch (p);
}
