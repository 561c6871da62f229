/* The pace of targets by their number of runs, and the choice by length, on
   simulated targets.  */
#include <criterion/criterion.h>
#include <math.h>

#include "base/rng.h"
#include "decide/pace.h"
#include "decide/pace_choice.h"

enum
{
  TARGETS = 15,
  SLOTS = 8,
  EVENT_MS = 50
};

/* Targets whose runs vary between 1 and SLOTS.  */
struct fleet
{
  struct wy_pace_service service;
  struct wy_pace_target targets[TARGETS];
  double relative[TARGETS]; /* times per event */
  double slope;
  double nearly_full; /* factor from SLOTS - 1 runs on */
  struct wy_rng rng;
  int64_t now_ms;
};

static double
true_ms (const struct fleet *f, uint32_t k, uint32_t runs)
{
  double ms = EVENT_MS * f->relative[k] * (1 + f->slope * (runs - 1));

  return runs >= SLOTS - 1 && f->nearly_full > 0 ? ms * f->nearly_full : ms;
}

/* Pass MS, with an event of each target every 40 ms, whose time varies by a
   fifth.  FACTORS are temporary slow-downs; NULL: none.  */
static void
pass (struct fleet *f, int64_t ms, const double *factors)
{
  for (int64_t end_ms = f->now_ms + ms; f->now_ms < end_ms; f->now_ms += 40)
    for (uint32_t k = 0; k < TARGETS; k++)
      {
        uint32_t runs = 1 + (uint32_t)(f->now_ms / 400 + k) % SLOTS;
        double noise = 0.8 + wy_rng_below (&f->rng, 41) / 100.0;

        wy_pace_record (&f->service, &f->targets[k], runs,
                        true_ms (f, k, runs) * noise
                            * (factors ? factors[k] : 1),
                        f->now_ms);
      }
}

static void
start (struct fleet *f, double a, double b, double c, double slope)
{
  *f = (struct fleet){ .slope = slope, .now_ms = 1 };
  wy_rng_seed (&f->rng, 9);
  for (uint32_t k = 0; k < TARGETS; k++)
    f->relative[k] = k % 3 == 0 ? a : k % 3 == 1 ? b : c;
}

static struct wy_pace_spread
spread_of (const struct fleet *f)
{
  struct wy_pace_spread d = { 0 };
  double paces_ms[TARGETS];
  size_t n = 0;

  for (uint32_t k = 0; k < TARGETS; k++)
    {
      paces_ms[n] = wy_pace_settled_ms (&f->targets[k]);
      n += paces_ms[n] > 0;
    }
  wy_pace_spread_update (&d, paces_ms, n);
  return d;
}

/* Loads: relative times per event 1, 1, 1.3 and .7, .7, 1.7, each run making
   the others slower.  A single average per target mixes both effects: the
   expected time must be right at each number of runs, and the slow third must
   be recognised, also if it has fewer runs than the others.  */
Test (pace, speed_and_runs_are_separated)
{
  static const double relative[][3] = { { 1, 1, 1.3 }, { .7, .7, 1.7 } };

  for (int s = 0; s <= 20; s += 5)
    for (int r = 0; r < 2; r++)
      {
        struct fleet f;
        struct wy_pace_spread d;

        start (&f, relative[r][0], relative[r][1], relative[r][2], s / 100.0);
        pass (&f, 20000, NULL);
        cr_assert (f.service.slope_known);
        cr_expect_float_eq (f.service.slope, s / 100.0, 0.03);
        d = spread_of (&f);
        cr_expect (d.uneven);
        for (uint32_t k = 0; k < TARGETS; k++)
          {
            for (uint32_t runs = 1; runs <= SLOTS; runs++)
              cr_expect_float_eq (
                  wy_pace_expected_ms (&f.service, &f.targets[k], runs,
                                       f.now_ms),
                  true_ms (&f, k, runs), 0.25 * true_ms (&f, k, runs));
            cr_expect_eq (wy_pace_spread_is_slow (
                              &d, wy_usual_pace_ms (&f.targets[k].usual)),
                          k % 3 == 2);
          }
      }
}

/* Loads: all equally busy, and slow when nearly full.  Equal targets must not
   count as uneven, or the choice between them would change.  */
Test (pace, equal_targets_are_even)
{
  static const double factors[] = { 1, 1.5, 2 };

  for (int c = 0; c < 3; c++)
    {
      struct fleet f;

      start (&f, 1, 1, 1, 0.1);
      f.nearly_full = factors[c];
      for (int i = 0; i < 40; i++)
        {
          pass (&f, 500, NULL);
          cr_expect_not (spread_of (&f).uneven);
          cr_expect_leq (f.service.slope, 0.2);
        }
    }
}

/* Load: one in five three times slower for 8 s.  The expected time must follow
   within a second, at the beginning and the end, while the usual pace must not
   take the slow-down for a property of the target.  */
Test (pace, temporary_slowness)
{
  double factors[TARGETS];
  struct fleet f;
  double before_ms;

  for (uint32_t k = 0; k < TARGETS; k++)
    factors[k] = k % 5 == 0 ? 3 : 1;
  start (&f, 1, 1, 1, 0.1);
  pass (&f, 20000, NULL);
  before_ms = wy_pace_usual_ms (&f.service, &f.targets[0], 1);
  pass (&f, 1000, factors);
  cr_expect_gt (wy_pace_expected_ms (&f.service, &f.targets[0], 4, f.now_ms),
                2.3 * true_ms (&f, 0, 4));
  pass (&f, 7000, factors);
  cr_expect_lt (wy_pace_usual_ms (&f.service, &f.targets[0], 1),
                1.7 * before_ms);
  cr_expect_float_eq (f.service.slope, 0.1, 0.05);
  pass (&f, 1000, NULL);
  cr_expect_lt (wy_pace_expected_ms (&f.service, &f.targets[0], 4, f.now_ms),
                1.3 * true_ms (&f, 0, 4));
  cr_expect_eq (
      wy_pace_expected_ms (&f.service, &f.targets[0], 4, f.now_ms + 5000), 0);
}

/* Load: a neighbour that takes the processor many times a second, so that a
   target is twice as slow for 200 ms at a time.  If its percentage shows this,
   in either direction, the expected time must follow at once; a percentage
   that says nothing must have no effect.  */
Test (pace, reported_percentage)
{
  static const uint32_t reports[] = { 200, 50, 0 };

  for (int c = 0; c < 3; c++)
    {
      struct fleet f;

      start (&f, 1, 1, 1, 0);
      for (int i = 0; i < 400; i++)
        {
          bool slow = i % 2;
          double factors[TARGETS];

          for (uint32_t k = 0; k < TARGETS; k++)
            {
              factors[k] = slow && k == 0 ? 2 : 1;
              wy_pace_record_percent (&f.service, &f.targets[k],
                                      reports[c]
                                          ? slow && k == 0 ? reports[c] : 100
                                          : 60 + wy_rng_below (&f.rng, 80),
                                      f.now_ms);
            }
          pass (&f, 200, factors);
        }
      cr_expect_float_eq (f.service.exponent,
                          c == 0   ? 1
                          : c == 1 ? -1
                                   : 0,
                          0.25);
      if (c == 2)
        continue;
      wy_pace_record_percent (&f.service, &f.targets[0], reports[c], f.now_ms);
      cr_expect_float_eq (
          wy_pace_expected_ms (&f.service, &f.targets[0], 1, f.now_ms),
          2 * EVENT_MS, 0.3 * EVENT_MS);
      cr_expect_lt (
          wy_pace_expected_ms (&f.service, &f.targets[0], 1, f.now_ms + 301),
          1.3 * EVENT_MS);
    }
}

/* Load: relative times per event .7, .7, 1.7.  Long items must get the fast
   replicas, which short ones leave to them as long as they end in time on a
   slow one with twice their expected length.  */
Test (pace, choice_by_length)
{
  static const struct wy_pace_offer fast = { .event_ms = 35 };
  static const struct wy_pace_offer slow = { .event_ms = 85, .is_slow = true };
  struct wy_pace_item i
      = { .events_left = 30, .has_due = true, .time_left_ms = 6000 };

  cr_expect_lt (wy_pace_choice_cost (&i, &slow),
                wy_pace_choice_cost (&i, &fast));
  i.time_left_ms = 4000;
  cr_expect_gt (wy_pace_choice_cost (&i, &slow),
                wy_pace_choice_cost (&i, &fast));
  i.has_due = false;
  cr_expect_lt (wy_pace_choice_cost (&i, &slow),
                wy_pace_choice_cost (&i, &fast));
  i.is_long = true;
  cr_expect_gt (wy_pace_choice_cost (&i, &slow),
                wy_pace_choice_cost (&i, &fast));
  /* It waits for a fast slot while that is in time.  */
  i = (struct wy_pace_item){ 100, true, true, 6000 };
  cr_expect (wy_pace_choice_waits (&i, &slow, 50));
  cr_expect_not (wy_pace_choice_waits (&i, &slow, 70));
  cr_expect_not (wy_pace_choice_waits (&i, &fast, 50));
  cr_expect_gt (
      wy_pace_choice_cost (&i, &slow),
      wy_pace_choice_cost (&i, &(struct wy_pace_offer){ .event_ms = 90 }));
  i.time_left_ms = 9000;
  cr_expect_not (wy_pace_choice_waits (&i, &slow, 50));
}
