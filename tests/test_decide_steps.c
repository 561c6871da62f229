/* Scheduling of the samples of a step, as seen by trainers.  */
#include <criterion/criterion.h>

#include "decide/steps.h"

#define SAMPLES 4

static struct wy_step *
step_of (uint32_t groups, uint32_t staleness_max)
{
  struct wy_step_options o = { .step = 5,
                               .version = 5,
                               .groups = groups,
                               .group_samples = SAMPLES,
                               .staleness_max = staleness_max,
                               .weights = { 1, 1 } };
  struct wy_step *s = wy_step_new (&o);

  for (uint32_t g = 0; g < groups; g++)
    wy_step_predict (s, g, 100 * (g + 1));
  return s;
}

static struct wy_step_inputs
at_version (uint64_t version)
{
  struct wy_step_inputs now = { .version = version,
                                .us_per_token = 10000,
                                .best_us_per_token = 8000,
                                .free_streams = 100 };

  return now;
}

static uint32_t
issue_all (struct wy_step *s, const struct wy_step_inputs *now, uint32_t *out)
{
  uint32_t n = 0;

  for (;;)
    {
      struct wy_step_issuance i = wy_step_issue (s, now);

      if (!i.is_issued)
        return n;
      out[n++] = i.sample;
    }
}

/* A long sample started last would end long after all others, with the other
   streams idle.  */
Test (steps, long_groups_first)
{
  struct wy_step *s = step_of (3, 1);
  struct wy_step_inputs now = at_version (5);
  uint32_t sample[3 * SAMPLES] = { 0 };

  cr_assert_eq (issue_all (s, &now, sample), 3U * SAMPLES);
  for (uint32_t i = 0; i < 3 * SAMPLES; i++)
    cr_assert_eq (wy_step_group_of (s, sample[i]), 2 - i / SAMPLES);
  wy_step_free (s);
}

/* A sample is much longer than predicted.  The trainer must not wait for it
   alone when the rest of the batch is ready.  */
Test (steps, straggler_is_replaced_and_then_cancelled)
{
  struct wy_step *s = step_of (1, 1);
  struct wy_step_inputs now = at_version (5);
  uint32_t sample[SAMPLES] = { 0 };
  struct wy_straggler straggler;
  struct wy_step_issuance more;

  cr_assert_eq (issue_all (s, &now, sample), (uint32_t)SAMPLES);
  for (uint32_t i = 1; i < SAMPLES; i++)
    cr_assert_eq (wy_step_done (s, sample[i], 5, 100), WY_STEP_VERDICT_ACCEPT);
  cr_assert_not (wy_step_issue (s, &now).is_issued);
  wy_step_progress (s, sample[0], 1000, 10000);
  more = wy_step_issue (s, &now);
  cr_assert (more.is_issued);
  cr_assert_not (wy_step_is_complete (s));
  cr_assert_eq (wy_step_done (s, more.sample, 5, 100), WY_STEP_VERDICT_ACCEPT);
  cr_assert (wy_step_is_complete (s));
  straggler = wy_step_straggler (s, &now);
  cr_assert_eq (straggler.action, WY_STRAGGLER_CANCEL);
  cr_assert_eq (straggler.sample, sample[0]);
  cr_assert_eq (wy_step_done (s, sample[0], 5, 2000), WY_STEP_VERDICT_SURPLUS);
  wy_step_free (s);
}

/* New weights are activated during a sample, which would be too stale when it
   ends and be discarded.  It must not be started.  */
Test (steps, does_not_start_samples_that_would_be_stale)
{
  struct wy_step *s = step_of (1, 1);
  struct wy_step_inputs now = at_version (5);
  uint32_t sample[SAMPLES] = { 0 };

  now.next_version_ms = 100;
  now.version_period_ms = 200;
  cr_assert_eq (issue_all (s, &now, sample), 0);
  now.version_period_ms = 2000;
  cr_assert_eq (issue_all (s, &now, sample), (uint32_t)SAMPLES);
  wy_step_free (s);
  s = step_of (1, 1);
  now = at_version (3);
  cr_assert_eq (issue_all (s, &now, sample), 0);
  wy_step_free (s);
}

/* A batch is complete, but the trainer takes it at a later version.  Samples
   that were not stale when they ended may be too old then.  */
Test (steps, stale_samples_of_a_batch_are_replaced)
{
  struct wy_step *s = step_of (1, 1);
  struct wy_step_inputs now = at_version (5);
  uint32_t sample[SAMPLES] = { 0 };

  issue_all (s, &now, sample);
  for (uint32_t i = 0; i < SAMPLES; i++)
    wy_step_done (s, sample[i], i == 0 ? 4 : 5, 100);
  cr_assert (wy_step_is_complete (s));
  cr_assert_eq (wy_step_drop_stale (s, 6), 1U);
  cr_assert_not (wy_step_is_complete (s));
  now.version = 6;
  cr_assert_eq (issue_all (s, &now, sample), 1U);
  cr_assert_eq (wy_step_done (s, sample[0], 4, 100), WY_STEP_VERDICT_STALE);
  wy_step_free (s);
}

/* Samples started ahead of the trainer's version reduce idle time but are
   older when used.  The cost weights must determine their number.  */
Test (steps, cost_weights_limit_samples_ahead)
{
  struct wy_step_options o = { .groups = 10,
                               .group_samples = SAMPLES,
                               .staleness_max = 2,
                               .weights = { 3, 1 } };

  cr_assert_eq (wy_step_ahead_max (&o, 1), 5U * SAMPLES);
  cr_assert_eq (wy_step_ahead_max (&o, 2), 0);
  o.weights.staleness = 1;
  o.weights.idle = 3;
  cr_assert_eq (wy_step_ahead_max (&o, 1), 10U * SAMPLES);
  cr_assert_eq (wy_step_ahead_max (&o, 2), 5U * SAMPLES);
  cr_assert_eq (wy_step_ahead_max (&o, 3), 0);
}

/* A sample is paused for callers on its engine, where it might wait for
   minutes.  It must be moved to an engine with free streams.  */
Test (steps, stalled_sample_is_moved)
{
  struct wy_step *s = step_of (1, 1);
  struct wy_step_inputs now = at_version (5);
  uint32_t sample[SAMPLES] = { 0 };
  struct wy_straggler m;

  issue_all (s, &now, sample);
  cr_assert_eq (wy_step_straggler (s, &now).action, WY_STRAGGLER_NONE);
  wy_step_progress (s, sample[2], 50, WY_STEP_STALLED_US);
  m = wy_step_straggler (s, &now);
  cr_assert_eq (m.action, WY_STRAGGLER_MOVE);
  cr_assert_eq (m.sample, sample[2]);
  wy_step_free (s);
}
