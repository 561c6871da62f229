/* Number of slots that the jobs of a model need.  */
#include <criterion/criterion.h>
#include <string.h>

#include "decide/model_demand.h"
#include "decide/replica_shares.h"

enum
{
  TOKENS = 10000, /* of a job */
  ITEMS = 160,
  DUE_MS = 8000,
  INTERVAL_MS = 4000
};

/* Record JOBS jobs whose items take 29 slot-ms per token: 72.5 slots with one
   job in 4 s.  */
static void
run_jobs (struct wy_demand_estimate *e, int jobs, int64_t first_ms,
          int64_t interval_ms, double tokens)
{
  for (int k = 0; k < jobs; k++)
    {
      wy_demand_job_submitted (e, tokens, first_ms + k * interval_ms, DUE_MS);
      for (int i = 0; i < ITEMS; i++)
        wy_demand_item_completed (e, tokens / ITEMS, tokens / ITEMS * 29);
    }
}

/* The need is unknown before items have completed, and based on the due time
   until a second job arrives.  */
Test (model_demand, first_jobs)
{
  struct wy_demand_estimate e = { 0 };
  struct wy_published_demand none = { .age_ms = -1 };
  double slots;

  wy_demand_job_submitted (&e, TOKENS, 1000, DUE_MS);
  cr_expect_not (wy_demand_is_due (&e, &none, &slots));
  run_jobs (&e, 1, 1000, INTERVAL_MS, TOKENS);
  cr_expect (wy_demand_is_due (&e, &none, &slots));
  cr_expect_float_eq (slots, 36.25, .01);
  wy_demand_job_submitted (&e, TOKENS, 1000 + INTERVAL_MS, DUE_MS);
  cr_expect_float_eq (wy_demand_slots (&e), 72.5, .01);
}

/* Jobs that are late make the trainer submit every 12 s instead of every 4 s.
   If the need fell with that, the model would lose the replicas whose lack
   made it late.  */
Test (model_demand, late_jobs_keep_the_need)
{
  struct wy_demand_estimate e = { 0 };

  run_jobs (&e, 2, 1000, INTERVAL_MS, TOKENS);
  run_jobs (&e, 4, 1000 + INTERVAL_MS + 12000, 12000, TOKENS);
  cr_expect_gt (wy_demand_slots (&e), 59);
  run_jobs (&e, 1, 80000, 1, TOKENS);
  cr_expect_lt (wy_demand_slots (&e), 60);
}

/* A trainer is late by 3 s once, and later submits alternately after 6.5 and
   1.5 s, whenever one of two open steps ends.  A single short interval must
   not multiply the need and take the replicas of other models.  */
Test (model_demand, trainer_that_catches_up)
{
  struct wy_demand_estimate e = { 0 };
  int64_t at_ms = 1000;

  for (int k = 0; k < 40; k++)
    {
      int64_t late_ms = k == 10 ? 3000 : k > 20 && k % 2 ? 2500 : 0;

      run_jobs (&e, 1, at_ms + late_ms, 1, TOKENS);
      at_ms += INTERVAL_MS;
      if (k > 0)
        cr_expect_lt (wy_demand_slots (&e), 72.5 * 4 / 3);
    }
  cr_expect_gt (wy_demand_slots (&e), 70);
}

/* The holder of a model's jobs fails, and the next job comes 11 s later, since
   its trainer waited for the one that was late.  If the new holder took that
   for the interval, the model would lose half of its replicas.  */
Test (model_demand, takeover_keeps_the_interval)
{
  struct wy_demand_estimate e = { 0 };

  run_jobs (&e, 1, 1000, 1, TOKENS);
  wy_demand_adopt_interval (&e, INTERVAL_MS);
  run_jobs (&e, 1, 12000, 1, TOKENS);
  cr_expect_gt (wy_demand_slots (&e), 69);
  wy_demand_adopt_interval (&e, 2 * INTERVAL_MS);
  cr_expect_gt (wy_demand_slots (&e), 69);
}

/* A trainer submits a step in two jobs at once, and a takeover starts a job a
   second time.  Neither may be taken for an interval of a few ms.  */
Test (model_demand, jobs_submitted_together)
{
  struct wy_demand_estimate e = { 0 };

  for (int k = 0; k < 8; k++)
    {
      run_jobs (&e, 1, 1000 + k * INTERVAL_MS, 1, TOKENS / 2.);
      run_jobs (&e, 1, 1003 + k * INTERVAL_MS, 1, TOKENS / 2.);
      wy_demand_job_submitted (&e, TOKENS, 1000 + k * INTERVAL_MS, DUE_MS);
    }
  cr_expect_float_eq (wy_demand_slots (&e), 72.5, 1);
}

/* The need varies by 10 % from job to job.  If each value were published, the
   boundaries between models would move with each version, and replicas would
   have weights that no job asks them for.  */
Test (model_demand, small_changes_move_no_boundary)
{
  struct wy_demand_estimate e = { 0 };
  struct wy_published_demand row = { .age_ms = -1 };
  uint32_t first[4] = { 0 };

  run_jobs (&e, 2, 1000, INTERVAL_MS, TOKENS);
  for (int k = 0; k < 20; k++)
    {
      struct wy_model_demand demand[4]
          = { { 0, 0 }, { 33, 0 }, { 75, 0 }, { 72, 0 } };
      struct wy_replica_shares_options o = { .demand = demand,
                                             .models = 4,
                                             .replicas = 44,
                                             .slots = 6,
                                             .min_replicas = 2 };
      uint32_t counts[4];
      double slots;

      if (wy_demand_is_due (&e, &row, &slots))
        row = (struct wy_published_demand){ .slots = slots };
      demand[0].slots = row.slots;
      cr_expect (wy_replica_shares (&o, counts));
      if (k == 0)
        memcpy (first, counts, sizeof first);
      cr_expect_arr_eq (counts, first, sizeof first);
      run_jobs (&e, 1, 9000 + (int64_t)k * INTERVAL_MS, INTERVAL_MS,
                k % 2 ? TOKENS * .9 : TOKENS * 1.1);
      row.age_ms += INTERVAL_MS;
    }
}

/* The holder of a model's jobs fails.  Its row counts until the next holder
   knows better, and no longer than it is valid.  */
Test (model_demand, row_of_a_failed_holder)
{
  struct wy_demand_estimate e = { 0 };
  struct wy_published_demand row = { .slots = 72.5, .age_ms = 2000 };
  double slots;

  run_jobs (&e, 1, 1000, INTERVAL_MS, TOKENS);
  cr_expect_not (wy_demand_is_due (&e, &row, &slots));
  row.age_ms = WY_DEMAND_RENEW_MS;
  cr_expect (wy_demand_is_due (&e, &row, &slots));
  cr_expect_float_eq (slots, 72.5, .01);
  row.age_ms = WY_DEMAND_VALID_MS + 1;
  cr_expect (wy_demand_is_due (&e, &row, &slots));
  cr_expect_float_eq (slots, 36.25, .01);
}

/* Load: after an outage of the store a trainer submits the step that waited
   and the next one within a second, to an entry that has run no job of the
   model before.  A single short interval must not multiply the need, which
   would take the replicas of all other models.  */
Test (model_demand, short_first_interval_does_not_multiply_the_need)
{
  struct wy_demand_estimate e = { 0 };

  for (int k = 0; k < 200; k++)
    wy_demand_item_completed (&e, 100, 80);
  wy_demand_job_submitted (&e, 100000, 1000, 7500);
  wy_demand_job_submitted (&e, 100000, 1700, 7500);
  cr_expect_leq (wy_demand_slots (&e), 100000 * .8 / 3750 + .01);
  wy_demand_job_submitted (&e, 100000, 2300, 7500);
  cr_expect_leq (wy_demand_slots (&e), 100000 * .8 / 3750 + .01);
}
