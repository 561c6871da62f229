/* Placement, retry budget and suspects, as seen by callers.  */
#include <criterion/criterion.h>

#include "decide/placement.h"
#include "decide/retry.h"
#include "decide/suspect.h"

static struct wy_placement *
table (uint32_t targets, uint32_t azs)
{
  struct wy_placement_options o = { .targets_max = targets };
  struct wy_placement *p = wy_placement_new (&o);

  for (uint32_t i = 0; i < targets; i++)
    {
      struct wy_target_options t = { .id = i + 1, .az = i % azs };

      cr_assert_eq (wy_placement_add (p, &t), (int)i);
    }
  return p;
}

/* A draining target that is still in the list must get no more requests,
   though it has the least load.  */
Test (placement, draining_target_gets_nothing)
{
  struct wy_placement *p = table (3, 1);
  struct wy_placement_request req = { .predicted_tokens = 50 };
  struct wy_rng rng;

  wy_rng_seed (&rng, 1);
  wy_placement_drain (p, 0);
  for (int i = 0; i < 200; i++)
    {
      int slot = wy_placement_pick (p, &req, 0, &rng);

      cr_assert_gt (slot, 0);
      wy_placement_request_started (p, (uint32_t)slot, &req, 0);
    }
  wy_placement_drain (p, 1);
  wy_placement_drain (p, 2);
  cr_assert_eq (wy_placement_pick (p, &req, 0, &rng), WY_DECIDE_ENONE);
  wy_placement_free (p);
}

/* A target fails all requests immediately and therefore looks idle.  It must
   be ejected, or it would attract all callers, and be readmitted later.  */
Test (placement, failing_target_is_ejected_and_readmitted)
{
  struct wy_placement *p = table (6, 1);
  struct wy_placement_request req = { .predicted_tokens = 50 };
  struct wy_rng rng;
  uint32_t on_bad = 0;
  uint32_t back = 0;

  wy_rng_seed (&rng, 2);
  for (int i = 0; i < 600; i++)
    {
      int slot = wy_placement_pick (p, &req, i, &rng);

      cr_assert_geq (slot, 0);
      wy_placement_request_started (p, (uint32_t)slot, &req, i);
      on_bad += slot == 0;
      wy_placement_request_ended (
          p, (uint32_t)slot, req.work_class,
          slot == 0 ? WY_OUTCOME_FAILED : WY_OUTCOME_OK, i);
    }
  cr_assert_leq (on_bad, 3U);
  for (int i = 0; i < 600; i++)
    {
      int64_t now_ms = 10000 + 50 * i;
      int slot = wy_placement_pick (p, &req, now_ms, &rng);

      wy_placement_request_started (p, (uint32_t)slot, &req, now_ms);
      back += slot == 0;
      wy_placement_request_ended (p, (uint32_t)slot, req.work_class,
                                  WY_OUTCOME_OK, now_ms);
    }
  cr_assert_gt (back, 50U);
  wy_placement_free (p);
}

/* Two entries have the same list in a different order.  The same request sent
   to both must reach the same agent.  */
Test (rendezvous, independent_of_list_order)
{
  uint64_t a[] = { 11, 22, 33, 44 };
  uint64_t b[] = { 44, 11, 33, 22 };

  for (uint64_t key = 0; key < 500; key++)
    cr_assert_eq (a[wy_placement_rendezvous (key, a, 4)],
                  b[wy_placement_rendezvous (key, b, 4)]);
  cr_assert_eq (wy_placement_rendezvous (1, a, 0), WY_DECIDE_ENONE);
}

/* All targets reject requests.  Retrying each rejected request elsewhere would
   multiply the load that caused the rejections.  */
Test (retry, budget_limits_retries_under_overload)
{
  struct wy_retry_options o = { 0 };
  struct wy_retry_budget b;
  uint32_t retries = 0;

  wy_retry_init (&b, &o);
  for (int i = 0; i < 10000; i++)
    {
      wy_retry_request (&b);
      while (wy_retry_take (&b) == 0)
        retries++;
    }
  cr_assert_leq (retries, 1020U);
  cr_assert_geq (retries, 1000U);
}

/* A request crashes each target that runs it, and its caller repeats it.  It
   must not crash one replica after another.  */
Test (suspect, rejected_after_two_crashes)
{
  static struct wy_suspects s;
  uint64_t fp = wy_fingerprint ("filing-7", NULL, 0);

  wy_suspects_init (&s);
  cr_assert_eq (wy_suspects_check (&s, fp, 0), WY_SUSPICION_NONE);
  wy_suspects_record_crash (&s, fp, 1, 9, 0);
  cr_assert_eq (wy_suspects_check (&s, fp, 10), WY_SUSPICION_ISOLATE);
  wy_suspects_record_crash (&s, fp, 1, 1, 20);
  cr_assert_eq (wy_suspects_check (&s, fp, 30), WY_SUSPICION_ISOLATE);
  wy_suspects_record_crash (&s, fp, 2, 1, 40);
  cr_assert_eq (wy_suspects_check (&s, fp, 50), WY_SUSPICION_REFUSE);
}
