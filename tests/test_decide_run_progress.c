/* Detection of slow and stalled runs, on a simulated target.  */
#include <criterion/criterion.h>

#include "base/rng.h"
#include "decide/run_progress.h"

enum
{
  EVENT_MS = 80,
  EVENTS = 90,
  STALL_MS = 5 * EVENT_MS,
  FIRST_STALL_MS = 9 * EVENT_MS,
  /* Interval of the checks, and the cost of a move, after which the other
     target processes the prompt and the text again.  */
  CHECK_MS = 100,
  MOVE_MS = 60
};

struct run
{
  uint32_t n_events;
  int64_t last_event_at_ms;
  double last_event_ms;
  double previous_event_ms;
};

static enum wy_run_progress
assess (const struct run *r, int64_t now_ms)
{
  struct wy_run_progress_options o
      = { .n_events = r->n_events,
          .silent_ms = now_ms - r->last_event_at_ms,
          .last_event_ms = r->last_event_ms,
          .previous_event_ms = r->previous_event_ms,
          .typical_event_ms = EVENT_MS,
          .usual_event_ms = EVENT_MS };

  return wy_run_progress_assess (&o);
}

static void
record_event (struct run *r, int64_t now_ms)
{
  r->previous_event_ms = r->last_event_ms;
  r->last_event_ms = r->n_events ? (double)(now_ms - r->last_event_at_ms) : 0;
  r->n_events++;
  r->last_event_at_ms = now_ms;
}

/* The duration of a run of EVENTS that starts on a target which is FACTOR
   times slower from SLOW_MS to RECOVERED_MS, and may be moved to a normal one.
 */
static int64_t
run_duration_ms (int64_t slow_ms, int64_t recovered_ms, double factor)
{
  struct run r = { 0 };
  int64_t now_ms = 0;
  double due_ms = EVENT_MS;
  bool moved = false;

  while (r.n_events < EVENTS)
    {
      bool slow = !moved && now_ms >= slow_ms && now_ms < recovered_ms;

      now_ms++;
      due_ms -= slow ? 1 / factor : 1;
      if (due_ms <= 0)
        {
          record_event (&r, now_ms);
          due_ms += EVENT_MS;
        }
      if (now_ms % CHECK_MS == 0 && !moved
          && assess (&r, now_ms) != WY_RUN_PROGRESS_NORMAL)
        {
          moved = true;
          due_ms = EVENT_MS + MOVE_MS;
        }
    }
  return now_ms;
}

/* A target becomes three to four times slower in the middle of a long run.  If
   the run were moved only when its mean time per event is bad, it would end
   three seconds late and its trainer would wait for it.  It must lose less
   than a second, whenever the target becomes slow and by whatever factor.  */
Test (run_progress, target_becomes_slow)
{
  const int64_t normal_ms = (int64_t)EVENTS * EVENT_MS;

  for (int64_t at_ms = 0; at_ms < normal_ms - 500; at_ms += 370)
    for (int tenths = 25; tenths <= 40; tenths += 5)
      {
        int64_t late_ms
            = run_duration_ms (at_ms, at_ms + 8000, tenths / 10.0) - normal_ms;

        cr_expect_lt (late_ms, 1000, "slow from %lld, %.1f times: %lld late",
                      (long long)at_ms, tenths / 10.0, (long long)late_ms);
      }
}

/* After a move the prompt is processed again, often on a new connection.
   Random variation of event times by a third, and single events delayed by a
   load of weights, must not cause a move.  */
Test (run_progress, variation_causes_no_move)
{
  struct wy_rng rng;
  uint32_t moves = 0;

  wy_rng_seed (&rng, 7);
  for (int k = 0; k < 200; k++)
    {
      struct run r = { 0 };
      int64_t now_ms = 0;

      for (int e = 0; e < EVENTS; e++)
        {
          now_ms += EVENT_MS * 2 / 3 + wy_rng_below (&rng, EVENT_MS * 2 / 3);
          now_ms += e == EVENTS / 2 ? 3 * EVENT_MS : 0;
          record_event (&r, now_ms);
          moves += assess (&r, now_ms) != WY_RUN_PROGRESS_NORMAL;
        }
    }
  cr_expect_eq (moves, 0);
}

/* Runs on an unreachable target are moved after half a second; those without
   an event, which may still be queued, a little later.  */
Test (run_progress, target_becomes_unreachable)
{
  struct run r
      = { .n_events = 3, .last_event_at_ms = 0, .last_event_ms = EVENT_MS };

  cr_expect_eq (assess (&r, STALL_MS), WY_RUN_PROGRESS_NORMAL);
  cr_expect_eq (assess (&r, STALL_MS + 1), WY_RUN_PROGRESS_STALLED);
  r.n_events = 0;
  cr_expect_eq (assess (&r, FIRST_STALL_MS), WY_RUN_PROGRESS_NORMAL);
  cr_expect_eq (assess (&r, FIRST_STALL_MS + 1), WY_RUN_PROGRESS_STALLED);
}

/* No run is moved while the typical time per event is unknown.  */
Test (run_progress, unknown_typical_time)
{
  struct wy_run_progress_options o = { .n_events = 2,
                                       .silent_ms = 5000,
                                       .last_event_ms = 900,
                                       .previous_event_ms = 900 };

  cr_expect_eq (wy_run_progress_assess (&o), WY_RUN_PROGRESS_NORMAL);
}
