/* Asks the crash guard whether a request may run now, gets the permit that it
   may need, and records how equal requests end.  */
#include "decide/crash_guard.h"
#include "gate/proxy_state.h"

enum
{
  /* Time for an entry to give a permit.  Most requests that need one crash
     nothing, so it is short where no crash is known.  */
  PERMIT_SUSPECT_MAX_MS = 300,
  PERMIT_MAX_MS = 150
};

static bool
is_suspect (struct wy_proxy_request *p)
{
  return wy_suspects_check (&p->env->crashes.suspects,
                            wy_proxy_fingerprint (p), wy_proxy_now_ms (p))
         == WY_SUSPICION_ISOLATE;
}

/* Whether requests run with care: some are suspect, or a replica has crashed
   recently.  If not, fingerprints needn't be computed.  */
static bool
is_guarded (const struct wy_proxy_request *p)
{
  return wy_crash_tracker_has_suspects (&p->env->crashes)
         || wy_isolation_has_crashed (&p->env->isolation, p->service,
                                      wy_proxy_now_ms (p));
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

static void
on_permit (void *ctx)
{
  wy_proxy_start_attempt (ctx);
}

static void
ask_for_permit (struct wy_proxy_request *p)
{
  struct wy_permit_options o
      = { .fingerprint = wy_proxy_fingerprint (p),
          .id = p->id,
          .duration_ms = MAX (p->deadline_ms - wy_proxy_now_ms (p), 0),
          .timeout_ms = is_suspect (p) ? PERMIT_SUSPECT_MAX_MS : PERMIT_MAX_MS,
          .on_state = on_permit,
          .ctx = p };

  p->permit = wy_permit_ask (p->env->suspect_peers, &o);
}

static enum wy_permit_state
permit_state (const struct wy_proxy_request *p)
{
  if (!p->env->suspect_peers)
    return WY_PERMIT_GRANTED;
  return p->permit ? wy_permit_state (p->permit) : WY_PERMIT_NONE;
}

static struct wy_crash_guard_request
describe (struct wy_proxy_request *p, bool is_hedge)
{
  struct wy_gate_env *env = p->env;
  uint64_t f = wy_proxy_fingerprint (p);
  int64_t now_ms = wy_proxy_now_ms (p);

  return (struct wy_crash_guard_request){
    .crashes = wy_suspects_crashes (&env->crashes.suspects, f, now_ms),
    .service_crashed
    = wy_isolation_has_crashed (&env->isolation, p->service, now_ms),
    .equal_answered = wy_isolation_was_answered (&env->isolation, f, now_ms),
    .equal_running
    = !p->is_isolated && wy_isolation_is_running (&env->isolation, f),
    .verdict_pending = wy_crash_tracker_is_open (&env->crashes, f, now_ms),
    .is_hedge = is_hedge,
    .permit = permit_state (p),
    .waited_ms = p->waits_since_ms ? now_ms - p->waits_since_ms : 0
  };
}

/* P waits for its permit or for an equal request.  If another run has the
   permit, the next call asks for it again.  */
static void
wait_for_equal (struct wy_proxy_request *p)
{
  if (permit_state (p) == WY_PERMIT_PENDING)
    return;
  if (permit_state (p) == WY_PERMIT_BUSY)
    wy_proxy_end_permit (p);
  if (p->waits_since_ms)
    return;
  p->waits_since_ms = wy_proxy_now_ms (p);
  (*p->env->count.waits)++;
}

/* Whether P may be sent to a replica now.  IS_HEDGE: it is running at one
   already.  */
enum wy_proxy_go
wy_proxy_go (struct wy_proxy_request *p, bool is_hedge)
{
  struct wy_crash_guard_request r;
  enum wy_crash_guard_action action;

  if (!is_guarded (p))
    return WY_PROXY_RUN;
  r = describe (p, is_hedge);
  action = wy_crash_guard_check (&r);
  if (action == WY_CRASH_GUARD_ASK)
    {
      ask_for_permit (p);
      r = describe (p, is_hedge);
      action = wy_crash_guard_check (&r);
    }
  switch (action)
    {
    case WY_CRASH_GUARD_RUN:
      return WY_PROXY_RUN;
    case WY_CRASH_GUARD_WAIT:
    case WY_CRASH_GUARD_ASK:
      if (!is_hedge)
        wait_for_equal (p);
      return WY_PROXY_WAIT;
    case WY_CRASH_GUARD_REJECT_BLOCKED:
      return reject (p, WY_PROXY_REASON_CRASHES_TARGETS);
    case WY_CRASH_GUARD_REJECT_SUSPECT:
      return reject (p, WY_PROXY_REASON_SUSPECT);
    }
  return WY_PROXY_RUN;
}

/* P is about to be sent to a replica.  While some requests are suspect, or
   replicas have just crashed, equal requests may have to wait for P.  */
void
wy_proxy_isolate (struct wy_proxy_request *p)
{
  struct wy_gate_env *env = p->env;

  p->waits_since_ms = 0;
  if (p->is_isolated || !is_guarded (p))
    return;
  wy_isolation_begin (&env->isolation, wy_proxy_fingerprint (p));
  p->is_isolated = true;
}

/* End the permit of P, if it has one.  */
void
wy_proxy_end_permit (struct wy_proxy_request *p)
{
  wy_permit_end (p->permit);
  p->permit = NULL;
}

/* P has ended: equal requests need not wait for it any longer.  */
void
wy_proxy_end_isolation (struct wy_proxy_request *p)
{
  wy_proxy_end_permit (p);
  if (p->is_isolated)
    wy_isolation_end (&p->env->isolation, p->fingerprint);
  p->is_isolated = false;
}

/* P got a response: it is no longer suspect.  */
void
wy_proxy_clear_suspicion (struct wy_proxy_request *p)
{
  struct wy_gate_env *env = p->env;

  if (!is_guarded (p))
    return;
  wy_isolation_note_answer (&env->isolation, wy_proxy_fingerprint (p),
                            wy_proxy_now_ms (p));
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
