/* Whether a request may run now, or must wait or be rejected since replicas
   have crashed under equal requests, or may have.

   With one known crash a request waits while an equal one runs here, and needs
   a permit, of which there is one among all entries.  For some time after a
   replica has crashed this is also so for a request that has waited or failed
   in this time, while no equal one was answered.  With two crashes it is
   rejected.  Other requests are not affected.  */
#include "gate/proxy_state.h"

enum
{
  /* A request that still has to wait after this time is rejected if a replica
     has crashed under it, else run.  */
  WAIT_SUSPECT_MAX_MS = 500,
  WAIT_MAX_MS = 200,
  /* Time for an entry to give a permit.  Most requests that need one crash
     nothing, so it is short where no crash is known.  */
  PERMIT_SUSPECT_MAX_MS = 300,
  PERMIT_MAX_MS = 50
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

/* P has to wait, or is not kept any longer.  */
static enum wy_proxy_go
wait_for_equal (struct wy_proxy_request *p, bool suspect)
{
  int64_t now_ms = wy_proxy_now_ms (p);
  int64_t max_ms = suspect ? WAIT_SUSPECT_MAX_MS : WAIT_MAX_MS;

  if (!p->waits_since_ms)
    {
      p->waits_since_ms = now_ms;
      (*p->env->count.waits)++;
    }
  if (now_ms - p->waits_since_ms < max_ms)
    return WY_PROXY_WAIT;
  return suspect ? reject (p, WY_PROXY_REASON_SUSPECT) : WY_PROXY_RUN;
}

static void
on_permit (void *ctx)
{
  wy_proxy_start_attempt (ctx);
}

static enum wy_permit_state
permit_state (struct wy_proxy_request *p, bool suspect)
{
  struct wy_permit_options o
      = { .fingerprint = wy_proxy_fingerprint (p),
          .id = p->id,
          .duration_ms = MAX (p->deadline_ms - wy_proxy_now_ms (p), 0),
          .timeout_ms = suspect ? PERMIT_SUSPECT_MAX_MS : PERMIT_MAX_MS,
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
go_with_permit (struct wy_proxy_request *p, bool suspect)
{
  switch (permit_state (p, suspect))
    {
    case WY_PERMIT_GRANTED:
      return WY_PROXY_RUN;
    case WY_PERMIT_PENDING:
      return WY_PROXY_WAIT;
    case WY_PERMIT_BUSY:
      return wait_for_equal (p, suspect);
    case WY_PERMIT_BLOCKED:
      return reject (p, WY_PROXY_REASON_CRASHES_TARGETS);
    case WY_PERMIT_UNREACHED:
      return suspect ? reject (p, WY_PROXY_REASON_SUSPECT) : WY_PROXY_RUN;
    }
  return WY_PROXY_RUN;
}

/* Whether P has waited or failed since replicas crash, and no equal request
   was answered, as with one that crashes them.  */
static bool
comes_again (const struct wy_proxy_request *p)
{
  const struct wy_isolation *i = &p->env->isolation;

  if (!wy_isolation_is_alert (i, wy_proxy_now_ms (p)))
    return false;
  switch (wy_isolation_outcome (i, p->fingerprint))
    {
    case WY_ISOLATION_UNKNOWN:
      return p->sends > 0 || p->capacity_retries > 0;
    case WY_ISOLATION_FAILED:
      return true;
    case WY_ISOLATION_ANSWERED:
      return false;
    }
  return false;
}

/* Whether an equal request may be about to crash its replica, or an attempt of
   P itself may have crashed it.  */
static bool
must_wait (const struct wy_proxy_request *p)
{
  const struct wy_gate_env *env = p->env;

  return wy_crash_tracker_is_open (&env->crashes, p->fingerprint,
                                   wy_proxy_now_ms (p))
         || (!p->is_isolated
             && wy_isolation_is_running (&env->isolation, p->fingerprint));
}

/* Whether P, which isn't blocked, may be sent to a replica now.  IS_HEDGE: it
   is running at one already.  */
enum wy_proxy_go
wy_proxy_go (struct wy_proxy_request *p, bool is_hedge)
{
  struct wy_gate_env *env = p->env;
  int64_t now_ms = wy_proxy_now_ms (p);
  bool suspect;

  if (!wy_crash_tracker_has_suspects (&env->crashes)
      && !wy_isolation_is_alert (&env->isolation, now_ms))
    return WY_PROXY_RUN;
  suspect = is_suspect (p);
  if (is_hedge)
    return suspect ? WY_PROXY_WAIT : WY_PROXY_RUN;
  if (!suspect && !comes_again (p))
    return WY_PROXY_RUN;
  if (must_wait (p))
    {
      enum wy_proxy_go go = wait_for_equal (p, suspect);

      if (go != WY_PROXY_RUN)
        return go;
    }
  return go_with_permit (p, suspect);
}

/* P is about to be sent to a replica.  While some requests are suspect, or
   replicas have just crashed, equal requests may have to wait for P.  */
void
wy_proxy_isolate (struct wy_proxy_request *p)
{
  struct wy_gate_env *env = p->env;

  p->waits_since_ms = 0;
  if (p->is_isolated
      || (!wy_crash_tracker_has_suspects (&env->crashes)
          && !wy_isolation_is_alert (&env->isolation, wy_proxy_now_ms (p))))
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

/* P has failed.  If this may be since it crashes replicas, it is known when it
   comes again.  */
void
wy_proxy_note_failure (struct wy_proxy_request *p)
{
  struct wy_isolation *i = &p->env->isolation;

  if (wy_isolation_is_alert (i, wy_proxy_now_ms (p)))
    wy_isolation_ended (i, wy_proxy_fingerprint (p), WY_ISOLATION_FAILED);
}

/* P, which may have waited or failed before, was answered: equal requests need
   not wait.  */
static void
note_answer (struct wy_proxy_request *p)
{
  struct wy_isolation *i = &p->env->isolation;
  uint64_t f = wy_proxy_fingerprint (p);

  if (p->sends > 1 || p->capacity_retries > 0
      || wy_isolation_outcome (i, f) == WY_ISOLATION_FAILED)
    wy_isolation_ended (i, f, WY_ISOLATION_ANSWERED);
}

/* P got a response: it is no longer suspect.  */
void
wy_proxy_clear_suspicion (struct wy_proxy_request *p)
{
  struct wy_gate_env *env = p->env;

  if (wy_isolation_is_alert (&env->isolation, wy_proxy_now_ms (p)))
    note_answer (p);
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
