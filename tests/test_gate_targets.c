/* The choice of targets by an entry, without any input or output.  */
#include <criterion/criterion.h>
#include <string.h>

#include <glib.h>

#include "gate/targets.h"

enum
{
  SLOTS = 4
};

static struct wy_target *
add (struct wy_targets *t, const char *id)
{
  struct wy_replica r = { .slots = SLOTS };

  g_strlcpy (r.id, id, sizeof r.id);
  g_strlcpy (r.service, "svc", sizeof r.service);
  g_strlcpy (r.availability_zone, "z1", sizeof r.availability_zone);
  g_strlcpy (r.models[0].model, "m", sizeof r.models[0].model);
  r.models[0].version = 1;
  r.n_models = 1;
  return wy_targets_set (t, &r);
}

static const struct wy_target_criteria any = { .service = "svc" };

/* A burst of requests arrives at once.  They must spread over the replicas,
   or the callers behind the busiest one wait while others idle.  */
Test (targets, burst_spreads)
{
  struct wy_targets *t = wy_targets_new (1);
  struct wy_target *g[3] = { add (t, "a"), add (t, "b"), add (t, "c") };

  for (int i = 0; i < 9; i++)
    wy_target_request_started (wy_targets_pick (t, &any, 0));
  for (int i = 0; i < 3; i++)
    cr_expect_eq (g[i]->in_flight, 3);
  wy_targets_free (t);
}

static uint32_t
idle_to_b (const void *ctx, const struct sockaddr_in *a)
{
  return a->sin_port == *(const uint16_t *)ctx;
}

/* Few requests come, each of which would open a connection to whichever of
   the equal replicas it falls to.  The one with an open connection gets them,
   until its load outweighs that.  */
Test (targets, open_connection_is_used_again)
{
  static const uint16_t port = 7;
  struct wy_targets *t = wy_targets_new (1);
  struct wy_target *a = add (t, "a");
  struct wy_target *b = add (t, "b");

  b->info.address.sin_port = port;
  wy_targets_watch_idle (t, idle_to_b, &port);
  wy_target_request_started (b);
  cr_expect_eq (wy_targets_pick (t, &any, 0), b);
  wy_target_request_started (b);
  wy_target_request_started (b);
  cr_expect_eq (wy_targets_pick (t, &any, 0), a);
  wy_targets_free (t);
}

/* One replica has turned four times slower than the others.  It must get
   little of the work while they have free slots, and be tried again after a
   while.  */
Test (targets, slow_one_gets_little)
{
  struct wy_targets *t = wy_targets_new (1);
  struct wy_target *slow = add (t, "slow");
  struct wy_target *a = add (t, "a");
  struct wy_target *b = add (t, "b");

  wy_target_record_pace (a, WY_WORK_REQUEST, 40, 0);
  wy_target_record_pace (b, WY_WORK_REQUEST, 42, 0);
  wy_target_record_pace (slow, WY_WORK_REQUEST, 160, 0);
  for (int i = 0; i < 2 * SLOTS - 1; i++)
    wy_target_request_started (wy_targets_pick (t, &any, 10));
  cr_expect_eq (slow->in_flight, 0);
  cr_expect_gt (a->in_flight, 0);
  cr_expect_gt (b->in_flight, 0);
  wy_target_request_ended (t, a, WY_TARGET_ANSWERED, 20);
  /* Proof of its slowness is old by now.  */
  cr_expect_eq (wy_targets_pick (t, &any, 60000), slow);
  wy_targets_free (t);
}

/* A replica that failed, was slow and was full restarts under its id.  What
   was observed of the former process must not keep work from the new one, and
   the former's weights must not count as loaded.  */
Test (targets, restart_resets_observations)
{
  struct wy_targets *t = wy_targets_new (1);
  struct wy_target *g = add (t, "a");
  struct wy_replica restarted = g->info;
  static const struct wy_target_criteria text = {
    .service = "svc", .model = "m", .min_version = 2, .work = WY_WORK_EVENT
  };

  wy_target_record_version (g, "m", 2);
  wy_target_record_pace (g, WY_WORK_EVENT, 900, 10);
  wy_target_record_load (g, SLOTS, 10);
  wy_target_request_started (g);
  wy_target_request_started (g);
  wy_target_request_ended (t, g, WY_TARGET_FAILED, 10);
  wy_target_request_started (g);
  wy_target_request_ended (t, g, WY_TARGET_REJECTED, 10);
  cr_assert_null (wy_targets_pick (t, &any, 20));
  restarted.started_ms = 5;
  cr_assert_eq (wy_targets_set (t, &restarted), g);
  cr_expect_eq (wy_targets_pick (t, &any, 20), g);
  cr_expect_null (wy_targets_pick (t, &text, 20));
  cr_expect_eq (g->failures, 0);
  cr_expect_eq (g->refusals, 0);
  cr_expect_eq (g->unanswered, 0);
  cr_expect_eq (g->reported_ms, 0);
  for (int k = 0; k < WY_WORKS; k++)
    cr_expect_eq (g->pace[k].ms, 0);
  /* The former process's request still counts until it ends.  */
  cr_expect_eq (g->in_flight, 1);
  wy_target_request_ended (t, g, WY_TARGET_FAILED, 30);
  cr_expect_eq (g->in_flight, 0);
  wy_targets_free (t);
}

/* A service answers people and scores texts, which takes eight times as long.
   A replica that has scored lately must not look slow to people, nor one that
   is slow at it good to the next text.  */
Test (targets, kinds_of_work_have_their_own_pace)
{
  struct wy_targets *t = wy_targets_new (1);
  struct wy_target *a = add (t, "a");
  struct wy_target *b = add (t, "b");
  struct wy_target_criteria score
      = { .service = "svc", .work = WY_WORK_SCORE };

  wy_target_record_pace (a, WY_WORK_REQUEST, 25, 0);
  wy_target_record_pace (b, WY_WORK_REQUEST, 30, 0);
  wy_target_record_pace (a, WY_WORK_SCORE, 900, 0);
  wy_target_record_pace (b, WY_WORK_SCORE, 200, 0);
  cr_expect_eq (wy_targets_pick (t, &any, 10), a);
  cr_expect_eq (wy_targets_pick (t, &score, 10), b);
  wy_targets_free (t);
}

/* Work that can wait here leaves slots of each replica to people, whose
   entries do not know which has one; but a replica with a single slot is not
   closed to it.  */
Test (targets, slots_left_to_others)
{
  struct wy_targets *t = wy_targets_new (1);
  struct wy_target *a = add (t, "a");
  struct wy_target_criteria p
      = { .service = "svc", .require_free_slot = true, .reserved_slots = 1 };
  struct wy_target_criteria half = { .service = "svc",
                                     .require_free_slot = true,
                                     .slots_share = 0.5,
                                     .reserved_slots = 1 };

  for (int k = 0; k < SLOTS - 1; k++)
    {
      cr_expect_eq (wy_targets_pick (t, &half, 0), k < SLOTS / 2 ? a : NULL);
      cr_expect_eq (wy_targets_pick (t, &p, 0), a);
      wy_target_request_started (a);
    }
  cr_expect_null (wy_targets_pick (t, &p, 0));
  p.reserved_slots = SLOTS;
  wy_target_request_ended (t, a, WY_TARGET_ANSWERED, 0);
  cr_expect_null (wy_targets_pick (t, &p, 0));
  while (a->in_flight)
    wy_target_request_ended (t, a, WY_TARGET_ANSWERED, 0);
  cr_expect_eq (wy_targets_pick (t, &p, 0), a);
  wy_targets_free (t);
}

/* A replica has crashed: each request sent to it costs the time to connect.
   It is left alone for a while, then tried with one request, then trusted.  */
Test (targets, broken_one_is_tried_once)
{
  struct wy_targets *t = wy_targets_new (1);
  struct wy_target *g = add (t, "a");

  wy_target_request_started (g);
  wy_target_request_ended (t, g, WY_TARGET_FAILED, 0);
  cr_expect_null (wy_targets_pick (t, &any, 10));
  cr_assert_eq (wy_targets_pick (t, &any, 5000), g);
  wy_target_request_started (g);
  cr_expect_null (wy_targets_pick (t, &any, 5000));
  wy_target_request_ended (t, g, WY_TARGET_ANSWERED, 5001);
  cr_expect_eq (wy_targets_pick (t, &any, 5002), g);
  wy_targets_free (t);
}

/* A replica that loads weights turns work away for about a second.  A whole
   job must not knock at it.  */
Test (targets, one_that_turns_away_is_tried_with_one)
{
  struct wy_targets *t = wy_targets_new (1);
  struct wy_target *g = add (t, "a");

  wy_target_request_started (g);
  wy_target_request_ended (t, g, WY_TARGET_REJECTED, 0);
  cr_expect_null (wy_targets_pick (t, &any, 10));
  cr_assert_eq (wy_targets_pick (t, &any, 100), g);
  wy_target_request_started (g);
  cr_expect_null (wy_targets_pick (t, &any, 100));
  wy_target_response_started (g);
  cr_expect_eq (wy_targets_pick (t, &any, 100), g);
  wy_targets_free (t);
}

/* A replica announces that it leaves, or leaves the list without a word.
   Nothing new goes to it; what runs there keeps its record.  */
Test (targets, leaving_ones_get_nothing)
{
  struct wy_targets *t = wy_targets_new (1);
  struct wy_target *g = add (t, "a");
  struct wy_replica leaving = g->info;

  wy_target_request_started (g);
  leaving.draining = true;
  wy_targets_set (t, &leaving);
  cr_expect_null (wy_targets_pick (t, &any, 0));
  cr_expect_eq (wy_targets_count_ready (t, "svc"), 0);
  wy_targets_remove (t, "a");
  cr_assert_eq (wy_targets_find (t, "a"), g);
  wy_target_request_ended (t, g, WY_TARGET_ANSWERED, 1);
  cr_expect_null (wy_targets_find (t, "a"));
  wy_targets_free (t);
}

/* A job allows no weights older than a bound.  Replicas known to be older get
   none of it; among the others the newest weights win, since only their text
   serves a later job.  */
Test (targets, weights_decide)
{
  struct wy_targets *t = wy_targets_new (1);
  struct wy_target *old = add (t, "old");
  struct wy_target *mid = add (t, "mid");
  struct wy_target *fresh = add (t, "new");
  struct wy_target_criteria p = { .service = "svc",
                                  .model = "m",
                                  .min_version = 2,
                                  .newest_version = 3,
                                  .require_free_slot = true };

  wy_target_record_version (mid, "m", 2);
  wy_target_record_version (fresh, "m", 3);
  cr_expect_eq (wy_targets_pick (t, &p, 0), fresh);
  for (int i = 0; i < SLOTS; i++)
    wy_target_request_started (fresh);
  cr_expect_eq (wy_targets_pick (t, &p, 0), mid);
  cr_expect_eq (old->in_flight, 0);
  /* Entries lag: an older one does not undo what an answer has told.  */
  wy_targets_set (t, &(struct wy_replica){ .id = "mid",
                                           .service = "svc",
                                           .slots = SLOTS,
                                           .n_models = 1,
                                           .models = { { "m", 1 } } });
  cr_expect_eq (wy_target_version (mid, "m"), 2);
  wy_targets_free (t);
}

/* A step's items come at once, and half of the replicas have the newest
   weights.  All on those would slow the longest items down, for which the step
   waits; the others must get a share well before the first are full, but not
   the first item.  */
Test (targets, older_weights_take_their_share)
{
  struct wy_targets *t = wy_targets_new (1);
  struct wy_target *mid = add (t, "mid");
  struct wy_target *fresh = add (t, "new");
  struct wy_target_criteria p = { .service = "svc",
                                  .model = "m",
                                  .min_version = 2,
                                  .newest_version = 3,
                                  .require_free_slot = true };

  wy_target_record_version (mid, "m", 2);
  wy_target_record_version (fresh, "m", 3);
  for (int i = 0; i < SLOTS; i++)
    wy_target_request_started (wy_targets_pick (t, &p, 0));
  cr_expect_gt (fresh->in_flight, mid->in_flight);
  cr_expect_geq (mid->in_flight, SLOTS / 4);
  wy_targets_free (t);
}

/* The load that a replica tells includes other entries' requests; without it
   two entries would fill the same replica.  */
Test (targets, told_load_counts)
{
  struct wy_targets *t = wy_targets_new (1);
  struct wy_target *a = add (t, "a");
  struct wy_target *b = add (t, "b");
  struct wy_target_criteria p
      = { .service = "svc", .require_free_slot = true };

  wy_target_record_load (a, SLOTS, 1);
  for (int i = 0; i < SLOTS; i++)
    {
      cr_assert_eq (wy_targets_pick (t, &p, 10), b);
      wy_target_request_started (b);
    }
  cr_expect_null (wy_targets_pick (t, &p, 10));
  cr_expect_eq (wy_targets_pick (t, &p, 5000), a);
  wy_targets_free (t);
}
