/* Whether a run of a job item is moved: replicas that are always slower, or
   slower for some seconds, and items with little left.  */
#include <criterion/criterion.h>

#include "base/rng.h"
#include "decide/run_move.h"
#include "decide/run_progress.h"
#include "decide/running_median.h"
#include "decide/usual_pace.h"

enum
{
  FAST_MS = 35,
  SLOW_MS = 85, /* relative times per event .7, .7, 1.7 */
  RUNS = 8
};

struct target
{
  struct wy_usual_pace usual;
  struct wy_rng rng;
  int64_t now_ms;
  uint32_t slow_checks;
};

/* Pass N events of each of RUNS runs, EVENT_MS each with a variation of a
   third.  Counts the checks that find a run slow.  */
static void
pass_events (struct target *t, uint32_t n, double event_ms)
{
  double previous_ms[RUNS] = { 0 };

  for (uint32_t e = 1; e <= n; e++)
    for (uint32_t k = 0; k < RUNS; k++)
      {
        double ms
            = event_ms * (100 + (int)wy_rng_below (&t->rng, 67) - 33) / 100;
        struct wy_run_progress_options o
            = { .n_events = e,
                .last_event_ms = ms,
                .previous_event_ms = previous_ms[k],
                .typical_event_ms = FAST_MS,
                .usual_event_ms = wy_usual_pace_ms (&t->usual) };

        t->slow_checks += wy_run_progress_assess (&o) == WY_RUN_PROGRESS_SLOW;
        previous_ms[k] = ms;
        t->now_ms += (int64_t)(event_ms / RUNS);
        wy_usual_pace_record (&t->usual, ms, t->now_ms);
      }
}

/* Load: relative times per event .7, .7, 1.7.  A third of the replicas always
   takes more than twice the typical time per event.  If they counted as slow,
   each run there would be interrupted after three events and lose its place;
   interrupted runs were .385 of the arrivals.  */
Test (run_move, permanently_slow_target_is_not_slow)
{
  struct target t = { .now_ms = 1 };

  wy_rng_seed (&t.rng, 3);
  for (int k = 0; k < 20; k++)
    pass_events (&t, 40, SLOW_MS);
  cr_expect_eq (t.slow_checks, 0);
}

/* Load: one in five three times slower for 8 s.  A run on such a replica must
   count as slow until the end of that time, also on one that is slower than
   others anyway, and soon after it no longer.  */
Test (run_move, temporary_slowness_is_found)
{
  static const double paces_ms[] = { FAST_MS, SLOW_MS };

  for (int k = 0; k < 2; k++)
    {
      struct target t = { .now_ms = 1 };
      uint32_t events = (uint32_t)(8000 / (3 * paces_ms[k]));

      wy_rng_seed (&t.rng, 5);
      pass_events (&t, 100, paces_ms[k]);
      pass_events (&t, events, 3 * paces_ms[k]);
      cr_expect_gt (t.slow_checks, events * RUNS * 3 / 4);
      pass_events (&t, 50, paces_ms[k]);
      t.slow_checks = 0;
      pass_events (&t, 50, paces_ms[k]);
      cr_expect_eq (t.slow_checks, 0);
    }
}

/* The first runs on a replica that nothing is known of must not be moved
   before five events, which show its usual pace.  */
Test (run_move, unknown_usual_pace)
{
  struct wy_run_progress_options o = { .n_events = 5,
                                       .last_event_ms = SLOW_MS,
                                       .previous_event_ms = SLOW_MS,
                                       .typical_event_ms = FAST_MS };

  cr_expect_eq (wy_run_progress_assess (&o), WY_RUN_PROGRESS_NORMAL);
  o.n_events++;
  cr_expect_eq (wy_run_progress_assess (&o), WY_RUN_PROGRESS_SLOW);
}

/* Half of the runs that were moved had about three events left, which take
   less time than to process the prompt and the text again.  An item past its
   expected length may still be one of the longest.  */
Test (run_move, rest_must_cost_more_here)
{
  struct wy_run_move_options o = { .expected_events = 40,
                                   .here_ms = 3 * FAST_MS,
                                   .there_ms = FAST_MS,
                                   .first_event_ms = 300 };

  o.events_done = 10;
  cr_expect (wy_run_move_is_worthwhile (&o));
  o.events_done = 37;
  cr_expect_not (wy_run_move_is_worthwhile (&o));
  o.events_done = 60;
  cr_expect (wy_run_move_is_worthwhile (&o));
  o.here_ms = FAST_MS;
  cr_expect_not (wy_run_move_is_worthwhile (&o));
  o.expected_events = 0;
  cr_expect (wy_run_move_is_worthwhile (&o));
}

/* Load: relative times per event .7, .7, 1.7.  A long item on a replica that
   is always slow ends late; it must be moved if it ends in time elsewhere, but
   the items that end in time here must not be.  */
Test (run_move, late_run_leaves_a_slow_target)
{
  struct wy_run_progress_options p = { .n_events = 6,
                                       .last_event_ms = SLOW_MS,
                                       .previous_event_ms = SLOW_MS,
                                       .typical_event_ms = FAST_MS,
                                       .usual_event_ms = SLOW_MS };
  struct wy_run_move_options o = { .events_done = 6,
                                   .expected_events = 86,
                                   .here_ms = SLOW_MS,
                                   .there_ms = FAST_MS,
                                   .first_event_ms = 300,
                                   .has_due = true,
                                   .time_left_ms = 6000 };

  cr_expect_eq (wy_run_progress_assess (&p), WY_RUN_PROGRESS_SLOW_TARGET);
  p.n_events = 5;
  cr_expect_eq (wy_run_progress_assess (&p), WY_RUN_PROGRESS_NORMAL);
  cr_expect (wy_run_move_is_late_here (&o));
  cr_expect (wy_run_move_is_in_time (&o));
  o.time_left_ms = 3000;
  cr_expect_not (wy_run_move_is_in_time (&o));
  o.time_left_ms = 10000;
  cr_expect_not (wy_run_move_is_late_here (&o));
  o.time_left_ms = 6000;
  o.has_due = false;
  cr_expect_not (wy_run_move_is_late_here (&o));
}

/* The submitter's estimate is right only at the median: a tenth of the items
   is several times longer.  They must not make all others seem longer.  */
Test (run_move, events_per_token_with_long_tail)
{
  struct wy_running_median m = { 0 };
  struct wy_rng rng;

  wy_rng_seed (&rng, 11);
  for (int k = 0; k < 400; k++)
    wy_running_median_add (&m, wy_rng_below (&rng, 10) == 0
                                   ? 1.5
                                   : 0.10 + wy_rng_below (&rng, 100) / 1000.0);
  cr_expect_gt (m.value, 0.13);
  cr_expect_lt (m.value, 0.18);
}
