/* Guaranteed slots, in a simulation of a late job beside a new one.  */
#include <criterion/criterion.h>

#include "decide/job_slots.h"

enum
{
  SLOTS = 40,
  ITEMS = 400,
  GUARANTEED = SLOTS / 4,
  NEW_AT_MS = 1000,
  ITEM_MS = 1000,
  STEP_MS = 25,
  END_MS = 30000
};

struct job
{
  uint32_t waiting;
  uint32_t running;
  uint32_t ending[END_MS / STEP_MS + ITEM_MS / STEP_MS + 1];
};

static void
start (struct job *j, uint32_t n, uint32_t step, uint32_t *free_slots)
{
  for (; n && j->waiting && *free_slots; n--)
    {
      j->waiting--;
      j->running++;
      j->ending[step + ITEM_MS / STEP_MS]++;
      --*free_slots;
    }
}

/* A late job has hundreds of items waiting when the next job of its model
   arrives, which also has more than can start.  A second later, when the first
   slots have been free, and until either has no items left, each must have its
   guaranteed slots: neither may starve.  */
Test (job_slots, late_job_beside_a_new_one)
{
  static struct job jobs[2]; /* the older first */
  uint32_t free_slots = SLOTS;

  jobs[0].waiting = ITEMS;
  for (uint32_t step = 0; step < END_MS / STEP_MS; step++)
    {
      if (step == NEW_AT_MS / STEP_MS - 1)
        jobs[1].waiting = ITEMS;
      for (int k = 0; k < 2; k++)
        {
          jobs[k].running -= jobs[k].ending[step];
          free_slots += jobs[k].ending[step];
        }
      for (int k = 0; k < 2; k++)
        {
          struct wy_job_slots_options o
              = { .slots = SLOTS,
                  .jobs = (jobs[0].waiting > 0) + (jobs[1].waiting > 0),
                  .running = jobs[k].running };

          start (&jobs[k], wy_job_slots_missing (&o), step, &free_slots);
        }
      for (int k = 0; k < 2; k++)
        start (&jobs[k], SLOTS, step, &free_slots);
      if (step < (NEW_AT_MS + ITEM_MS) / STEP_MS || !jobs[0].waiting
          || !jobs[1].waiting)
        continue;
      cr_assert_geq (jobs[0].running, SLOTS - GUARANTEED);
      cr_assert_geq (jobs[1].running, GUARANTEED);
    }
  cr_expect_eq (jobs[0].waiting + jobs[1].waiting, 0);
}

/* One job uses all slots; six share them equally.  */
Test (job_slots, number_of_jobs)
{
  struct wy_job_slots_options o = { .slots = SLOTS, .jobs = 1 };

  cr_expect_eq (wy_job_slots_missing (&o), 0);
  o.jobs = 2;
  cr_expect_eq (wy_job_slots_missing (&o), GUARANTEED);
  o.running = GUARANTEED + 1;
  cr_expect_eq (wy_job_slots_missing (&o), 0);
  o.running = 0;
  o.jobs = 6;
  cr_expect_eq (wy_job_slots_missing (&o), SLOTS / 6);
}
