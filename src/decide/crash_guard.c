/* Decides whether a request may run, while targets crash.

   A request that crashes each target which runs it is repeated by its caller
   at any entry.  Two known crashes block it.  With one, or if a target of its
   service has crashed recently and no equal request was answered since, it
   needs a permit, of which there is one among all entries: the entry that saw
   the crashes may have died without telling, and if each of the others ran the
   request once to find out, they would crash as many targets.  Other requests
   are not affected.  */
#include "decide/crash_guard.h"

#include "decide/suspect.h"

static bool
is_suspect (const struct wy_crash_guard_request *r)
{
  return r->crashes > 0;
}

/* Whether R may run only with a permit, unless it is blocked.  */
static bool
needs_permit (const struct wy_crash_guard_request *r)
{
  return is_suspect (r) || (r->service_crashed && !r->equal_answered);
}

/* R has to wait, or has waited long enough.  */
static enum wy_crash_guard_action
wait_for_equal (const struct wy_crash_guard_request *r)
{
  int64_t max_ms = is_suspect (r) ? WY_CRASH_GUARD_WAIT_SUSPECT_MS
                                  : WY_CRASH_GUARD_WAIT_MS;

  if (r->waited_ms < max_ms)
    return WY_CRASH_GUARD_WAIT;
  return is_suspect (r) ? WY_CRASH_GUARD_REJECT_SUSPECT : WY_CRASH_GUARD_RUN;
}

static enum wy_crash_guard_action
check_permit (const struct wy_crash_guard_request *r)
{
  switch (r->permit)
    {
    case WY_PERMIT_NONE:
      return WY_CRASH_GUARD_ASK;
    case WY_PERMIT_PENDING:
      return WY_CRASH_GUARD_WAIT;
    case WY_PERMIT_GRANTED:
      return WY_CRASH_GUARD_RUN;
    case WY_PERMIT_BUSY:
      return wait_for_equal (r);
    case WY_PERMIT_BLOCKED:
      return WY_CRASH_GUARD_REJECT_BLOCKED;
    case WY_PERMIT_UNREACHED:
      return is_suspect (r) ? WY_CRASH_GUARD_REJECT_SUSPECT
                            : WY_CRASH_GUARD_RUN;
    }
  return WY_CRASH_GUARD_REJECT_SUSPECT;
}

/* What to do with R.  */
enum wy_crash_guard_action
wy_crash_guard_check (const struct wy_crash_guard_request *r)
{
  if (r->crashes >= WY_SUSPECT_CRASHES_MAX)
    return WY_CRASH_GUARD_REJECT_BLOCKED;
  if (!needs_permit (r))
    return WY_CRASH_GUARD_RUN;
  if (r->is_hedge)
    return is_suspect (r) ? WY_CRASH_GUARD_WAIT : WY_CRASH_GUARD_RUN;
  if (r->verdict_pending || r->equal_running)
    {
      enum wy_crash_guard_action action = wait_for_equal (r);

      if (action != WY_CRASH_GUARD_RUN)
        return action;
    }
  return check_permit (r);
}
