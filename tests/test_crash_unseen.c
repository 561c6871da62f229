/* A request crashes each replica that runs it, but the entries that send it
   there don't see its connection break without a response.  */
#include <criterion/criterion.h>
#include <string.h>

#include "support/crash_fixture.h"

enum
{
  GATES = 3,
  ALL_GATES = (1 << GATES) - 1,
  DOWN_MS = 500,
  /* There have been three crashes by then.  */
  OBSERVED_MS = 8 * DOWN_MS,
  /* A replica ends 30 ms after it has begun to run the request.  */
  GIVE_UP_MS = 20
};

static struct crash_fixture x;
static uv_timer_t sender;

static void
start (const char *body)
{
  crash_fixture_start (&x,
                       &(struct crash_options){ .gates = GATES,
                                                .replicas = CRASH_REPLICAS_MAX,
                                                .down_ms = DOWN_MS,
                                                .keeps_id = true,
                                                .body = body });
}

static void
expect_blocked (void)
{
  crash_fixture_expect_rejected (&x);
  platform_fixture_run_ms (&x.w, DOWN_MS);
  crash_fixture_expect_served (&x, "good");
  crash_fixture_stop (&x);
}

static void
on_give_up (uv_timer_t *t)
{
  crash_fixture_hang_up (&x);
}

static void
on_impatient (uv_timer_t *t)
{
  static uv_timer_t give_up;

  if (!give_up.data)
    {
      uv_timer_init (&x.w.loop, &give_up);
      uv_unref ((uv_handle_t *)&give_up);
      give_up.data = &x;
    }
  x.calls[0] = crash_fixture_call (&x, x.sent++ % GATES, "bad", x.o.body);
  uv_timer_start (&give_up, on_give_up, GIVE_UP_MS, 0);
}

/* Callers hang up before the replica ends.  Guards against crashes that no
   entry counts since it had cancelled the run.  */
Test (crash_unseen, callers_give_up)
{
  start (CRASHING);
  uv_timer_init (&x.w.loop, &sender);
  uv_timer_start (&sender, on_impatient, 0, 50);
  platform_fixture_run_ms (&x.w, OBSERVED_MS);
  crash_fixture_expect_rejected (&x);
  uv_close ((uv_handle_t *)&sender, NULL);
  platform_fixture_run_ms (&x.w, DOWN_MS);
  crash_fixture_expect_served (&x, "good");
  crash_fixture_stop (&x);
}

/* The response has begun when the replica ends.  Guards against crashes that
   are not counted for that.  */
Test (crash_unseen, response_has_begun)
{
  start ("crash-late");
  crash_fixture_send_until_third_crash (&x, ALL_GATES);
  expect_blocked ();
}

static void
on_next (uv_timer_t *t)
{
  if (x.calls[0] && !x.calls[0]->done)
    return;
  crash_fixture_hang_up (&x);
  x.calls[0] = crash_fixture_call (&x, x.sent++ % GATES, "bad", x.o.body);
}

/* One replica responds with an error to all that it gets, without running it.
   Guards against errors that clear a request of the crashes of others.  */
Test (crash_unseen, error_of_another_replica)
{
  crash_fixture_start (&x, &(struct crash_options){ .gates = GATES,
                                                    .replicas = 2,
                                                    .down_ms = DOWN_MS,
                                                    .keeps_id = true });
  wy_platform_replica_faults (x.replicas[0].replica)->respond_500 = UINT32_MAX;
  uv_timer_init (&x.w.loop, &sender);
  uv_timer_start (&sender, on_next, 0, 50);
  platform_fixture_run_ms (&x.w, OBSERVED_MS);
  crash_fixture_expect_rejected (&x);
  uv_close ((uv_handle_t *)&sender, NULL);
  crash_fixture_stop (&x);
}
