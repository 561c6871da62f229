/* Dispatch of requests to targets, and what happens when a target fails.

   An idempotent request may be retried at another target when it was refused
   or its run was lost, within the attempt limit and the retry budget, unless
   part of the response was already sent to the caller: output of two runs is
   never spliced.  A non-idempotent request has exactly one target that may run
   it, its home (see src/config/home.c), and is never sent elsewhere.  While
   the home can't be asked, whether the request ran stays unknown.  */
#include "entry/dispatch.h"

#include "entry/home.h"
#include "entry/peers.h"
#include "entry/pool.h"
#include "entry/problem.h"
#include "entry/reports.h"
#include "entry/request.h"
#include "entry/suspects.h"
#include "entry/token_latency.h"

enum
{
  /* Retry-After once a target has failed: instance list and connections are up
     to date by then.  */
  RETRY_AFTER_MS = 1000,
  /* After two failed dials in a row nothing listens there: the process has
     exited, and its record of requests is lost.  */
  FAILED_DIALS_MAX = 2
};

/* What is known of all attempts of R together.  A key may have been sent
   earlier through another entry, so for a request with a key only its home can
   prove that it did not run.  */
static enum wy_ran
proven_ran (const struct wy_request *r)
{
  if (r->may_have_run || r->sent)
    return WY_RAN_UNKNOWN;
  if (r->non_idempotent && r->key[0])
    return WY_RAN_UNKNOWN;
  return WY_RAN_NO;
}

static uint32_t
time_left_ms (const struct wy_request *r)
{
  int64_t left = r->deadline_mono_ms - wy_clock_mono_ms (r->entry->clock);

  return left > 1 ? (uint32_t)left : 1;
}

static void
submit (struct wy_request *r)
{
  struct wy_frame f = { .kind = WY_FRAME_SUBMIT };
  struct wy_frame_submit *s = &f.u.submit;
  struct wy_header_pair pairs[WY_ENTRY_HEADERS_MAX];
  uint32_t n = 0;

  for (guint i = 0; r->headers && i + 1 < r->headers->len; i += 2)
    {
      if (n == WY_ENTRY_HEADERS_MAX)
        break;
      pairs[n].name = wy_bytes_of (r->headers->pdata[i]);
      pairs[n++].value = wy_bytes_of (r->headers->pdata[i + 1]);
    }
  s->id = wy_bytes_of (r->id);
  s->name = wy_bytes_of (r->name);
  s->is_model = r->pool->is_model;
  s->request_class = r->request_class;
  s->non_idempotent = r->non_idempotent;
  s->issued_ms = r->issued_ms;
  s->sent_ms = wy_clock_wall_ms (r->entry->clock);
  s->deadline_ms = time_left_ms (r);
  s->attempt = r->attempt;
  s->fingerprint = r->fingerprint;
  s->suspect = r->suspect;
  s->prefix = r->prefix;
  s->prompt_tokens = r->prompt_tokens;
  s->max_tokens = r->max_tokens;
  s->predicted_tokens = r->predicted_tokens;
  s->min_version = r->min_version;
  s->trainer = wy_bytes_of (r->trainer ? r->trainer : "");
  s->worth_milli = r->worth_milli;
  s->config_revision = wy_config_feed_revision (r->entry->feed);
  s->method = wy_bytes_of (r->method);
  s->path = wy_bytes_of (r->path);
  s->body.p = r->body->str;
  s->body.n = (uint32_t)r->body->len;
  s->headers = pairs;
  s->n_headers = n;
  if (wy_peer_send (r->peer, &f))
    return;
  r->sent = true;
  r->submitted_incarnation = r->peer->incarnation_hash;
  wy_trace_event (r->entry->trace, "request.submitted", "{s:s, s:s, s:i}",
                  "req", r->id, "target", r->peer->id, "attempt",
                  (int)r->attempt);
}

static void
assign (struct wy_request *r, struct wy_peer *p)
{
  r->peer = p;
  g_queue_push_tail_link (&p->requests, &r->peer_link);
  r->attempt++;
  wy_pool_request_started (r, p);
  if (p->ready)
    {
      submit (r);
      return;
    }
  r->disconnected_since_ms = wy_clock_mono_ms (r->entry->clock);
  wy_peer_connect (p);
}

static void
dispatch_home (struct wy_request *r)
{
  struct wy_entry *e = r->entry;
  const char *home;
  struct wy_peer *p;

  home = wy_home_of (e, r->name, r->id, r->issued_ms);
  if (!home)
    {
      wy_request_reject (r, proven_ran (r), WY_REASON_NO_CONFIG,
                         RETRY_AFTER_MS);
      return;
    }
  p = g_hash_table_lookup (e->peers, home);
  if (!p)
    {
      wy_request_reject (r, proven_ran (r), WY_REASON_HOME_AWAY,
                         RETRY_AFTER_MS);
      return;
    }
  assign (r, p);
}

/* Send R to a target, or reject it.  */
void
wy_dispatch (struct wy_request *r)
{
  struct wy_peer *p;

  if (wy_suspect_must_reject (r))
    {
      wy_request_reject (r, proven_ran (r), WY_REASON_SUSPECT,
                         WY_SUSPECT_RETRY_MS);
      return;
    }
  if (r->non_idempotent)
    {
      dispatch_home (r);
      return;
    }
  p = wy_pool_pick (r);
  if (p)
    assign (r, p);
  else
    wy_request_reject (r, proven_ran (r), WY_REASON_NO_TARGET, RETRY_AFTER_MS);
}

/* Whether R may be retried at another target.  Takes a retry from the budget
   if so.  */
static bool
may_retry (struct wy_request *r)
{
  struct wy_entry *e = r->entry;

  if (r->non_idempotent || r->response_begun || r->cancelled
      || r->sinks->len == 0 || r->attempt >= e->s->attempt_limit
      || wy_clock_mono_ms (e->clock) >= r->deadline_mono_ms)
    return false;
  if (wy_retry_take (&e->budget))
    return false;
  ++*e->counters.retries;
  return true;
}

static void
retry (struct wy_request *r)
{
  wy_pool_exclude_target (r);
  wy_request_detach_peer (r);
  wy_request_reset_run (r);
  wy_dispatch (r);
}

/* Whether R's home, asked to resume R, has no record of R and is the same
   incarnation that R was sent to.  Then SUBMIT was lost in transit and may be
   sent again; the agent detects duplicates.  */
static bool
lost_in_transit (const struct wy_request *r, const struct wy_frame_refused *f)
{
  return f->reason == WY_REFUSED_LOST && f->ran == WY_RAN_UNKNOWN
         && r->non_idempotent && !r->run
         && r->submitted_incarnation == r->peer->incarnation_hash
         && r->attempt < r->entry->s->attempt_limit;
}

/* Handle REFUSED from the target of R: retry R at another target, or reject
   it.  */
void
wy_dispatch_refused (struct wy_request *r, const struct wy_frame_refused *f)
{
  enum wy_entry_reason reason = wy_reason_of_refusal (f->reason);
  enum wy_ran ran = f->ran;

  if (lost_in_transit (r, f))
    {
      r->attempt++;
      submit (r);
      return;
    }
  wy_pool_request_ended (r, WY_OUTCOME_REFUSED);
  if (f->reason == WY_REFUSED_LEAVING)
    {
      r->peer->reported_leaving = true;
      wy_peer_set_leaving (r->peer, true);
    }
  /* A target that is not the home can't know whether the home ran R.  */
  if (f->reason == WY_REFUSED_NOT_HOME && r->key[0])
    ran = WY_RAN_UNKNOWN;
  if (ran != WY_RAN_NO)
    r->may_have_run = true;
  /* The proof for this attempt covers the request only if no other attempt may
     have run.  */
  r->sent = false;
  if (!r->may_have_run)
    ran = WY_RAN_NO;
  else if (ran == WY_RAN_NO)
    ran = WY_RAN_UNKNOWN;
  if (wy_reason_is_retryable (reason) && may_retry (r))
    retry (r);
  else
    wy_request_reject (r, ran, reason, f->retry_after_ms);
}

/* R's run failed or was lost: retry R, or reject it.  RAN is what is known of
   this attempt.  */
void
wy_dispatch_failed (struct wy_request *r, enum wy_ran ran,
                    enum wy_entry_reason reason)
{
  if (ran != WY_RAN_NO)
    r->may_have_run = true;
  if (wy_reason_is_retryable (reason) && may_retry (r))
    retry (r);
  else
    wy_request_reject (r, ran == WY_RAN_NO ? proven_ran (r) : ran, reason,
                       RETRY_AFTER_MS);
}

/* Ask the target for the remaining bytes of R's response.  */
void
wy_dispatch_resume (struct wy_request *r)
{
  struct wy_frame f = { .kind = WY_FRAME_RESUME };

  f.u.resume.id = wy_bytes_of (r->id);
  f.u.resume.run = wy_bytes_of (r->run ? r->run : "");
  f.u.resume.offset_bytes = r->offset_bytes;
  ++*r->entry->counters.resumed;
  wy_token_latency_begin (r);
  wy_peer_send (r->peer, &f);
}

/* P is connected: submit or resume all its requests.  */
void
wy_dispatch_connected (struct wy_peer *p)
{
  for (GList *l = p->requests.head; l; l = l->next)
    {
      struct wy_request *r = l->data;

      r->disconnected_since_ms = 0;
      if (r->sent)
        wy_dispatch_resume (r);
      else
        submit (r);
    }
}

/* The connection to P is closed.  Its requests wait for a new one.  */
void
wy_dispatch_disconnected (struct wy_peer *p)
{
  int64_t now_ms = wy_clock_mono_ms (p->entry->clock);

  for (GList *l = p->requests.head; l; l = l->next)
    {
      struct wy_request *r = l->data;

      if (r->disconnected_since_ms == 0)
        r->disconnected_since_ms = now_ms;
    }
}

/* Cancel R at its target, if R was submitted.  While the target is
   disconnected the cancellation is stored and sent once it is connected
   again.  */
void
wy_dispatch_cancel (struct wy_request *r)
{
  struct wy_frame f = { .kind = WY_FRAME_CANCEL };

  if (!r->peer || !r->sent)
    return;
  f.u.resume.id = wy_bytes_of (r->id);
  f.u.resume.run = wy_bytes_of (r->run ? r->run : "");
  if (wy_peer_send (r->peer, &f))
    g_queue_push_tail (&r->peer->pending_cancels, g_strdup (r->id));
}

static void
fail_disconnected (struct wy_request *r)
{
  enum wy_ran ran = proven_ran (r);

  wy_pool_request_ended (r, WY_OUTCOME_FAILED);
  if (!r->non_idempotent)
    wy_dispatch_cancel (r);
  wy_dispatch_failed (
      r, ran, r->non_idempotent ? WY_REASON_HOME_AWAY : WY_REASON_LOST);
}

/* End R when it is cancelled, when its target has been disconnected for too
   long, or when its deadline has passed.  The deadline of a streamed response
   covers only its start.  */
void
wy_dispatch_sweep (struct wy_request *r, int64_t now_ms)
{
  const struct wy_entry *e = r->entry;

  if (r->cancelled)
    {
      /* Again, since R may have been submitted after the cancellation.  */
      wy_dispatch_cancel (r);
      wy_request_reject (r, proven_ran (r), WY_REASON_CANCELLED, 0);
      return;
    }
  if (r->disconnected_since_ms
      && (now_ms - r->disconnected_since_ms > e->s->resume_limit_ms
          || (r->peer && r->peer->failed_dials >= FAILED_DIALS_MAX)))
    {
      fail_disconnected (r);
      return;
    }
  if (r->response_begun || now_ms < r->deadline_mono_ms)
    return;
  if (!r->non_idempotent)
    wy_dispatch_cancel (r);
  wy_request_reject (r, proven_ran (r), WY_REASON_DEADLINE, RETRY_AFTER_MS);
}
