/* Which target a request goes to, and what follows when it is lost.

   An idempotent request may go to another target when it was refused or its
   run was lost, as often as attempts and retry budget allow, unless its
   caller was already given a part of the answer: two runs are never spliced.
   A non-idempotent request has one home and never goes elsewhere; what its
   home can't be asked about stays unknown.  */
#include "entry/dispatch.h"

#include "entry/home.h"
#include "entry/token_latency.h"
#include "entry/peers.h"
#include "entry/pool.h"
#include "entry/reports.h"
#include "entry/problem.h"
#include "entry/request.h"
#include "entry/suspects.h"

enum
{
  /* When to come back after the loss of a target: lists and connections
     have followed by then.  */
  RETRY_LOST_MS = 1000,
  /* Two refused dials in a row: nobody listens, so the process is gone, and
     with it what it remembered.  */
  DIALS_MAX = 2
};

/* What is proven of R as a whole.  A key may have been sent before through
   another entry, so that of a request with a key only its home can say that
   it did not run.  */
static enum wy_ran
ran_of (const struct wy_request *r)
{
  if (r->may_run || r->sent)
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
  r->sent_to = r->peer->incarnation_hash;
  wy_trace_event (r->entry->trace, "request.submitted", "{s:s, s:s, s:i}",
                  "req", r->id, "target", r->peer->id, "attempt",
                  (int)r->attempt);
}

static void
give_to (struct wy_request *r, struct wy_peer *p)
{
  r->peer = p;
  g_queue_push_tail_link (&p->requests, &r->peer_link);
  r->attempt++;
  wy_pool_started (r, p);
  if (p->ready)
    {
      submit (r);
      return;
    }
  r->away_ms = wy_clock_mono_ms (r->entry->clock);
  wy_peer_want (p);
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
      wy_request_refused (r, ran_of (r), WY_REASON_NO_CONFIG, RETRY_LOST_MS);
      return;
    }
  p = g_hash_table_lookup (e->peers, home);
  if (!p)
    {
      wy_request_refused (r, ran_of (r), WY_REASON_HOME_AWAY, RETRY_LOST_MS);
      return;
    }
  give_to (r, p);
}

/* Send R to a target, or refuse it.  */
void
wy_dispatch (struct wy_request *r)
{
  struct wy_peer *p;

  if (wy_suspect_refused (r))
    {
      wy_request_refused (r, ran_of (r), WY_REASON_SUSPECT,
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
    give_to (r, p);
  else
    wy_request_refused (r, ran_of (r), WY_REASON_NO_TARGET, RETRY_LOST_MS);
}

/* Whether R may be tried at one more target.  */
static bool
may_retry (struct wy_request *r)
{
  struct wy_entry *e = r->entry;

  if (r->non_idempotent || r->begun || r->cancelled || r->sinks->len == 0
      || r->attempt >= e->s->attempt_limit
      || wy_clock_mono_ms (e->clock) >= r->deadline_mono_ms)
    return false;
  if (wy_retry_take (&e->budget))
    return false;
  ++*e->n.retries;
  return true;
}

static void
retry (struct wy_request *r)
{
  wy_pool_tried (r);
  wy_request_leave_peer (r);
  wy_request_reset (r);
  wy_dispatch (r);
}

/* Whether R's home, asked for R's answer, knows nothing of R and is the same
   incarnation that R was sent to: then R was lost on the way and may be sent
   again.  Its agent tells a sending that arrives twice.  */
static bool
lost_on_the_way (const struct wy_request *r, const struct wy_frame_refused *f)
{
  return f->reason == WY_REFUSED_LOST && f->ran == WY_RAN_UNKNOWN
         && r->non_idempotent && !r->run
         && r->sent_to == r->peer->incarnation_hash
         && r->attempt < r->entry->s->attempt_limit;
}

/* The target of R refused it.  */
void
wy_dispatch_refused (struct wy_request *r, const struct wy_frame_refused *f)
{
  enum wy_entry_reason reason = wy_reason_of_refusal (f->reason);
  enum wy_ran ran = f->ran;

  if (lost_on_the_way (r, f))
    {
      r->attempt++;
      submit (r);
      return;
    }
  wy_pool_ended (r, WY_OUTCOME_REFUSED);
  if (f->reason == WY_REFUSED_LEAVING)
    {
      r->peer->told_leaving = true;
      wy_peer_set_leaving (r->peer, true);
    }
  /* A target that is not home knows nothing of what the home did.  */
  if (f->reason == WY_REFUSED_NOT_HOME && r->key[0])
    ran = WY_RAN_UNKNOWN;
  if (ran != WY_RAN_NO)
    r->may_run = true;
  /* What was proven for this attempt holds for the request when no other
     attempt may have run.  */
  r->sent = false;
  if (!r->may_run)
    ran = WY_RAN_NO;
  else if (ran == WY_RAN_NO)
    ran = WY_RAN_UNKNOWN;
  if (wy_reason_is_local (reason) && may_retry (r))
    retry (r);
  else
    wy_request_refused (r, ran, reason, f->retry_after_ms);
}

/* R's run at its target failed or was lost; RAN is what is known of it.  */
void
wy_dispatch_failed (struct wy_request *r, enum wy_ran ran,
                    enum wy_entry_reason reason)
{
  if (ran != WY_RAN_NO)
    r->may_run = true;
  if (wy_reason_is_local (reason) && may_retry (r))
    retry (r);
  else
    wy_request_refused (r, ran == WY_RAN_NO ? ran_of (r) : ran, reason,
                        RETRY_LOST_MS);
}

/* Ask for the rest of R's answer.  */
void
wy_dispatch_resume (struct wy_request *r)
{
  struct wy_frame f = { .kind = WY_FRAME_RESUME };

  f.u.resume.id = wy_bytes_of (r->id);
  f.u.resume.run = wy_bytes_of (r->run ? r->run : "");
  f.u.resume.offset_bytes = r->offset_bytes;
  ++*r->entry->n.resumed;
  wy_pace_begin (r);
  wy_peer_send (r->peer, &f);
}

/* P is connected, anew or for the first time: go on with all its requests.  */
void
wy_dispatch_ready (struct wy_peer *p)
{
  for (GList *l = p->requests.head; l; l = l->next)
    {
      struct wy_request *r = l->data;

      r->away_ms = 0;
      if (r->sent)
        wy_dispatch_resume (r);
      else
        submit (r);
    }
}

/* The connection of P is gone.  Its requests wait for the next one.  */
void
wy_dispatch_away (struct wy_peer *p)
{
  int64_t now_ms = wy_clock_mono_ms (p->entry->clock);

  for (GList *l = p->requests.head; l; l = l->next)
    {
      struct wy_request *r = l->data;

      if (r->away_ms == 0)
        r->away_ms = now_ms;
    }
}

/* Tell the target of R, if it ever got R, that nobody wants the answer.  */
void
wy_dispatch_cancel (struct wy_request *r)
{
  struct wy_frame f = { .kind = WY_FRAME_CANCEL };

  if (!r->peer || !r->sent)
    return;
  f.u.resume.id = wy_bytes_of (r->id);
  f.u.resume.run = wy_bytes_of (r->run ? r->run : "");
  if (wy_peer_send (r->peer, &f))
    g_queue_push_tail (&r->peer->cancels, g_strdup (r->id));
}

static void
lose (struct wy_request *r)
{
  enum wy_ran ran = ran_of (r);

  wy_pool_ended (r, WY_OUTCOME_FAILED);
  if (!r->non_idempotent)
    wy_dispatch_cancel (r);
  wy_dispatch_failed (
      r, ran, r->non_idempotent ? WY_REASON_HOME_AWAY : WY_REASON_LOST);
}

/* Look whether R has waited too long, for its target or at all.  The deadline
   of a stream is that of its beginning.  */
void
wy_dispatch_sweep (struct wy_request *r, int64_t now_ms)
{
  const struct wy_entry *e = r->entry;

  if (r->cancelled)
    {
      /* Once more: it may have been sent since it was cancelled.  */
      wy_dispatch_cancel (r);
      wy_request_refused (r, ran_of (r), WY_REASON_CANCELLED, 0);
      return;
    }
  if (r->away_ms
      && (now_ms - r->away_ms > e->s->resume_limit_ms
          || (r->peer && r->peer->failures >= DIALS_MAX)))
    {
      lose (r);
      return;
    }
  if (r->begun || now_ms < r->deadline_mono_ms)
    return;
  if (!r->non_idempotent)
    wy_dispatch_cancel (r);
  wy_request_refused (r, ran_of (r), WY_REASON_DEADLINE, RETRY_LOST_MS);
}
