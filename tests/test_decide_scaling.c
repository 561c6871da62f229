/* Scaling under patterns of load, in virtual time.  */
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
static uint32_t orders; /* changes of the number */

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
  orders = 0;
}

static uint32_t
run (double busy, int64_t ms)
{
  uint32_t n = s.desired;

  load.busy_slots = busy;
  for (int64_t until_ms = now_ms + ms; now_ms < until_ms; now_ms += TICK_MS)
    {
      uint32_t next = wy_scaling_next (&s, &load, now_ms);

      orders += next != n;
      n = next;
    }
  return n;
}

/* A steady load needs no orders.  */
Test (scaling, steady)
{
  start (1);
  cr_expect_eq (run (2, 60000), 1);
  cr_expect_eq (orders, 0);
}

/* A load that grows threefold is answered with the next look at it.  */
Test (scaling, step_up)
{
  start (1);
  run (2, 10000);
  cr_expect_eq (run (7, TICK_MS), 2);
  cr_expect_eq (run (13, TICK_MS), 4);
  cr_expect_eq (run (60, TICK_MS), 4);
}

/* A load that falls costs one order, after a while.  */
Test (scaling, step_down)
{
  start (4);
  cr_expect_eq (run (2, 9000), 4);
  cr_expect_eq (run (2, 4000), 1);
  cr_expect_eq (orders, 1);
}

/* A load that swings faster than replicas are taken away keeps them.  */
Test (scaling, swings)
{
  start (1);
  for (int i = 0; i < 10; i++)
    {
      run (7, 4000);
      run (2, 4000);
    }
  cr_expect_eq (orders, 1);
  cr_expect_eq (s.desired, 2);
}

/* Some entries have not told of their load, as while the store is away: that
   it seems low is no reason to take replicas away.  */
Test (scaling, reports_missing)
{
  start (3);
  load.all_reported = false;
  cr_expect_eq (run (0, 60000), 3);
  cr_expect_eq (run (20, TICK_MS), 4);
}

/* Replicas of another zone are lost, and this one has their load as well.  */
Test (scaling, other_zone_lost)
{
  start (2);
  run (6, 20000);
  cr_expect_eq (run (12, TICK_MS), 4);
}

/* While replicas start, the load is that of the ones there are; no more are
   ordered for it.  */
Test (scaling, starting)
{
  start (1);
  cr_expect_eq (run (6, TICK_MS), 2);
  cr_expect_eq (run (6, 3000), 2);
  cr_expect_eq (orders, 1);
}

/* The bounds change with the configuration, and hold at once.  */
Test (scaling, bounds)
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
