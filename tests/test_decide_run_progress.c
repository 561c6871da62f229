/* Whether a run stays on its target: targets that turn slow, stand still or
   are only unlucky.  */
#include <criterion/criterion.h>

#include "base/rng.h"
#include "decide/run_progress.h"

enum
{
  EVENT_MS = 80,
  EVENTS = 90,
  STALL_MS = 5 * EVENT_MS,
  FIRST_STALL_MS = 9 * EVENT_MS,
  /* How often runs are looked at, and what a move costs: the other target
     reads the prompt and the text again.  */
  CHECK_MS = 100,
  MOVE_MS = 60
};

struct run
{
  uint32_t n_events;
  int64_t heard_ms;
  double event_ms;
  double event_before_ms;
};

static enum wy_run_progress
look_at (const struct run *r, int64_t now_ms)
{
  struct wy_run_progress_options o = { .n_events = r->n_events,
                                       .silent_ms = now_ms - r->heard_ms,
                                       .last_event_ms = r->event_ms,
                                       .previous_event_ms = r->event_before_ms,
                                       .typical_event_ms = EVENT_MS };

  return wy_run_progress_assess (&o);
}

static void
hear (struct run *r, int64_t now_ms)
{
  r->event_before_ms = r->event_ms;
  r->event_ms = r->n_events ? (double)(now_ms - r->heard_ms) : 0;
  r->n_events++;
  r->heard_ms = now_ms;
}

/* The time of a whole run of EVENTS that starts on a target which is FACTOR
   times slower from SLOW_MS to SOUND_MS, and may move to a sound one.  */
static int64_t
time_of_run (int64_t slow_ms, int64_t sound_ms, double factor)
{
  struct run r = { 0 };
  int64_t now_ms = 0;
  double due_ms = EVENT_MS;
  bool moved = false;

  while (r.n_events < EVENTS)
    {
      bool slow = !moved && now_ms >= slow_ms && now_ms < sound_ms;

      now_ms++;
      due_ms -= slow ? 1 / factor : 1;
      if (due_ms <= 0)
        {
          hear (&r, now_ms);
          due_ms += EVENT_MS;
        }
      if (now_ms % CHECK_MS == 0 && !moved
          && look_at (&r, now_ms) != WY_RUN_PROGRESS_NORMAL)
        {
          moved = true;
          due_ms = EVENT_MS + MOVE_MS;
        }
    }
  return now_ms;
}

/* A fifth of the targets turn three to four times slower while the longest
   items of a step are in the midst of their text.  A run that stays until its
   pace as a whole looks bad ends three seconds late, and its trainer waits for
   it; one that is moved loses less than a second, whenever the target turns
   slow and by how much.  */
Test (headway, a_target_turns_slow_in_mid_run)
{
  const int64_t sound_ms = (int64_t)EVENTS * EVENT_MS;

  for (int64_t at_ms = 0; at_ms < sound_ms - 500; at_ms += 370)
    for (int tenths = 25; tenths <= 40; tenths += 5)
      {
        int64_t late_ms
            = time_of_run (at_ms, at_ms + 8000, tenths / 10.0) - sound_ms;

        cr_expect_lt (late_ms, 1000, "slow from %lld, %.1f times: %lld late",
                      (long long)at_ms, tenths / 10.0, (long long)late_ms);
      }
}

/* Each move costs a prompt read anew, and often a new connection.  Events that
   spread by a third around their mean, and single ones that wait for a load of
   weights, are no reason for it.  */
Test (headway, chance_moves_nothing)
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
          hear (&r, now_ms);
          moves += look_at (&r, now_ms) != WY_RUN_PROGRESS_NORMAL;
        }
    }
  cr_expect_eq (moves, 0);
}

/* A target has gone dark.  Its runs are moved after half a second, those that
   have not begun, which may only wait their turn, a little later.  */
Test (headway, a_target_goes_dark)
{
  struct run r = { .n_events = 3, .heard_ms = 0, .event_ms = EVENT_MS };

  cr_expect_eq (look_at (&r, STALL_MS), WY_RUN_PROGRESS_NORMAL);
  cr_expect_eq (look_at (&r, STALL_MS + 1), WY_RUN_PROGRESS_STALLED);
  r.n_events = 0;
  cr_expect_eq (look_at (&r, FIRST_STALL_MS), WY_RUN_PROGRESS_NORMAL);
  cr_expect_eq (look_at (&r, FIRST_STALL_MS + 1), WY_RUN_PROGRESS_STALLED);
}

/* Nothing is known of the usual pace yet: no run is moved.  */
Test (headway, unknown_pace)
{
  struct wy_run_progress_options o = { .n_events = 2,
                                       .silent_ms = 5000,
                                       .last_event_ms = 900,
                                       .previous_event_ms = 900 };

  cr_expect_eq (wy_run_progress_assess (&o), WY_RUN_PROGRESS_NORMAL);
}
