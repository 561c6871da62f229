/* Scaling under various load patterns, in virtual time.  */
#include <criterion/criterion.h>

#include "decide/scaling.h"

enum
{
  TICK_MS = 500,
  SLOTS = 6
};

static struct wy_scaling s;
static struct wy_scaling_load load;
static int64_t now_ms;
static uint32_t changes; /* of the number of replicas */

static void
start (uint32_t replicas)
{
  s = (struct wy_scaling){ .desired = replicas };
  load = (struct wy_scaling_load){ .minimum = 1,
                                   .maximum = 4,
                                   .boot_ms = 3000,
                                   .slots = SLOTS,
                                   .all_reported = true };
  now_ms = 0;
  changes = 0;
}

static uint32_t
run (double busy, int64_t ms)
{
  uint32_t n = s.desired;

  load.busy_slots = busy;
  for (int64_t until_ms = now_ms + ms; now_ms < until_ms; now_ms += TICK_MS)
    {
      uint32_t next = wy_scaling_next (&s, &load, now_ms);

      changes += next != n;
      n = next;
    }
  return n;
}

/* A steady load causes no change.  */
Test (scaling, steady)
{
  start (1);
  cr_expect_eq (run (2, 60000), 1);
  cr_expect_eq (changes, 0);
}

/* An increase of the load is followed at the next evaluation.  */
Test (scaling, step_up)
{
  start (1);
  run (2, 10000);
  cr_expect_eq (run (7, TICK_MS), 2);
  cr_expect_eq (run (13, TICK_MS), 4);
  cr_expect_eq (run (60, TICK_MS), 4);
}

/* A decrease of the load causes a single change, after some time.  */
Test (scaling, step_down)
{
  start (4);
  cr_expect_eq (run (2, 9000), 4);
  cr_expect_eq (run (2, 4000), 1);
  cr_expect_eq (changes, 1);
}

/* Replicas are kept if the load fluctuates faster than replicas are
   removed.  */
Test (scaling, fluctuations)
{
  start (1);
  for (int i = 0; i < 10; i++)
    {
      run (7, 4000);
      run (2, 4000);
    }
  cr_expect_eq (changes, 1);
  cr_expect_eq (s.desired, 2);
}

/* Some entries have not reported their load, for example while the store is
   unreachable.  The incomplete sum must not cause replicas to be removed.  */
Test (scaling, reports_missing)
{
  start (3);
  load.all_reported = false;
  cr_expect_eq (run (0, 60000), 3);
  cr_expect_eq (run (20, TICK_MS), 4);
}

/* Another availability zone fails, and this one gets its load as well.  */
Test (scaling, other_zone_failed)
{
  start (2);
  run (6, 20000);
  cr_expect_eq (run (12, TICK_MS), 4);
}

/* While replicas start, the load on the running ones must not cause more to be
   started.  */
Test (scaling, starting)
{
  start (1);
  cr_expect_eq (run (6, TICK_MS), 2);
  cr_expect_eq (run (6, 3000), 2);
  cr_expect_eq (changes, 1);
}

/* Changed limits are applied immediately.  */
Test (scaling, limits)
{
  start (2);
  load.minimum = 3;
  cr_expect_eq (run (0, TICK_MS), 3);
  load.maximum = 3;
  cr_expect_eq (run (60, TICK_MS), 3);
  load.minimum = 1;
  load.maximum = 2;
  cr_expect_eq (run (60, TICK_MS), 2);
}
