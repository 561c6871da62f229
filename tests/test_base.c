/* Clock, identifiers, random numbers and histogram.  */
#include <criterion/criterion.h>

#include "base/clock.h"
#include "base/hist.h"
#include "base/id.h"
#include "base/rng.h"

Test (clock, manual_clock_advances_on_request_only)
{
  struct wy_clock_manual m;

  wy_clock_manual_init (&m, 5000);
  cr_assert_eq (wy_clock_mono_ms (&m.clock), 0);
  wy_clock_manual_advance (&m, 1500);
  cr_assert_eq (wy_clock_mono_ms (&m.clock), 1500);
  cr_assert_eq (wy_clock_wall_ms (&m.clock), 6500);
}

Test (id, carries_its_issue_time)
{
  struct wy_clock_manual m;
  char id[WY_ID_SIZE_BYTES];
  char again[WY_ID_SIZE_BYTES];
  int64_t ms = 0;

  wy_clock_manual_init (&m, INT64_C (1764713079123));
  wy_id_new (&m.clock, id);
  wy_id_new (&m.clock, again);
  cr_assert (wy_id_issue_time_ms (id, &ms));
  cr_assert_eq (ms, INT64_C (1764713079123));
  cr_assert_str_neq (id, again);
  cr_assert_not (wy_id_issue_time_ms ("filing-7", &ms));
  id[WY_ID_LEN - 1] = 'z';
  cr_assert_not (wy_id_issue_time_ms (id, &ms));
}

Test (rng, same_seed_same_sequence)
{
  struct wy_rng a;
  struct wy_rng b;

  wy_rng_seed (&a, 7);
  wy_rng_seed (&b, 7);
  for (int i = 0; i < 1000; i++)
    {
      cr_assert_eq (wy_rng_u64 (&a), wy_rng_u64 (&b));
      cr_assert_lt (wy_rng_below (&a, 10), 10U);
      cr_assert_lt (wy_rng_unit (&b), 1.0);
    }
}

Test (hist, quantiles_within_a_sixteenth)
{
  static struct wy_hist h;

  for (uint64_t i = 1; i <= 100000; i++)
    wy_hist_add (&h, i);
  cr_assert_geq (wy_hist_quantile (&h, 0.5), 50000U);
  cr_assert_leq (wy_hist_quantile (&h, 0.5), 53200U);
  cr_assert_eq (wy_hist_quantile (&h, 1.0), 100000U);
  cr_assert_float_eq (wy_hist_mean (&h), 50000.5, 0.01);
}
