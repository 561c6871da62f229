/* Activation and distribution of weights.  */
#include <criterion/criterion.h>

#include "decide/waves.h"

#define REPLICAS 12

/* Weights are activated while callers use the engines.  Too many replicas at
   the same time would leave too little capacity for callers.  */
Test (waves, callers_keep_their_capacity)
{
  struct wy_wave_options idle = { .swap_ms = 500, .load_share = 0.1 };
  struct wy_wave_options busy = { .swap_ms = 500, .load_share = 0.75 };

  cr_assert_eq (wy_wave_size (&idle, REPLICAS), 1);
  cr_assert_eq (wy_wave_size (&idle, 3200), 267);
  cr_assert_leq (wy_wave_size (&busy, 3200), 200);
  cr_assert_eq (wy_wave_size (&busy, 2), 1);
}

/* Activation failed on one replica, which keeps the old version.  It must not
   be retried forever, nor delay the others.  */
Test (waves, all_but_failed_and_unstaged_are_activated)
{
  struct wy_wave_options o = { .swap_ms = 500 };
  struct wy_wave_replica r[REPLICAS] = { { 0 } };
  uint32_t out[REPLICAS];
  uint32_t last = REPLICAS;

  for (uint32_t i = 0; i < REPLICAS; i++)
    {
      r[i].staged = i != 3;
      r[i].failed = i == 7;
      r[i].callers = i % 3;
    }
  for (uint32_t i = 0; i < REPLICAS - 2; i++)
    {
      cr_assert_eq (wy_wave_next (&o, r, REPLICAS, 0, out, REPLICAS), 1U);
      cr_assert (out[0] != 3 && out[0] != 7);
      cr_assert_not (r[out[0]].done);
      if (last < REPLICAS)
        cr_assert_geq (r[out[0]].callers, r[last].callers);
      r[out[0]].done = true;
      last = out[0];
    }
  cr_assert_eq (wy_wave_next (&o, r, REPLICAS, 0, out, REPLICAS), 0);
}

/* Thousands of replicas need the same weights at the same time.  Each must get
   them from exactly one other replica, and only a few from the store.  */
Test (relay, tree_reaches_each_replica_once)
{
  uint32_t from_store = 0;
  uint32_t children = 0;

  for (uint32_t i = 0; i < 3200; i++)
    {
      uint32_t first = 0;
      uint32_t n = wy_relay_children (i, 4, 2, 3200, &first);

      for (uint32_t k = first; k < first + n; k++)
        cr_assert_eq (wy_relay_parent (k, 4, 2), (int32_t)i);
      children += n;
      from_store += wy_relay_parent (i, 4, 2) < 0;
    }
  cr_assert_eq (from_store, 2U);
  cr_assert_eq (children, 3198U);
}

/* The weight store has a rate limit, and reading faster causes errors for all
   readers.  */
Test (token_bucket, keeps_the_rate)
{
  struct wy_token_bucket p;
  int64_t now_ms = 0;
  uint64_t taken = 0;

  wy_token_bucket_init (&p, 1000, 500, 0);
  while (now_ms < 10000)
    {
      uint32_t wait_ms = wy_token_bucket_take (&p, 200, now_ms);

      if (wait_ms == 0)
        taken += 200;
      now_ms += wait_ms;
    }
  cr_assert_geq (taken, 10000U);
  cr_assert_leq (taken, 10500U);
  cr_assert_eq (wy_token_bucket_take (&p, 5000, now_ms + 1000), 0U);
  cr_assert_gt (wy_token_bucket_take (&p, 1, now_ms + 1000), 4000U);
}
