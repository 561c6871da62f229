/* Handles frames from entries about requests: submission, resume, cancellation
   and outcome.  */
#include "agent/submit.h"

#include <string.h>

#include "agent/attach.h"
#include "agent/dispatch.h"
#include "agent/run.h"
#include "agent/run_model.h"
#include "agent/run_service.h"
#include "config/home.h"

enum
{
  HASH_SEED = 0
};

/* Rejection of an attempt.  */
struct rejection
{
  enum wy_refusal_reason reason;
  enum wy_ran ran;
  uint32_t retry_after_ms;
};

static void
reject (struct wy_link *l, struct wy_bytes id, const struct rejection *r)
{
  struct wy_agent *a = l->agent;
  static const char *const ran_names[] = { "no", "unknown", "yes" };
  char *req = wy_bytes_dup (id);
  struct wy_frame f = { .kind = WY_FRAME_REFUSED };

  f.u.refused.id = id;
  f.u.refused.ran = r->ran;
  f.u.refused.reason = r->reason;
  f.u.refused.retry_after_ms = r->retry_after_ms;
  ++*a->n.refused[r->ran];
  wy_trace_event (a->trace, "run.refused", "{s:s, s:s, s:s, s:s}", "req", req,
                  "target", a->s->name, "ran", ran_names[r->ran], "reason",
                  wy_refusal_reason_name (r->reason));
  g_free (req);
  wy_conn_send (l->conn, &f);
}

static void
send_accepted (struct wy_link *l, struct wy_run *r)
{
  struct wy_frame f = { .kind = WY_FRAME_ACCEPTED };

  f.u.resume.id = wy_bytes_of (r->id);
  f.u.resume.run = wy_bytes_of (r->run);
  wy_conn_send (l->conn, &f);
}

/* Set the members of ATTEMPT that depend on the home of request ID.  */
static void
find_home (const struct wy_agent *a, const struct wy_frame_submit *s,
           const char *id, struct wy_at_most_once_attempt *attempt)
{
  const struct wy_service_config *c
      = a->document ? wy_document_service (a->document, a->s->target_name)
                    : NULL;
  int64_t issued_ms = s->issued_ms ? s->issued_ms : attempt->now_ms;
  const char *now;
  const char *before;

  if (!c || s->is_model)
    return;
  now = wy_service_home (c, id, issued_ms);
  before = wy_service_previous_home (c, id);
  attempt->is_home = now && !strcmp (now, a->s->name);
  attempt->home_changed = before && (!now || strcmp (now, before) != 0);
  attempt->effective_ms = c->effective_ms;
}

static void
make_attempt (const struct wy_agent *a, const struct wy_frame_submit *s,
              struct wy_at_most_once_attempt *attempt)
{
  char *id = wy_bytes_dup (s->id);

  memset (attempt, 0, sizeof *attempt);
  attempt->id = wy_hash64 (s->id.p, s->id.n, HASH_SEED);
  attempt->issued_ms = s->issued_ms;
  attempt->sent_ms = s->sent_ms;
  attempt->now_ms = wy_clock_wall_ms (a->clock);
  attempt->config_confirmed_ms = wy_config_feed_confirmed_ms (a->feed);
  find_home (a, s, id, attempt);
  g_free (id);
}

static enum wy_refusal_reason
reason_of (enum wy_at_most_once_verdict v)
{
  switch (v)
    {
    case WY_AT_MOST_ONCE_DUPLICATE:
      return WY_REFUSED_LOST;
    case WY_AT_MOST_ONCE_TOO_OLD:
      return WY_REFUSED_TOO_OLD;
    case WY_AT_MOST_ONCE_TOO_NEW:
      return WY_REFUSED_TOO_NEW;
    case WY_AT_MOST_ONCE_NOT_HOME:
      return WY_REFUSED_NOT_HOME;
    case WY_AT_MOST_ONCE_NO_CONFIG:
      return WY_REFUSED_NO_CONFIG;
    case WY_AT_MOST_ONCE_RUN:
    case WY_AT_MOST_ONCE_DELAYED:
      break;
    }
  return WY_REFUSED_BUSY;
}

/* Check the attempt to run a non-idempotent request.  Returns false if it is
   rejected, with the reason in OUT.  */
static bool
check_at_most_once (struct wy_agent *a,
                    const struct wy_at_most_once_attempt *attempt,
                    struct rejection *out)
{
  struct wy_at_most_once_decision v = wy_at_most_once_check (a->once, attempt);

  out->ran = v.not_run ? WY_RAN_NO : WY_RAN_UNKNOWN;
  if (v.verdict == WY_AT_MOST_ONCE_RUN)
    return true;
  out->reason = reason_of (v.verdict);
  if (v.verdict == WY_AT_MOST_ONCE_DUPLICATE
      && wy_at_most_once_has_completed (a->once, attempt->id))
    out->ran = WY_RAN_YES;
  if (v.verdict == WY_AT_MOST_ONCE_DELAYED)
    /* An attempt sent after this time is known to be a later one.  */
    out->retry_after_ms = 2 * (uint32_t)a->s->clock_skew_ms;
  if (v.not_run)
    wy_at_most_once_reported_not_run (a->once, attempt);
  return false;
}

static bool
is_served (const struct wy_agent *a, const struct wy_frame_submit *s)
{
  return wy_bytes_equal (s->name, a->s->target_name)
         && s->is_model == (a->s->target_kind == WY_TARGET_MODEL);
}

/* Return the reason to reject a request before it is queued, or 0.  It has not
   run.  */
static enum wy_refusal_reason
reject_reason (struct wy_agent *a, const struct wy_frame_submit *s)
{
  if (!is_served (a, s))
    return WY_REFUSED_UNKNOWN_NAME;
  if (!(s->is_model ? wy_agent_model_check (s) : wy_agent_service_check (s)))
    return WY_REFUSED_BAD_REQUEST;
  if (a->leaving)
    return WY_REFUSED_LEAVING;
  if (a->target.state != WY_TARGET_UP)
    return WY_REFUSED_BUSY;
  if (s->is_model
      && (!a->target.version || s->min_version > a->target.version))
    return WY_REFUSED_VERSION;
  if (!wy_agent_evict_results (a))
    return WY_REFUSED_FULL;
  return 0;
}

/* Handle an attempt of a request whose run R is known.  Returns true if
   nothing is left to do.  */
static bool
join_run (struct wy_link *l, struct wy_run *r, const struct wy_frame_submit *s,
          struct rejection *rejection)
{
  struct rejection reused = { WY_REFUSED_BAD_REQUEST, WY_RAN_UNKNOWN, 0 };

  if (s->fingerprint != r->fingerprint)
    {
      reject (l, s->id, &reused);
      return true;
    }
  /* An idempotent run without a usable result may be retried here.  */
  if (r->phase == WY_PHASE_ENDED && !r->non_idempotent
      && r->result != WY_RUN_DONE && s->attempt > r->attempt)
    {
      if (r->sent || r->may_have_run_before)
        rejection->ran = WY_RAN_UNKNOWN;
      wy_agent_run_free (r);
      return false;
    }
  ++*l->agent->n.attached;
  send_accepted (l, r);
  wy_agent_attach (r, l, 0);
  return true;
}

/* Handle a SUBMIT frame.  */
void
wy_agent_submit (struct wy_link *l, const struct wy_frame_submit *s)
{
  struct wy_agent *a = l->agent;
  struct wy_run *r = wy_agent_run_find (a, s->id);
  struct rejection rejection = { 0, WY_RAN_NO, WY_AGENT_RETRY_MS };
  struct wy_at_most_once_attempt attempt;

  ++*a->n.submitted;
  if (r && join_run (l, r, s, &rejection))
    return;
  make_attempt (a, s, &attempt);
  if (s->non_idempotent && !check_at_most_once (a, &attempt, &rejection))
    {
      reject (l, s->id, &rejection);
      return;
    }
  rejection.reason = reject_reason (a, s);
  if (rejection.reason)
    {
      if (s->non_idempotent && rejection.ran == WY_RAN_NO)
        wy_at_most_once_reported_not_run (a->once, &attempt);
      reject (l, s->id, &rejection);
      return;
    }
  r = wy_agent_run_new (a, s);
  r->at_most_once = attempt;
  r->may_have_run_before = rejection.ran != WY_RAN_NO;
  send_accepted (l, r);
  wy_agent_attach (r, l, 0);
  wy_agent_enqueue (r, s);
}

/* Handle a RESUME frame: attach the entry to the run from an offset on.  An
   unknown run may have been accepted by an earlier incarnation, or its result
   may have been discarded.  */
void
wy_agent_resume (struct wy_link *l, const struct wy_frame_resume *f)
{
  struct wy_agent *a = l->agent;
  struct wy_run *r = wy_agent_run_find (a, f->id);
  struct rejection lost = { WY_REFUSED_LOST, WY_RAN_UNKNOWN, 0 };

  if (!r || f->offset_bytes > r->output->len
      || (f->run.n && !wy_bytes_equal (f->run, r->run)))
    {
      if (!r
          && wy_at_most_once_has_completed (
              a->once, wy_hash64 (f->id.p, f->id.n, HASH_SEED)))
        lost.ran = WY_RAN_YES;
      reject (l, f->id, &lost);
      return;
    }
  ++*a->n.resumed;
  send_accepted (l, r);
  wy_agent_attach (r, l, f->offset_bytes);
}

/* Handle a CANCEL frame.  A run to which another entry is attached
   continues.  */
void
wy_agent_cancel (struct wy_link *l, const struct wy_frame_resume *f)
{
  struct wy_run *r = wy_agent_run_find (l->agent, f->id);

  if (!r)
    return;
  for (GList *i = r->attached.head; i; i = i->next)
    if (((struct wy_attachment *)i->data)->link != l)
      return;
  wy_agent_run_cancel (r);
}

/* Handle a QUERY frame: send the outcome of the request.  */
void
wy_agent_query (struct wy_link *l, const struct wy_frame_resume *f)
{
  struct wy_agent *a = l->agent;
  const struct wy_run *r = wy_agent_run_find (a, f->id);
  uint64_t id = wy_hash64 (f->id.p, f->id.n, HASH_SEED);
  struct wy_frame out = { .kind = WY_FRAME_OUTCOME };

  if (r)
    wy_agent_run_outcome (r, WY_FRAME_OUTCOME, &out);
  else
    {
      out.u.end.id = f->id;
      out.u.end.ran = wy_at_most_once_has_completed (a->once, id)
                          ? WY_RAN_YES
                          : WY_RAN_UNKNOWN;
    }
  wy_conn_send (l->conn, &out);
}
