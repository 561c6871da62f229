/* Division of the replicas of a service among its models by need.  */
#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#include "decide/replica_shares.h"
#include "decide/weight_loading.h"

enum
{
  MODELS = 4,
  SLOTS = 6,
  REPLICAS = 44,
  MIN_REPLICAS = 2
};

static uint32_t counts[MODELS];

/* Divide REPLICAS by DEMAND into counts.  */
static bool
divide (const struct wy_model_demand *demand, uint32_t replicas)
{
  struct wy_replica_shares_options o = { .demand = demand,
                                         .models = MODELS,
                                         .replicas = replicas,
                                         .slots = SLOTS,
                                         .min_replicas = MIN_REPLICAS };
  bool by_need = wy_replica_shares (&o, counts);
  uint32_t sum = 0;

  for (int i = 0; i < MODELS; i++)
    sum += counts[i];
  cr_assert_eq (sum, replicas);
  return by_need;
}

static void
expect_counts (uint32_t a, uint32_t b, uint32_t c, uint32_t d)
{
  uint32_t expected[MODELS] = { a, b, c, d };

  cr_expect_arr_eq (counts, expected, sizeof counts, "%u %u %u %u", counts[0],
                    counts[1], counts[2], counts[3]);
}

/* Guards against moving replicas, which costs loads, when each model has
   enough of them: four models, 44 replicas of 6 slots, a need of at most 46 of
   66 slots each.  */
Test (replica_shares, enough_capacity_is_shared_equally)
{
  static const struct wy_model_demand none[MODELS] = { { 0, 0 } };
  static const struct wy_model_demand some[MODELS]
      = { { 46, 0 }, { 0, 0 }, { 46, 0 }, { 20, 0 } };

  cr_expect_not (divide (none, REPLICAS));
  expect_counts (11, 11, 11, 11);
  cr_expect_not (divide (some, REPLICAS));
  expect_counts (11, 11, 11, 11);
  cr_expect_not (divide (some, 3));
}

/* One model needs half of the capacity and a quarter of the replicas can't
   serve it, while others are half idle.  */
Test (replica_shares, one_model_needs_half)
{
  static const struct wy_model_demand one[MODELS]
      = { { 132, 0 }, { 30, 0 }, { 30, 0 }, { 30, 0 } };

  cr_expect (divide (one, REPLICAS));
  expect_counts (26, 6, 6, 6);
}

/* All demands fit, one only just into 95 % of the capacity: each need must be
   met with the same headroom.  */
Test (replica_shares, all_fit)
{
  static const struct wy_model_demand demand[MODELS]
      = { { 72, 0 }, { 33, 0 }, { 75, 0 }, { 72, 0 } };

  cr_expect (divide (demand, REPLICAS));
  for (int i = 0; i < MODELS; i++)
    cr_expect_geq ((double)counts[i] * SLOTS, demand[i].slots);
}

/* The demands exceed the capacity: a small one must not be late because of the
   others, which get equal shares.  */
Test (replica_shares, none_of_the_large_fits)
{
  static const struct wy_model_demand demand[MODELS]
      = { { 190, 0 }, { 40, 0 }, { 400, 0 }, { 200, 0 } };

  cr_expect (divide (demand, REPLICAS));
  expect_counts (13, 7, 12, 12);
}

/* The demands exceed the capacity: the highest priority is served in full,
   the others keep the replicas that their versions need.  */
Test (replica_shares, priority_first)
{
  static const struct wy_model_demand demand[MODELS]
      = { { 190, 1 }, { 40, 1 }, { 200, 0 }, { 200, 2 } };

  cr_expect (divide (demand, REPLICAS));
  expect_counts (4, 4, 34, 2);
  cr_expect_geq (counts[2] * SLOTS, 200);
}

/* Counts add up for any size, and each model keeps the replicas that its
   versions need; divide checks the sum.  */
Test (replica_shares, sums_and_minimum)
{
  static const uint32_t sizes[] = { 8, 40, 128 };
  static const struct wy_model_demand demand[MODELS]
      = { { 500, 3 }, { 1, 1 }, { 70, 1 }, { 0, 0 } };

  for (int k = 0; k < 3; k++)
    {
      divide (demand, sizes[k]);
      for (int i = 0; i < MODELS; i++)
        cr_expect_geq (counts[i], MIN_REPLICAS);
    }
}

static uint32_t
first_rank (const uint32_t *by_need, uint32_t model)
{
  struct wy_weight_loading_options o
      = { .counts = by_need, .model = model, .models = MODELS };

  return wy_weight_loading_first (&o);
}

/* An orderer has read the rows before a demand grew by a fifth and another
   after it.  Their boundaries may differ by two replicas at most; a larger
   difference would leave replicas that load for no model.  */
Test (replica_shares, old_row_moves_a_boundary_little)
{
  for (uint32_t k = 0; k < MODELS; k++)
    {
      struct wy_model_demand demand[MODELS]
          = { { 72, 0 }, { 33, 0 }, { 60, 0 }, { 50, 0 } };
      uint32_t before[MODELS];

      divide (demand, REPLICAS);
      memcpy (before, counts, sizeof before);
      demand[k].slots *= 1.2;
      divide (demand, REPLICAS);
      for (uint32_t m = 0; m < MODELS; m++)
        cr_expect_leq (
            abs ((int)first_rank (before, m) - (int)first_rank (counts, m)),
            2);
    }
}

static bool
loads (const uint32_t *by_need, uint32_t rank, uint32_t model, int64_t version)
{
  struct wy_weight_loading_options o = { .rank = rank,
                                         .replicas = REPLICAS,
                                         .model = model,
                                         .models = MODELS,
                                         .counts = by_need,
                                         .version = version,
                                         .lag = 1,
                                         .load_ms = 1000 };

  return wy_weight_loading (&o).loads;
}

/* A boundary moves by one between two versions.  If the version that a replica
   loads depended on its place in the range, all replicas behind the boundary
   would load the versions that they skipped before and skip the next.  */
Test (replica_shares, moved_boundary_keeps_versions)
{
  static const uint32_t before[MODELS] = { 13, 6, 13, 12 };
  static const uint32_t after[MODELS] = { 14, 5, 13, 12 };

  for (uint32_t m = 0; m < MODELS; m++)
    {
      uint32_t n[2] = { 0 };
      uint32_t changed = 0;

      for (uint32_t rank = 0; rank < REPLICAS; rank++)
        {
          n[0] += loads (before, rank, m, 6);
          n[1] += loads (before, rank, m, 7);
          changed += loads (before, rank, m, 6) != loads (after, rank, m, 6);
          cr_expect_not (loads (before, rank, m, 6)
                         && loads (before, rank, m, 7));
        }
      cr_expect_eq (n[0] + n[1], before[m]);
      cr_expect_leq (abs ((int)n[0] - (int)n[1]), 1);
      cr_expect_leq (changed, 1);
    }
}
