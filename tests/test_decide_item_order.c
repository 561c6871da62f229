/* The order of a job's items, in a simulation of a job on a few slots.  */
#include <criterion/criterion.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "decide/item_order.h"

enum
{
  GROUPS = 20,
  GROUP_SIZE = 16,
  ITEMS = GROUPS * GROUP_SIZE,
  WANTED = 18,
  DUE_MS = 7500,
  SHORT_MS = 900,
  LONG_MIN_MS = 2500,
  LONG_MAX_MS = 6500,
  STEP_MS = 10,
  PLAN_MS = 500,
  SEED = 7,
  SEEDS = 20,
  END_MS = 60000
};

struct sim_item
{
  double expected_ms;
  double actual_ms;
  int64_t started_ms; /* -1: not yet */
};

struct sim
{
  struct sim_item items[ITEMS];
  struct wy_item_order_item view[ITEMS];
  struct wy_item_order_group groups[GROUPS];
  uint32_t order[ITEMS];
  struct wy_item_order_plan plan;
  bool was_planned;
  uint32_t slots;
  uint32_t lost_slots; /* that the plan expects and does not get */
};

static struct sim sim;
static uint64_t seed = SEED;

/* Each tenth item is long.  Items take about as long as expected at the
   median, but half or twice as long are common.  With the number of slots, the
   work in total fills LOAD times the time until the results are due.  */
static void
make_job (double load)
{
  struct wy_rng rng;
  double work_ms = 0;

  memset (&sim, 0, sizeof sim);
  wy_rng_seed (&rng, seed);
  for (uint32_t k = 0; k < ITEMS; k++)
    {
      struct sim_item *i = &sim.items[k];

      i->started_ms = -1;
      i->expected_ms = SHORT_MS / 2.0 + wy_rng_below (&rng, SHORT_MS);
      if (wy_rng_below (&rng, 10) == 0)
        i->expected_ms
            = LONG_MIN_MS + wy_rng_below (&rng, LONG_MAX_MS - LONG_MIN_MS);
      i->actual_ms = i->expected_ms
                     * exp2 ((wy_rng_below (&rng, 1000) / 500.0 - 1) * 0.7);
      work_ms += i->actual_ms;
    }
  sim.slots = (uint32_t)(work_ms / (load * DUE_MS));
}

static bool
has_ended (const struct sim_item *i, int64_t now_ms)
{
  return i->started_ms >= 0 && now_ms >= i->started_ms + i->actual_ms;
}

static uint32_t
count_complete (int64_t now_ms)
{
  uint32_t n = 0;

  for (int g = 0; g < GROUPS; g++)
    {
      sim.groups[g].complete = true;
      for (int k = 0; k < GROUP_SIZE; k++)
        if (!has_ended (&sim.items[g * GROUP_SIZE + k], now_ms))
          sim.groups[g].complete = false;
      n += sim.groups[g].complete;
    }
  return n;
}

static int
longest_first (const void *a, const void *b)
{
  double x = sim.items[*(const uint32_t *)a].expected_ms;
  double y = sim.items[*(const uint32_t *)b].expected_ms;

  return x > y ? -1 : x < y;
}

/* Plan at NOW_MS as the entry does.  */
static void
plan (int64_t now_ms, double slots)
{
  uint32_t complete = count_complete (now_ms);
  struct wy_item_order_options o
      = { .items = sim.view,
          .n_items = ITEMS,
          .groups = sim.groups,
          .n_groups = GROUPS,
          .slots = slots,
          .left_ms = now_ms < DUE_MS ? DUE_MS - now_ms : 0,
          .wanted = WANTED > complete ? WANTED - complete : 0,
          .was_planned = sim.was_planned };

  for (uint32_t k = 0; k < ITEMS; k++)
    {
      const struct sim_item *i = &sim.items[k];
      double run_ms = i->started_ms < 0 ? 0 : (double)(now_ms - i->started_ms);

      sim.view[k].group = k / GROUP_SIZE;
      sim.view[k].begun = i->started_ms >= 0;
      sim.view[k].left_ms = has_ended (i, now_ms)     ? 0
                            : run_ms < i->expected_ms ? i->expected_ms - run_ms
                                                      : run_ms / 2;
      if (sim.was_planned && i->started_ms >= 0
          && sim.groups[k / GROUP_SIZE].class == WY_GROUP_SELECTED)
        sim.groups[k / GROUP_SIZE].keeps_place = true;
    }
  sim.plan = wy_item_order (&o, sim.order);
  sim.was_planned = !sim.plan.fits;
}

/* Run the job; PLANNED is false to start its items longest first.  Returns the
   number of groups that are complete when due.  */
static uint32_t
simulate (bool planned)
{
  uint32_t longest[ITEMS];

  for (uint32_t k = 0; k < ITEMS; k++)
    longest[k] = k;
  qsort (longest, ITEMS, sizeof *longest, longest_first);
  for (int64_t now_ms = 0; now_ms <= DUE_MS; now_ms += STEP_MS)
    {
      uint32_t running = 0;
      const uint32_t *order;

      if (planned && now_ms % PLAN_MS == 0)
        plan (now_ms, sim.slots);
      order = planned && sim.was_planned ? sim.order : longest;
      for (uint32_t k = 0; k < ITEMS; k++)
        running += sim.items[k].started_ms >= 0
                   && !has_ended (&sim.items[k], now_ms);
      for (uint32_t k = 0; k < ITEMS && running < sim.slots - sim.lost_slots;
           k++)
        if (sim.items[order[k]].started_ms < 0)
          {
            sim.items[order[k]].started_ms = now_ms;
            running++;
          }
    }
  return count_complete (DUE_MS);
}

/* A job whose work fits, as nearly all do: nothing is changed in the usual
   order, also if a single item takes longer than the time left.  */
Test (item_order, job_that_fits_is_not_planned)
{
  make_job (0.8);
  sim.order[0] = UINT32_MAX;
  plan (0, sim.slots);
  cr_expect (sim.plan.fits);
  cr_expect_eq (sim.order[0], UINT32_MAX);
  sim.items[3].expected_ms = 2 * DUE_MS;
  plan (0, sim.slots);
  cr_expect (sim.plan.fits);
  plan (0, 0);
  cr_expect (sim.plan.fits, "no capacity is known");
}

/* A job that takes 8.5 s and is due after 7.5 s.  Longest first, all its
   groups become complete together after they are due; with a plan nearly all
   the trainer needs must be on time.  */
Test (item_order, slightly_late_job)
{
  uint32_t unplanned;
  uint32_t planned;

  make_job (8.5 / 7.5);
  unplanned = simulate (false);
  make_job (8.5 / 7.5);
  planned = simulate (true);
  cr_expect_leq (unplanned, 4, "%u", unplanned);
  cr_expect_geq (planned, WANTED - 3, "%u", planned);
}

/* A job with twice the work that its slots can do in time.  At least two
   fifths of its groups must be on time, and the others must not be started
   instead.
 */
Test (item_order, twice_the_capacity)
{
  uint32_t planned;

  make_job (2);
  cr_expect_eq (simulate (false), 0);
  make_job (2);
  planned = simulate (true);
  cr_expect_geq (planned, GROUPS * 2 / 5, "%u", planned);
}

/* Jobs with twice the work, of whose slots another job takes a tenth.  Only
   their last groups may be late; if the items of all selected groups were
   mixed, all would end together after they are due.  */
Test (item_order, fewer_slots_than_planned)
{
  uint32_t planned = 0;

  for (seed = 1; seed <= SEEDS; seed++)
    {
      make_job (2);
      sim.lost_slots = sim.slots / 10;
      planned += simulate (true);
    }
  cr_expect_geq (planned, SEEDS * GROUPS * 3 / 8, "%u", planned);
}

/* A late job beside a new one: nothing of it can be on time, so the groups
   that the trainer waits for come first, those with the least work first.  */
Test (item_order, late_job_completes_group_by_group)
{
  double last_ms = 0;
  uint32_t k = 0;

  make_job (2);
  plan (DUE_MS, sim.slots);
  cr_expect_not (sim.plan.fits);
  cr_expect_eq (sim.plan.on_time, 0);
  for (int g = 0; g < GROUPS; g++)
    {
      uint32_t group = sim.order[k] / GROUP_SIZE;
      double work_ms = 0;

      cr_expect_eq (sim.groups[group].class,
                    g < WANTED ? WY_GROUP_WANTED : WY_GROUP_UNWANTED);
      for (int n = 0; n < GROUP_SIZE; n++, k++)
        {
          cr_assert_eq (sim.order[k] / GROUP_SIZE, group);
          work_ms += sim.items[sim.order[k]].expected_ms;
        }
      cr_expect_geq (work_ms, last_ms);
      last_ms = work_ms;
    }
}

/* In a planned job a running item turns out far longer than expected.  Its
   group must keep its place; if groups were exchanged each time an estimate
   changes, many would be begun and none completed.  */
Test (item_order, begun_groups_keep_their_place)
{
  bool selected[GROUPS];

  make_job (2);
  plan (0, sim.slots);
  for (int g = 0; g < GROUPS; g++)
    selected[g] = sim.groups[g].class == WY_GROUP_SELECTED;
  for (uint32_t k = 0; k < sim.slots; k++)
    sim.items[sim.order[k]].started_ms = 0;
  sim.items[sim.order[0]].actual_ms = END_MS;
  plan (6000, sim.slots);
  for (int g = 0; g < GROUPS; g++)
    if (selected[g] && sim.groups[g].keeps_place && !sim.groups[g].complete)
      cr_expect_eq (sim.groups[g].class, WY_GROUP_SELECTED, "group %d", g);
}

/* Groups with text from an earlier job come before others even if these have
   less work: their text would be lost with the next version.  */
Test (item_order, carried_groups_first)
{
  make_job (2);
  for (int k = 0; k < GROUP_SIZE; k++)
    sim.items[k].expected_ms = 2 * SHORT_MS;
  sim.groups[0].carried = true;
  plan (0, sim.slots);
  cr_expect_eq (sim.groups[0].class, WY_GROUP_SELECTED);
}
