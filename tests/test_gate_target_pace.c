/* The choice of targets by their pace at their load.  */
#include <criterion/criterion.h>
#include <string.h>

#include <glib.h>

#include "gate/target_pace.h"

enum
{
  TARGETS = 6,
  SLOTS = 8
};

/* TARGETS replicas of 8 slots, the last third of which is SLOW_FACTOR times
   slower, observed for 8 s with numbers of runs that vary.  */
static struct wy_targets *
observed_targets (struct wy_target *g[TARGETS], double slow_factor)
{
  struct wy_targets *t = wy_targets_new (1);

  for (int k = 0; k < TARGETS; k++)
    {
      struct wy_replica r = { .slots = SLOTS };

      g_snprintf (r.id, sizeof r.id, "i-%d", k);
      g_strlcpy (r.service, "svc", sizeof r.service);
      g[k] = wy_targets_set (t, &r);
    }
  for (int64_t now_ms = 1; now_ms < 8000; now_ms += 50)
    for (int k = 0; k < TARGETS; k++)
      {
        uint32_t runs = 1 + (uint32_t)(now_ms / 500 + k) % SLOTS;
        double ms = (k < TARGETS * 2 / 3 ? 35 : 35 * slow_factor)
                    * (0.95 + 0.05 * runs);

        wy_target_record_load (g[k], runs, now_ms);
        wy_target_record_events (t, g[k], ms, now_ms);
      }
  for (int k = 0; k < TARGETS; k++)
    wy_target_record_load (g[k], 0, 8000);
  return t;
}

/* Load: relative times per event .7, .7, 1.7.  The long items of a step, which
   start first, must get the fast replicas until their slots are taken, and the
   short ones the slow replicas.  With equal targets the choice stays as it is
   without lengths.  */
Test (target_pace, uneven_targets_are_chosen_by_length)
{
  static const struct wy_pace_item long_item
      = { .events_left = 100, .is_long = true };
  static const struct wy_pace_item short_item
      = { .events_left = 10, .has_due = true, .time_left_ms = 6000 };
  struct wy_target_criteria p
      = { .service = "svc", .work = WY_WORK_EVENT, .require_free_slot = true };
  struct wy_target *g[TARGETS];
  struct wy_targets *t = observed_targets (g, 2.4);

  cr_assert (wy_targets_are_paced_by_load (t, "svc", 8000));
  for (int k = 0; k < 2 * SLOTS; k++)
    {
      p.item = &long_item;
      wy_target_request_started (wy_targets_pick (t, &p, 8000));
      p.item = &short_item;
      wy_target_request_started (wy_targets_pick (t, &p, 8000));
    }
  for (int k = 0; k < TARGETS; k++)
    cr_expect_eq (g[k]->in_flight,
                  k < TARGETS * 2 / 3 ? (uint32_t)SLOTS / 2 : SLOTS);
  /* No slow replica has a free slot.  */
  cr_expect_not_null (wy_targets_pick (t, &p, 8000));
  wy_targets_free (t);
  t = observed_targets (g, 1);
  cr_expect_not (wy_targets_are_paced_by_load (t, "svc", 8000));
  wy_targets_free (t);
}

/* Estimates of a process that has ended must not decide on the next one, and a
   reported percentage turns the choice by load on where all are equal.  */
Test (target_pace, restart_and_percentage)
{
  struct wy_target *g[TARGETS];
  struct wy_targets *t = observed_targets (g, 1);
  struct wy_replica restarted = g[0]->info;
  struct wy_pace_by_load why;

  cr_expect_gt (wy_target_usual_event_ms (t, g[0], 8000), 30);
  restarted.started_ms = 5;
  wy_targets_set (t, &restarted);
  cr_expect_eq (wy_target_usual_event_ms (t, g[0], 8000), 0);
  cr_expect_not (wy_targets_are_paced_by_load (t, "svc", 8000));
  cr_expect_not (wy_targets_by_load_changed (t, "svc", &why));
  wy_target_record_percent (t, g[1], 100, 8000);
  cr_expect (wy_targets_are_paced_by_load (t, "svc", 8000));
  cr_expect (wy_targets_by_load_changed (t, "svc", &why));
  cr_expect_not (wy_targets_by_load_changed (t, "svc", &why));
  wy_targets_free (t);
}
