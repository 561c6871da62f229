/* Whether an attempt may have run its request.

   A caller repeats a non-idempotent request if the response says that it has
   not run, so that must be certain.  It is certain only if nothing was sent,
   or if the target says so in a complete response to this request.  A lost
   connection, a timeout or a response to another request proves nothing.  */
#include "decide/attempt.h"

enum
{
  REQUEST_TIMEOUT = 408,
  MISDIRECTED_REQUEST = 421,
  TOO_MANY_REQUESTS = 429,
  BAD_GATEWAY = 502,
  SERVICE_UNAVAILABLE = 503,
  GATEWAY_TIMEOUT = 504
};

/* Whether the request of A may have run or may still run.  */
bool
wy_attempt_may_have_run (const struct wy_attempt *a)
{
  if (!a->sent)
    return false;
  return !a->complete || a->mismatched || !a->not_run;
}

/* Whether STATUS tells callers that the request has not run and will not.  */
bool
wy_attempt_status_implies_not_run (int status)
{
  return status == REQUEST_TIMEOUT || status == MISDIRECTED_REQUEST
         || status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE;
}

/* Whether the response of A must not be forwarded: its status implies that the
   request has not run, but the target does not confirm it.  */
bool
wy_attempt_is_unclear_refusal (const struct wy_attempt *a)
{
  return a->complete && !a->not_run
         && wy_attempt_status_implies_not_run (a->status);
}

/* The status to return for a request that is given up.  LATE is true if its
   time limit has been reached.  */
int
wy_attempt_failure_status (bool may_have_run, bool late)
{
  if (!may_have_run)
    return SERVICE_UNAVAILABLE;
  return late ? GATEWAY_TIMEOUT : BAD_GATEWAY;
}
