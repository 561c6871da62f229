/* Decisions of an entry that stops, under the loads that reach it then.  */
#include <criterion/criterion.h>

#include "decide/stop.h"

enum
{
  GRACE_MS = 8000
};

static struct wy_stop
at (int64_t since_ms)
{
  return (struct wy_stop){ .since_ms = since_ms, .grace_ms = GRACE_MS };
}

static bool
admits (int64_t since_ms, bool is_repeatable, int64_t limit_ms,
        int64_t typical_ms)
{
  struct wy_stop s = at (since_ms);
  struct wy_stop_request r = { .is_repeatable = is_repeatable,
                               .limit_ms = limit_ms,
                               .typical_ms = typical_ms };

  return wy_stop_admits (&s, &r);
}

/* New connections that bring short requests for two more seconds: guards
   against refusing what can be served.  */
Test (decide_stop, takes_what_ends_in_time)
{
  cr_expect (admits (0, true, 2000, 400));
  cr_expect (admits (2000, false, 2000, 0));
  cr_expect (admits (2000, true, 10000, 400));
  cr_expect (admits (4800, false, 2000, 0));
}

/* Idle connections that bring long streams and requests that may run once:
   guards against taking what is cut off at the end.  */
Test (decide_stop, refuses_what_may_not_end)
{
  cr_expect_not (admits (0, false, 12000, 400));
  cr_expect_not (admits (0, false, 0, 400));
  cr_expect_not (admits (4801, false, 2000, 0));
  cr_expect_not (admits (5201, true, 10000, 400));
  cr_expect_not (admits (100, true, 10000, 0));
}

/* Guards against a request taken after the others have been given up.  */
Test (decide_stop, takes_nothing_at_the_end)
{
  struct wy_stop s = at (6799);

  cr_expect_not (wy_stop_gives_up (&s));
  cr_expect (admits (6799, true, 1, 0));
  s = at (6800);
  cr_expect (wy_stop_gives_up (&s));
  cr_expect_not (admits (6800, true, 1, 1));
  s = (struct wy_stop){ .grace_ms = 1000 };
  cr_expect (wy_stop_gives_up (&s));
}

/* Guards against closing a connection whose request is under way, and against
   keeping those of callers that come back seconds later.  */
Test (decide_stop, closes_idle_connections)
{
  struct wy_stop early = at (2499);
  struct wy_stop late = at (2500);

  cr_expect_not (wy_stop_closes_idle (&early, 12000));
  cr_expect (wy_stop_closes_idle (&late, 300));
  cr_expect_not (wy_stop_closes_idle (&late, 299));
}

static enum wy_stop_step
next (int64_t since_ms, uint32_t connections, uint32_t jobs, bool has_left)
{
  struct wy_stop s = at (since_ms);
  struct wy_stop_work w
      = { .connections = connections, .jobs = jobs, .has_left = has_left };

  return wy_stop_next (&s, &w);
}

/* Guards against a job that waits for its next holder after the entry could
   have left, and one that is handed over although it may end here.  */
Test (decide_stop, leaves_without_jobs_or_at_half_time)
{
  cr_expect_eq (next (2499, 0, 0, false), WY_STOP_GO_ON);
  cr_expect_eq (next (2500, 3, 0, false), WY_STOP_LEAVE);
  cr_expect_eq (next (3999, 0, 2, false), WY_STOP_GO_ON);
  cr_expect_eq (next (4000, 0, 2, false), WY_STOP_LEAVE);
}

/* Guards against a process that ends while answers are read, and against one
   that waits until it is killed.  */
Test (decide_stop, ends_when_nothing_is_left)
{
  cr_expect_eq (next (2600, 0, 0, true), WY_STOP_END_IDLE);
  cr_expect_eq (next (2600, 1, 0, true), WY_STOP_GO_ON);
  cr_expect_eq (next (4100, 0, 1, true), WY_STOP_GO_ON);
  cr_expect_eq (next (7599, 1, 1, true), WY_STOP_GO_ON);
  cr_expect_eq (next (7600, 1, 1, true), WY_STOP_END_OF_TIME);
  cr_expect_eq (next (7600, 0, 0, false), WY_STOP_END_OF_TIME);
}
