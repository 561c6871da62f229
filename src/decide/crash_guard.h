/* Whether a request may run, while targets crash.  */
#ifndef WY_DECIDE_CRASH_GUARD_H
#define WY_DECIDE_CRASH_GUARD_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/run_permits.h"

enum
{
  /* A request that still has to wait after this time is rejected if a target
     has crashed under it, else run.  */
  WY_CRASH_GUARD_WAIT_SUSPECT_MS = 500,
  WY_CRASH_GUARD_WAIT_MS = 200
};

/* What an entry knows of a request that is about to be sent to a target.  */
struct wy_crash_guard_request
{
  uint32_t crashes;     /* of targets that ran equal requests */
  bool service_crashed; /* a target of its service has crashed recently */
  bool equal_answered;  /* an equal request was answered since then */
  bool equal_running;   /* at this entry */
  /* Whether a target has crashed under an equal request will be known soon.
   */
  bool verdict_pending;
  bool is_hedge; /* it is running at another target */
  enum wy_permit_state permit;
  int64_t waited_ms; /* for an equal request */
};

enum wy_crash_guard_action
{
  WY_CRASH_GUARD_RUN,
  WY_CRASH_GUARD_WAIT,
  WY_CRASH_GUARD_ASK,            /* for a permit, and decide again */
  WY_CRASH_GUARD_REJECT_BLOCKED, /* it crashes targets */
  WY_CRASH_GUARD_REJECT_SUSPECT  /* an equal one is still running */
};

enum wy_crash_guard_action
wy_crash_guard_check (const struct wy_crash_guard_request *r);

#endif
