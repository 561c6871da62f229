/* A request that crashes each replica that runs it is sent again and again, to
   two wygated processes, while the replicas return seconds after each crash.
 */
#include <criterion/criterion.h>

#include "support/crash_fixture.h"

enum
{
  GATES = 2,
  ALL_GATES = (1 << GATES) - 1
};

static struct crash_fixture x;

/* Start two gates before N replicas, which return DOWN_MS after a crash.  */
static void
start (uint32_t n, uint32_t down_ms, bool keeps_id)
{
  crash_fixture_start (&x, &(struct crash_options){ .gates = GATES,
                                                    .replicas = n,
                                                    .down_ms = down_ms,
                                                    .keeps_id = keeps_id });
}

/* Replicas that crashed return under new ids before their rows lapse.  Guards
   against a request that crashes them again.  */
Test (crash_loop, replicas_return_before_their_rows_lapse)
{
  start (CRASH_REPLICAS_MAX, CRASH_DOWN_MS, false);
  crash_fixture_send_until_third_crash (&x, ALL_GATES);
  crash_fixture_expect_rejected (&x);
  crash_fixture_expect_served (&x, "good");
  crash_fixture_stop (&x);
}

/* The only replica returns under its id.  Guards against crashes that are not
   counted because they are of the same id.  */
Test (crash_loop, replica_returns_under_its_id)
{
  start (1, 500, true);
  crash_fixture_send_until_third_crash (&x, ALL_GATES);
  crash_fixture_expect_rejected (&x);
  platform_fixture_run_ms (&x.w, 600);
  crash_fixture_expect_served (&x, "good");
  crash_fixture_stop (&x);
}

/* The store does not respond from before the first crash on, so that the list
   of replicas shows none.  Guards against an entry that learns of crashes from
   the store alone.  */
Test (crash_loop, store_is_away)
{
  start (CRASH_REPLICAS_MAX, 500, true);
  wy_platform_store_faults (x.w.store)->silent = true;
  crash_fixture_send_until_third_crash (&x, ALL_GATES);
  crash_fixture_expect_rejected (&x);
  crash_fixture_stop (&x);
}

/* All entries start again after the request was blocked.  Guards against
   entries that forget it.  */
Test (crash_loop, entries_start_again)
{
  start (CRASH_REPLICAS_MAX, CRASH_DOWN_MS, false);
  crash_fixture_send_until_third_crash (&x, ALL_GATES);
  platform_fixture_run_ms (&x.w, CRASH_LAPSE_MS + 500);
  crash_fixture_send (&x, 0);
  for (uint32_t i = 0; i < GATES; i++)
    {
      crash_fixture_kill (&x, i);
      platform_fixture_run_ms (&x.w, 300);
      crash_fixture_launch (&x, i);
      crash_fixture_await_ready (&x, i);
    }
  platform_fixture_run_ms (&x.w, CRASH_DOWN_MS);
  x.late_runs = 0;
  crash_fixture_send (&x, ALL_GATES);
  crash_fixture_expect_rejected (&x);
  crash_fixture_stop (&x);
}
