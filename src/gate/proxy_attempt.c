/* Attempts of a forwarded request: sending it to a replica, and what the
   replica responds.  */
#include "gate/proxy_state.h"

#include <string.h>

#include "decide/attempt.h"
#include "gate/crash_watch.h"
#include "platform/request_wire.h"

enum
{
  /* Requests that replicas reject without running them do not count as
     attempts.  This limits the total.  */
  SENDS_MAX = 8,
  /* A stream whose caller reads too slowly is aborted at this size: unsent
     data is buffered in memory.  */
  UNSENT_LIMIT_BYTES = 4 << 20,
  /* A response that isn't streamed is buffered until it is complete; a longer
     one is treated as invalid.  */
  RESPONSE_LIMIT_BYTES = 16 << 20
};

/* Whether P may run more than once.  */
bool
wy_proxy_is_repeatable (const struct wy_proxy_request *p)
{
  return p->kind == WY_ROUTE_IDEMPOTENT
         || (p->kind == WY_ROUTE_STREAM && p->stream.resumable);
}

/* Whether P has been sent to a target that has not responded yet.  */
bool
wy_proxy_is_running (const struct wy_proxy_request *p)
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
  bool repeatable = p->stream.begun
                        ? wy_stream_may_be_resumed (&p->stream)
                        : wy_proxy_is_repeatable (p) || !p->may_have_run;

  if (wy_proxy_is_running (p))
    {
      if (repeatable && p->attempts_left)
        wy_proxy_start_attempt (p);
      return;
    }
  if (!repeatable || p->attempts_left == 0
      || (p->sends >= SENDS_MAX && !p->stream.begun))
    {
      wy_proxy_fail (p, false, reason);
      return;
    }
  wy_proxy_start_attempt (p);
}

static struct wy_crash_watch_run
run_of (const struct wy_proxy_attempt *t)
{
  return (struct wy_crash_watch_run){ .id = t->p->id,
                                      .fingerprint
                                      = wy_proxy_fingerprint (t->p),
                                      .target = t->target,
                                      .incarnation = t->incarnation,
                                      .started_ms = t->started_ms };
}

/* T is about to be cancelled and its request has not been answered: the run
   may still crash its target.  */
void
wy_proxy_note_cancelled (const struct wy_proxy_attempt *t)
{
  struct wy_crash_watch_run r;

  if (!t->target || !t->call || !wy_h1_call_sent (t->call))
    return;
  r = run_of (t);
  wy_crash_watch_run_cancelled (t->p->env, &r);
}

/* T has ended with OUTCOME for its target, without a usable response.  */
void
wy_proxy_attempt_failed (struct wy_proxy_attempt *t,
                         enum wy_target_outcome outcome, bool may_have_run,
                         const char *reason)
{
  struct wy_proxy_request *p = t->p;

  wy_proxy_log_failed_attempt (t, reason);
  wy_proxy_note_cancelled (t);
  if (may_have_run)
    p->may_have_run = true;
  else
    p->attempts_left++;
  wy_proxy_end_attempt (t, outcome);
  if (!may_have_run && !p->may_have_run && !wy_proxy_is_running (p))
    wy_proxy_usage_end (p, false);
  (*p->env->count.retries)++;
  continue_or_fail (p, reason);
}

/* Whether the response to T is a stream of events.  */
static bool
is_stream (const struct wy_proxy_attempt *t)
{
  return t->p->kind == WY_ROUTE_STREAM && t->info.has_events && !t->invalid;
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
  t->has_length = r->self_delimited;
  t->response = wy_response_new (r->status, r->head, &p->env->memory);
  if (is_stream (t))
    wy_proxy_arm_timer (p);
}

/* Begin the response to the caller with that of T, which then owns it: cancel
   the other attempts.  */
static void
begin_stream (struct wy_proxy_attempt *t)
{
  struct wy_proxy_request *p = t->p;
  int64_t now_ms = wy_proxy_now_ms (p);

  for (size_t i = 0; i < WY_PROXY_ATTEMPTS_MAX; i++)
    {
      struct wy_proxy_attempt *other = &p->running[i];

      if (other == t || !other->target)
        continue;
      wy_proxy_note_cancelled (other);
      wy_proxy_cancel_attempt (other, "another_has_begun");
    }
  p->hedge_due_ms = 0;
  p->retry_due_ms = 0;
  /* Callers wait for the first event; how long the rest takes depends on the
     text.  */
  wy_target_record_pace (t->target, WY_WORK_REQUEST,
                         (double)(now_ms - t->started_ms), now_ms);
  wy_response_begin (t->response, p->request);
  wy_proxy_arm_timer (p);
}

static void
on_event (void *ctx, const struct wy_sse_event *ev)
{
  struct wy_proxy_attempt *t = ctx;
  struct wy_proxy_request *p = t->p;

  t->events_received++;
  if (t->out_of_order)
    return;
  switch (wy_stream_on_event (&p->stream, &t->run, ev->id, ev->data_n > 0))
    {
    case WY_STREAM_BEGIN:
      begin_stream (t);
      wy_h1_write_response (p->request, ev->raw, ev->raw_n);
      return;
    case WY_STREAM_PASS:
      wy_h1_write_response (p->request, ev->raw, ev->raw_n);
      return;
    case WY_STREAM_DROP:
      return;
    case WY_STREAM_ABORT_RUN:
      t->out_of_order = true;
      return;
    }
}

/* The response of T can't be used.  Its connection is closed.  */
static void
fail_invalid (struct wy_proxy_attempt *t)
{
  wy_proxy_attempt_failed (t, WY_TARGET_FAILED, true, "spoilt_answer");
}

static void
on_data (void *ctx, const char *bytes, size_t n)
{
  struct wy_proxy_attempt *t = ctx;
  struct wy_proxy_request *p = t->p;
  uint64_t before = t->events_received;

  /* The rest of an invalid response may have no end.  */
  if (t->invalid
      || (!is_stream (t) && t->response->body->len + n > RESPONSE_LIMIT_BYTES))
    {
      fail_invalid (t);
      return;
    }
  if (!is_stream (t))
    {
      t->last_received_ms = wy_proxy_now_ms (p);
      wy_response_append (t->response, bytes, n);
      wy_proxy_pause_if_behind (t, NULL);
      return;
    }
  wy_sse_feed (&t->events, bytes, n, on_event, t);
  if (t->events_received > before)
    t->last_received_ms = wy_proxy_now_ms (p);
  if (t->out_of_order)
    wy_proxy_attempt_failed (t, WY_TARGET_FAILED, true, "event_out_of_order");
  else if (wy_sse_is_too_long (&t->events))
    fail_invalid (t);
  else if (wy_h1_unsent_bytes (p->request) > UNSENT_LIMIT_BYTES)
    wy_proxy_fail (p, false, "slow_caller");
  else
    wy_proxy_pause_if_behind (t, p->request);
}

/* Whether another attempt of T's request may still be answered.  */
static bool
is_another_running (const struct wy_proxy_attempt *t)
{
  for (size_t i = 0; i < WY_PROXY_ATTEMPTS_MAX; i++)
    if (&t->p->running[i] != t && t->p->running[i].target)
      return true;
  return false;
}

/* What the complete response to T, an attempt of a stream, means.  */
static enum wy_stream_end_step
stream_end (const struct wy_proxy_attempt *t)
{
  struct wy_stream_end e = { .has_events = is_stream (t),
                             .in_event = wy_sse_has_partial (&t->events),
                             .has_length = t->has_length };

  return wy_stream_on_end (&t->p->stream, &t->run, &e);
}

static const char *
broken_reason (int err)
{
  if (err == WY_H1_EMALFORMED)
    return "malformed";
  return err == WY_H1_EPARTIAL ? "cut_short" : "broken_off";
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
    wy_proxy_attempt_failed (t, WY_TARGET_FAILED, may_have_run,
                             "no_connection");
  else if (err)
    {
      if (err != WY_H1_EMALFORMED)
        {
          struct wy_crash_watch_run r = run_of (t);

          wy_crash_watch_run_interrupted (p->env, &r);
        }
      wy_proxy_attempt_failed (t, WY_TARGET_FAILED, may_have_run,
                               broken_reason (err));
    }
  else if (t->invalid)
    wy_proxy_attempt_failed (t, WY_TARGET_FAILED, may_have_run,
                             "spoilt_answer");
  else if (t->not_run)
    wy_proxy_attempt_failed (
        t, status == 421 ? WY_TARGET_MISDIRECTED : WY_TARGET_REJECTED,
        may_have_run, status == 421 ? "not_there" : "full");
  else if (p->kind == WY_ROUTE_STREAM && stream_end (t) == WY_STREAM_FAILED)
    wy_proxy_attempt_failed (
        t, is_stream (t) ? WY_TARGET_FAILED : WY_TARGET_ANSWERED, true,
        is_stream (t) ? "cut_short" : "no_events");
  else if (wy_attempt_is_unclear_refusal (&a))
    wy_proxy_attempt_failed (t, WY_TARGET_ANSWERED, may_have_run,
                             "unclear_refusal");
  else if (status >= 500 && wy_proxy_is_repeatable (p)
           && (p->attempts_left || is_another_running (t)))
    {
      wy_response_free (p->error_response);
      p->error_response = t->response;
      t->response = NULL;
      wy_proxy_attempt_failed (t, WY_TARGET_ANSWERED, true, "replica_failed");
    }
  else if (t->response)
    wy_proxy_succeed (p, t);
}

/* Whether P must not be sent to G on a connection that has been used.  On one
   where G has rejected P, a second copy of that response may still come, and
   would be taken for the rejection of this attempt, which runs.  */
static bool
needs_new_connection (const struct wy_proxy_request *p,
                      const struct wy_target *g)
{
  return !wy_proxy_is_repeatable (p) && g_ptr_array_find (p->tried, g, NULL);
}

/* Send P to G as its attempt T.  */
void
wy_proxy_send (struct wy_proxy_request *p, struct wy_target *g,
               struct wy_proxy_attempt *t)
{
  GArray *fields = g_array_new (FALSE, FALSE, sizeof (struct wy_h1_header));
  int64_t now_ms = wy_proxy_now_ms (p);
  struct wy_forward_info f
      = { .replica = g->info.id,
          .time_left_ms = p->has_deadline ? p->deadline_ms - now_ms : -1,
          .after_event = p->stream.last_event,
          .has_orgs = p->has_orgs,
          .organisation = p->organisation };
  struct wy_h1_call_options o
      = { .address = g->info.address,
          .method = wy_h1_method (p->request),
          .target = wy_h1_target (p->request),
          .id = p->id,
          .new_connection = needs_new_connection (p, g),
          .on_head = on_head,
          .on_data = on_data,
          .on_end = on_end,
          .ctx = t };

  memset (t, 0, sizeof *t);
  t->p = p;
  t->target = g;
  t->incarnation = g->incarnation;
  wy_stream_run_started (&p->stream, ++p->sends, &t->run);
  wy_sse_init (&t->events);
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
  p->attempts_left--;
  wy_proxy_log_started (t);
  wy_proxy_isolate (p);
  wy_proxy_usage_begin (p);
  t->call = wy_h1_call_start (p->env->http, &o);
  g_array_free (fields, TRUE);
}
