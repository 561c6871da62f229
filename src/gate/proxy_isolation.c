/* Whether a request may run now, or must wait or be rejected since replicas
   have crashed under equal requests.

   With one known crash it needs a permit, of which there is one among all
   entries.  With two it is rejected.  Other requests are not affected.  */
#include "gate/proxy_state.h"

enum
{
  /* A request whose equals still run after this time is rejected.  */
  WAIT_MAX_MS = 500
};

static bool
is_suspect (struct wy_proxy_request *p)
{
  return wy_suspects_check (&p->env->crashes.suspects,
                            wy_proxy_fingerprint (p), wy_proxy_now_ms (p))
         == WY_SUSPICION_ISOLATE;
}

/* Whether P is blocked because replicas crashed while running equal requests,
   here or at other entries.  */
bool
wy_proxy_is_blocked (struct wy_proxy_request *p)
{
  struct wy_crash_tracker *w = &p->env->crashes;

  if (!wy_crash_tracker_has_suspects (w)
      || !wy_crash_tracker_is_blocked (w, wy_proxy_fingerprint (p),
                                       wy_proxy_now_ms (p)))
    return false;
  (*p->env->count.held_back)++;
  return true;
}

static enum wy_proxy_go
reject (struct wy_proxy_request *p, const char *reason)
{
  p->reject_reason = reason;
  return WY_PROXY_REJECT;
}

/* P has to wait for an equal request.  */
static enum wy_proxy_go
wait_for_equal (struct wy_proxy_request *p)
{
  int64_t now_ms = wy_proxy_now_ms (p);

  if (!p->waits_since_ms)
    {
      p->waits_since_ms = now_ms;
      (*p->env->count.waits)++;
    }
  return now_ms - p->waits_since_ms < WAIT_MAX_MS
             ? WY_PROXY_WAIT
             : reject (p, WY_PROXY_REASON_SUSPECT);
}

static void
on_permit (void *ctx)
{
  wy_proxy_start_attempt (ctx);
}

static enum wy_permit_state
permit_state (struct wy_proxy_request *p)
{
  struct wy_permit_options o
      = { .fingerprint = wy_proxy_fingerprint (p),
          .id = p->id,
          .duration_ms = MAX (p->deadline_ms - wy_proxy_now_ms (p), 0),
          .on_state = on_permit,
          .ctx = p };
  enum wy_permit_state state;

  if (!p->env->suspect_peers)
    return WY_PERMIT_GRANTED;
  if (!p->permit)
    p->permit = wy_permit_ask (p->env->suspect_peers, &o);
  state = wy_permit_state (p->permit);
  if (state == WY_PERMIT_BUSY)
    wy_proxy_end_permit (p);
  return state;
}

/* Ask for a permit for P, or see whether it has been given.  If another run
   has it, the next call asks again.  */
static enum wy_proxy_go
go_with_permit (struct wy_proxy_request *p)
{
  switch (permit_state (p))
    {
    case WY_PERMIT_GRANTED:
      return WY_PROXY_RUN;
    case WY_PERMIT_PENDING:
      return WY_PROXY_WAIT;
    case WY_PERMIT_BUSY:
      return wait_for_equal (p);
    case WY_PERMIT_BLOCKED:
      return reject (p, WY_PROXY_REASON_CRASHES_TARGETS);
    case WY_PERMIT_UNREACHED:
      return reject (p, WY_PROXY_REASON_SUSPECT);
    }
  return WY_PROXY_RUN;
}

/* Whether P, which isn't blocked, may be sent to a replica now.  IS_HEDGE: it
   is running at one already.  */
enum wy_proxy_go
wy_proxy_go (struct wy_proxy_request *p, bool is_hedge)
{
  struct wy_crash_tracker *w = &p->env->crashes;

  if (!wy_crash_tracker_has_suspects (w) || !is_suspect (p))
    return WY_PROXY_RUN;
  if (is_hedge
      || wy_crash_tracker_is_open (w, p->fingerprint, wy_proxy_now_ms (p)))
    return WY_PROXY_WAIT;
  return go_with_permit (p);
}

/* End the permit of P, if it has one.  */
void
wy_proxy_end_permit (struct wy_proxy_request *p)
{
  wy_permit_end (p->permit);
  p->permit = NULL;
}

/* P got a response: it is no longer suspect.  */
void
wy_proxy_clear_suspicion (struct wy_proxy_request *p)
{
  struct wy_gate_env *env = p->env;

  if (!wy_crash_tracker_has_suspects (&env->crashes))
    return;
  if (!is_suspect (p))
    {
      wy_crash_tracker_clear (&env->crashes, p->fingerprint);
      return;
    }
  wy_suspects_clear_lasting (&env->crashes.suspects, p->fingerprint,
                             wy_proxy_now_ms (p));
  if (env->suspect_peers)
    wy_suspect_peers_cleared (env->suspect_peers, p->fingerprint);
}
