/* Frames of entries about requests: admission, resume, cancel, outcome.  */
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

/* The answer to a sending that isn't kept.  */
struct refusal
{
  enum wy_refusal_reason reason;
  enum wy_ran ran;
  uint32_t retry_after_ms;
};

static void
refuse (struct wy_link *l, struct wy_bytes id, const struct refusal *r)
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
accept_run (struct wy_link *l, struct wy_run *r)
{
  struct wy_frame f = { .kind = WY_FRAME_ACCEPTED };

  f.u.resume.id = wy_bytes_of (r->id);
  f.u.resume.run = wy_bytes_of (r->run);
  wy_conn_send (l->conn, &f);
}

/* Whether the service of S has its home here.  */
static void
find_home (const struct wy_agent *a, const struct wy_frame_submit *s,
           const char *id, struct wy_once_ask *ask)
{
  const struct wy_service_config *c
      = a->document ? wy_document_service (a->document, a->s->target_name)
                    : NULL;
  int64_t issued_ms = s->issued_ms ? s->issued_ms : ask->now_ms;
  const char *now;
  const char *before;

  if (!c || s->is_model)
    return;
  now = wy_service_home (c, id, issued_ms);
  before = wy_service_previous_home (c, id);
  ask->home = now && !strcmp (now, a->s->name);
  ask->moved = before && (!now || strcmp (now, before) != 0);
  ask->effective_ms = c->effective_ms;
}

static void
make_ask (const struct wy_agent *a, const struct wy_frame_submit *s,
          struct wy_once_ask *ask)
{
  char *id = wy_bytes_dup (s->id);

  memset (ask, 0, sizeof *ask);
  ask->id = wy_hash64 (s->id.p, s->id.n, HASH_SEED);
  ask->issued_ms = s->issued_ms;
  ask->sent_ms = s->sent_ms;
  ask->now_ms = wy_clock_wall_ms (a->clock);
  ask->config_confirmed_ms = wy_config_feed_confirmed_ms (a->feed);
  find_home (a, s, id, ask);
  g_free (id);
}

static enum wy_refusal_reason
reason_of (enum wy_once_verdict v)
{
  switch (v)
    {
    case WY_ONCE_SEEN:
      return WY_REFUSED_LOST;
    case WY_ONCE_TOO_OLD:
      return WY_REFUSED_TOO_OLD;
    case WY_ONCE_TOO_NEW:
      return WY_REFUSED_TOO_NEW;
    case WY_ONCE_NOT_HOME:
      return WY_REFUSED_NOT_HOME;
    case WY_ONCE_NO_CONFIG:
      return WY_REFUSED_NO_CONFIG;
    case WY_ONCE_RUN:
    case WY_ONCE_AGAIN:
      break;
    }
  return WY_REFUSED_BUSY;
}

/* Judge a non-idempotent sending.  False when it is refused, as OUT says.  */
static bool
may_run_once (struct wy_agent *a, const struct wy_once_ask *ask,
              struct refusal *out)
{
  struct wy_once_answer v = wy_once_ask (a->once, ask);

  out->ran = v.not_run ? WY_RAN_NO : WY_RAN_UNKNOWN;
  if (v.verdict == WY_ONCE_RUN)
    return true;
  out->reason = reason_of (v.verdict);
  if (v.verdict == WY_ONCE_SEEN && wy_once_has_ended (a->once, ask->id))
    out->ran = WY_RAN_YES;
  if (v.verdict == WY_ONCE_AGAIN)
    /* From then on a sending is known to be a later one.  */
    out->retry_after_ms = 2 * (uint32_t)a->s->clock_skew_ms;
  if (v.not_run)
    wy_once_denied (a->once, ask);
  return false;
}

static bool
is_served (const struct wy_agent *a, const struct wy_frame_submit *s)
{
  return wy_bytes_equal (s->name, a->s->target_name)
         && s->is_model == (a->s->target_kind == WY_TARGET_MODEL);
}

/* What keeps a request that may run from being queued; 0: nothing.  It has
   not run.  */
static enum wy_refusal_reason
obstacle (struct wy_agent *a, const struct wy_frame_submit *s)
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
  if (!wy_agent_make_room (a))
    return WY_REFUSED_FULL;
  return 0;
}

/* A sending of a request that is known here.  True when nothing more is to be
   done for it.  */
static bool
known (struct wy_link *l, struct wy_run *r, const struct wy_frame_submit *s,
       struct refusal *no)
{
  struct refusal reused = { WY_REFUSED_BAD_REQUEST, WY_RAN_UNKNOWN, 0 };

  if (s->fingerprint != r->fingerprint)
    {
      refuse (l, s->id, &reused);
      return true;
    }
  /* An idempotent run that came to nothing may be tried here again.  */
  if (r->phase == WY_PHASE_ENDED && !r->non_idempotent
      && r->result != WY_RUN_DONE && s->attempt > r->attempt)
    {
      if (r->told || r->ran_before)
        no->ran = WY_RAN_UNKNOWN;
      wy_agent_run_forget (r);
      return false;
    }
  ++*l->agent->n.attached;
  accept_run (l, r);
  wy_agent_attach (r, l, 0);
  return true;
}

/* Take in a request.  */
void
wy_agent_submit (struct wy_link *l, const struct wy_frame_submit *s)
{
  struct wy_agent *a = l->agent;
  struct wy_run *r = wy_agent_run_find (a, s->id);
  struct refusal no = { 0, WY_RAN_NO, WY_AGENT_RETRY_MS };
  struct wy_once_ask ask;

  ++*a->n.submitted;
  if (r && known (l, r, s, &no))
    return;
  make_ask (a, s, &ask);
  if (s->non_idempotent && !may_run_once (a, &ask, &no))
    {
      refuse (l, s->id, &no);
      return;
    }
  no.reason = obstacle (a, s);
  if (no.reason)
    {
      if (s->non_idempotent && no.ran == WY_RAN_NO)
        wy_once_denied (a->once, &ask);
      refuse (l, s->id, &no);
      return;
    }
  r = wy_agent_run_new (a, s);
  r->ask = ask;
  r->ran_before = no.ran != WY_RAN_NO;
  accept_run (l, r);
  wy_agent_attach (r, l, 0);
  wy_agent_offer (r, s);
}

/* Let an entry follow a run from an offset on.  What isn't known here may
   have been: an earlier incarnation, or a result that was dropped.  */
void
wy_agent_resume (struct wy_link *l, const struct wy_frame_resume *f)
{
  struct wy_agent *a = l->agent;
  struct wy_run *r = wy_agent_run_find (a, f->id);
  struct refusal lost = { WY_REFUSED_LOST, WY_RAN_UNKNOWN, 0 };

  if (!r || f->offset_bytes > r->out->len
      || (f->run.n && !wy_bytes_equal (f->run, r->run)))
    {
      if (!r
          && wy_once_has_ended (a->once,
                                wy_hash64 (f->id.p, f->id.n, HASH_SEED)))
        lost.ran = WY_RAN_YES;
      refuse (l, f->id, &lost);
      return;
    }
  ++*a->n.resumed;
  accept_run (l, r);
  wy_agent_attach (r, l, f->offset_bytes);
}

/* An entry wants a request no more.  One that another entry still follows
   goes on.  */
void
wy_agent_cancelled (struct wy_link *l, const struct wy_frame_resume *f)
{
  struct wy_run *r = wy_agent_run_find (l->agent, f->id);

  if (!r)
    return;
  for (GList *i = r->attached.head; i; i = i->next)
    if (((struct wy_attachment *)i->data)->link != l)
      return;
  wy_agent_cancel (r);
}

/* Tell what became of a request.  */
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
      out.u.end.ran
          = wy_once_has_ended (a->once, id) ? WY_RAN_YES : WY_RAN_UNKNOWN;
    }
  wy_conn_send (l->conn, &out);
}
