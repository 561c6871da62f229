/* Reservation of slots for long items, in a simulation of two jobs.  */
#include <criterion/criterion.h>
#include <string.h>

#include "decide/item_slots.h"

enum
{
  TARGETS = 13,
  SLOTS = 12,
  ITEMS = 256,
  LONG_ITEMS = 26,
  JOBS = 2,
  JOB_INTERVAL_MS = 300,
  DUE_MS = 7500,
  SHORT_MS = 700,
  LONG_MS = 7000,
  STEP_MS = 10,
  END_MS = 30000
};

struct run
{
  int target;
  int64_t ends_ms;
};

struct job
{
  int64_t at_ms;
  int64_t started_ms[ITEMS]; /* -1: not yet started */
  struct run run[ITEMS];
};

static struct job jobs[JOBS];
static uint32_t occupied[TARGETS];

/* The least loaded target with less than SHARE of its slots taken, or -1.  */
static int
pick (double share)
{
  uint32_t limit = share > 0 ? (uint32_t)(SLOTS * share) : SLOTS;
  int best = -1;

  for (int t = 0; t < TARGETS; t++)
    if (occupied[t] < limit && (best < 0 || occupied[t] < occupied[best]))
      best = t;
  return best;
}

static double
occupancy_max (bool reserve, uint32_t length_rank, int64_t waited_ms)
{
  struct wy_item_slots_options o = { .length_rank = length_rank,
                                     .items = ITEMS,
                                     .waited_ms = waited_ms,
                                     .due_ms = DUE_MS };

  return reserve ? wy_item_slots_occupancy_max (&o) : 0;
}

static void
end_runs (struct job *j, int64_t now_ms)
{
  for (int i = 0; i < ITEMS; i++)
    if (j->run[i].target >= 0 && now_ms >= j->run[i].ends_ms)
      {
        occupied[j->run[i].target]--;
        j->run[i].target = -1;
      }
}

static void
start_runs (struct job *j, int64_t now_ms, bool reserve)
{
  for (int i = 0; i < ITEMS; i++)
    {
      int t;

      if (j->started_ms[i] >= 0)
        continue;
      t = pick (occupancy_max (reserve, (uint32_t)i, now_ms - j->at_ms));
      if (t < 0)
        return;
      j->started_ms[i] = now_ms;
      j->run[i].target = t;
      j->run[i].ends_ms = now_ms + (i < LONG_ITEMS ? LONG_MS : SHORT_MS);
      occupied[t]++;
    }
}

/* Simulate the jobs; RESERVE is false to start items without the policy.
   Stores when the last long item of each job started and when its last item
   ended, since its submission.  */
static void
simulate (bool reserve, int64_t long_start_ms[JOBS], int64_t end_ms[JOBS])
{
  memset (occupied, 0, sizeof occupied);
  for (int k = 0; k < JOBS; k++)
    {
      jobs[k].at_ms = (int64_t)k * JOB_INTERVAL_MS;
      for (int i = 0; i < ITEMS; i++)
        {
          jobs[k].started_ms[i] = -1;
          jobs[k].run[i].target = -1;
        }
    }
  for (int64_t now_ms = 0; now_ms < END_MS; now_ms += STEP_MS)
    {
      for (int k = 0; k < JOBS; k++)
        end_runs (&jobs[k], now_ms);
      for (int k = 0; k < JOBS; k++)
        if (now_ms >= jobs[k].at_ms)
          start_runs (&jobs[k], now_ms, reserve);
    }
  for (int k = 0; k < JOBS; k++)
    {
      long_start_ms[k] = 0;
      end_ms[k] = 0;
      for (int i = 0; i < ITEMS; i++)
        {
          int64_t at_ms = jobs[k].started_ms[i] - jobs[k].at_ms;

          if (i < LONG_ITEMS && at_ms > long_start_ms[k])
            long_start_ms[k] = at_ms;
          at_ms += i < LONG_ITEMS ? LONG_MS : SHORT_MS;
          if (at_ms > end_ms[k])
            end_ms[k] = at_ms;
        }
    }
}

/* Two steps are submitted within a short time, as after an outage, and the
   first has more short items than there are slots.  If short items used all
   slots, the long items of the second step would wait for them and delay the
   step. They must start immediately, and all items must end in time.  */
Test (item_slots, short_items_leave_slots_free)
{
  int64_t long_start_ms[JOBS];
  int64_t end_ms[JOBS];

  simulate (false, long_start_ms, end_ms);
  cr_expect_gt (long_start_ms[1], JOB_INTERVAL_MS);
  simulate (true, long_start_ms, end_ms);
  for (int k = 0; k < JOBS; k++)
    {
      cr_expect_eq (long_start_ms[k], 0, "job %d: %lld", k,
                    (long long)long_start_ms[k]);
      cr_expect_leq (end_ms[k], DUE_MS);
    }
}

/* Short items leave slots free only as long as they can end in time, and only
   in a job whose results are due at some time.  */
Test (item_slots, no_reservation_when_time_runs_out)
{
  struct wy_item_slots_options o
      = { .length_rank = ITEMS - 1, .items = ITEMS, .due_ms = DUE_MS };

  cr_expect_eq (wy_item_slots_occupancy_max (&o), 0.5);
  o.waited_ms = DUE_MS / 3;
  cr_expect_eq (wy_item_slots_occupancy_max (&o), 0);
  o.waited_ms = 0;
  o.due_ms = 0;
  cr_expect_eq (wy_item_slots_occupancy_max (&o), 0);
  o.due_ms = DUE_MS;
  o.length_rank = 0;
  cr_expect_eq (wy_item_slots_occupancy_max (&o), 0);
}

/* A job with more work than its slots can do in time.  Half of the slots must
   not stay free while its short items wait.  */
Test (item_slots, no_reservation_beyond_capacity)
{
  struct wy_item_slots_options o = { .length_rank = ITEMS - 1,
                                     .items = ITEMS,
                                     .exceeds_capacity = true,
                                     .due_ms = DUE_MS };

  cr_expect_eq (wy_item_slots_occupancy_max (&o), 0);
}

/* The replica of an item fails that was expected to be short and has run for
   seconds.  It must be resumed immediately, as the step waits for it.  */
Test (item_slots, interrupted_item_uses_any_slot)
{
  struct wy_item_slots_options o = { .length_rank = ITEMS - 1,
                                     .items = ITEMS,
                                     .has_partial_text = true,
                                     .due_ms = DUE_MS };

  cr_expect_eq (wy_item_slots_occupancy_max (&o), 0);
}
