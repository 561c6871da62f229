/* Which items of a job start first, and which leave slots to others.  */
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
  APART_MS = 300,
  DUE_MS = 7500,
  SHORT_MS = 700,
  LONG_MS = 7000,
  STEP_MS = 10,
  DAY_MS = 30000
};

struct run
{
  int target;
  int64_t ends_ms;
};

struct job
{
  int64_t at_ms;
  int64_t started_ms[ITEMS]; /* -1: not yet */
  struct run run[ITEMS];
};

static struct job jobs[JOBS];
static uint32_t load[TARGETS];

/* The least loaded target with less than SHARE of its slots taken, or -1.  */
static int
pick (double share)
{
  uint32_t limit = share > 0 ? (uint32_t)(SLOTS * share) : SLOTS;
  int best = -1;

  for (int t = 0; t < TARGETS; t++)
    if (load[t] < limit && (best < 0 || load[t] < load[best]))
      best = t;
  return best;
}

static double
share_of (bool leave, uint32_t place, int64_t waited_ms)
{
  struct wy_item_slots_options o = { .length_rank = place,
                                     .items = ITEMS,
                                     .waited_ms = waited_ms,
                                     .due_ms = DUE_MS };

  return leave ? wy_item_slots_occupancy_max (&o) : 0;
}

static void
end_runs (struct job *j, int64_t now_ms)
{
  for (int i = 0; i < ITEMS; i++)
    if (j->run[i].target >= 0 && now_ms >= j->run[i].ends_ms)
      {
        load[j->run[i].target]--;
        j->run[i].target = -1;
      }
}

static void
start_runs (struct job *j, int64_t now_ms, bool leave)
{
  for (int i = 0; i < ITEMS; i++)
    {
      int t;

      if (j->started_ms[i] >= 0)
        continue;
      t = pick (share_of (leave, (uint32_t)i, now_ms - j->at_ms));
      if (t < 0)
        return;
      j->started_ms[i] = now_ms;
      j->run[i].target = t;
      j->run[i].ends_ms = now_ms + (i < LONG_ITEMS ? LONG_MS : SHORT_MS);
      load[t]++;
    }
}

/* Play the jobs; store the time of each job's last long start and last end
   after its submission.  */
static void
play (bool leave, int64_t long_start_ms[JOBS], int64_t end_ms[JOBS])
{
  memset (load, 0, sizeof load);
  for (int k = 0; k < JOBS; k++)
    {
      jobs[k].at_ms = (int64_t)k * APART_MS;
      for (int i = 0; i < ITEMS; i++)
        {
          jobs[k].started_ms[i] = -1;
          jobs[k].run[i].target = -1;
        }
    }
  for (int64_t now_ms = 0; now_ms < DAY_MS; now_ms += STEP_MS)
    {
      for (int k = 0; k < JOBS; k++)
        end_runs (&jobs[k], now_ms);
      for (int k = 0; k < JOBS; k++)
        if (now_ms >= jobs[k].at_ms)
          start_runs (&jobs[k], now_ms, leave);
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

/* Two steps arrive close together, as after an outage.  The long items of the
   second must find a slot at once though the first has more short ones than
   there are slots; without slots left for them they wait for the short ones,
   and the whole step is late by that time.  The short ones are still in
   time.  */
Test (items, short_ones_leave_slots)
{
  int64_t long_start_ms[JOBS];
  int64_t end_ms[JOBS];

  play (false, long_start_ms, end_ms);
  cr_expect_gt (long_start_ms[1], APART_MS);
  play (true, long_start_ms, end_ms);
  for (int k = 0; k < JOBS; k++)
    {
      cr_expect_eq (long_start_ms[k], 0, "job %d: %lld", k,
                    (long long)long_start_ms[k]);
      cr_expect_leq (end_ms[k], DUE_MS);
    }
}

/* Short items leave slots only until they would be late, and only in a job
   whose results are due.  */
Test (items, none_left_when_time_runs_out)
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

/* A replica dies under an item that was expected to be short and has run for
   seconds.  It must go on at once; the step waits for it.  */
Test (items, interrupted_takes_any_slot)
{
  struct wy_item_slots_options o = { .length_rank = ITEMS - 1,
                                     .items = ITEMS,
                                     .has_partial_text = true,
                                     .due_ms = DUE_MS };

  cr_expect_eq (wy_item_slots_occupancy_max (&o), 0);
}
