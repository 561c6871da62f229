/* The choice of targets by an entry.  */
#include <criterion/criterion.h>
#include <string.h>

#include <glib.h>

#include "gate/target_estimate.h"
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

/* Requests that arrive in a burst must spread over the replicas; otherwise
   some wait for the busiest replica while others are idle.  */
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

/* At a low request rate a replica with an idle connection is preferred to an
   equal one without, so that no new connection is opened, until its load
   outweighs that.  */
Test (targets, idle_connection_is_reused)
{
  static const uint16_t port = 7;
  struct wy_targets *t = wy_targets_new (1);
  struct wy_target *a = add (t, "a");
  struct wy_target *b = add (t, "b");

  b->info.address.sin_port = port;
  wy_targets_set_idle_count (t, idle_to_b, &port);
  wy_target_request_started (b);
  cr_expect_eq (wy_targets_pick (t, &any, 0), b);
  wy_target_request_started (b);
  wy_target_request_started (b);
  cr_expect_eq (wy_targets_pick (t, &any, 0), a);
  wy_targets_free (t);
}

/* A replica becomes four times slower than the others.  It must get no work
   while they have free slots, and be tried again after a while.  */
Test (targets, slow_target_is_avoided)
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
  /* Its pace is out of date by now.  */
  cr_expect_eq (wy_targets_pick (t, &any, 60000), slow);
  wy_targets_free (t);
}

/* A replica that failed, was slow and at capacity restarts under its id.  What
   was observed of the previous process must not keep work from the new one,
   and weights loaded by the previous one must not count as loaded.  */
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
  for (int k = 0; k < WY_WORK_KINDS; k++)
    cr_expect_eq (g->pace[k].ms, 0);
  /* The request to the previous process counts until it ends.  */
  cr_expect_eq (g->in_flight, 1);
  wy_target_request_ended (t, g, WY_TARGET_FAILED, 30);
  cr_expect_eq (g->in_flight, 0);
  wy_targets_free (t);
}

/* A service handles callers' requests and scores texts, which takes several
   times as long.  A replica that has scored recently must not count as slow
   for requests, and one that is slow at scoring must not be chosen for it
   because it is fast at requests.  */
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

/* Work that can wait leaves slots of each replica free for callers' requests,
   since other entries don't know which replica has a free slot.  A replica
   with as few slots as are to be left free still gets one such request.  */
Test (targets, reserved_slots)
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

/* Each request to a crashed replica costs the time to connect.  The replica is
   avoided for a while, then gets one request, and further ones only after that
   has succeeded.  */
Test (targets, failed_target_is_probed_with_one_request)
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

/* A replica that loads weights rejects work for about a second.  Meanwhile it
   must get one request at a time, not all items of a job.  */
Test (targets, rejecting_target_is_probed_with_one_request)
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

/* A replica that is draining, or is no longer listed, gets no new requests.
   Its record is kept until its requests have ended.  */
Test (targets, draining_target_gets_no_requests)
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

/* A job sets a minimum version of the weights.  Replicas with older weights
   get none of its items; among the others the newest weights are preferred,
   since only text from these can be reused by a later job.  */
Test (targets, weights_versions)
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
  /* A row with an older version doesn't replace one seen in a response.  */
  wy_targets_set (t, &(struct wy_replica){ .id = "mid",
                                           .service = "svc",
                                           .slots = SLOTS,
                                           .n_models = 1,
                                           .models = { { "m", 1 } } });
  cr_expect_eq (wy_target_version (mid, "m"), 2);
  wy_targets_free (t);
}

/* The items of a step are submitted together, and only some of the replicas
   have the newest weights.  If these got all items, the longest items, for
   which the step waits, would become slower.  So replicas with older weights
   must get a share well before the others are at capacity, but not the first
   item.  */
Test (targets, older_weights_get_a_share)
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

/* The load that a replica reports includes other entries' requests; without it
   two entries would overload the same replica.  */
Test (targets, reported_load_counts)
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

/* Load: the first steps collide.  Three entries fill the same slots with more
   runs than there are slots, and a queued run is moved to a replica that only
   seems free, where it waits again: 1,104 runs were moved like this.  Only a
   replica that has reported a free slot counts as free.  */
Test (targets, full_and_free_slots_are_known_by_reports)
{
  struct wy_targets *t = wy_targets_new (1);
  struct wy_target *a = add (t, "a");
  struct wy_target *b = add (t, "b");

  wy_target_record_load (a, SLOTS, 1);
  cr_expect_not (wy_target_is_full (a, 10));
  wy_target_request_started (a);
  cr_expect (wy_target_is_full (a, 10));
  cr_expect_not (wy_target_has_known_slot (a, 10));
  cr_expect_not (wy_target_has_known_slot (b, 10));
  wy_target_record_load (b, SLOTS - 1, 1);
  cr_expect (wy_target_has_known_slot (b, 10));
  cr_expect_not (wy_target_has_known_slot (b, 5000));
  wy_targets_free (t);
}

/* Load: a weight load of 0.9 s.  Items avoid the replica until it accepts one;
   callers' requests keep their own rule, since some have no other replica.  */
Test (targets, loading_target_gets_no_items)
{
  struct wy_targets *t = wy_targets_new (1);
  struct wy_target *g = add (t, "a");
  struct wy_replica row = g->info;
  static const struct wy_target_criteria item
      = { .service = "svc", .work = WY_WORK_EVENT };

  for (int k = 0; k < SLOTS; k++)
    wy_target_request_started (g);
  wy_target_response_started (g);
  cr_expect (wy_target_seems_free (g, 1));
  for (int k = 0; k < SLOTS; k++)
    wy_target_request_ended (t, g, WY_TARGET_LOADING, 1);
  cr_expect_null (wy_targets_pick (t, &item, 500));
  cr_expect_eq (wy_targets_pick (t, &any, 500), g);
  row.models[0].version++;
  wy_targets_set (t, &row);
  cr_assert_eq (wy_targets_pick (t, &item, 500), g);
  wy_target_request_started (g);
  cr_expect_null (wy_targets_pick (t, &item, 500));
  cr_expect (wy_target_run_accepted (t, g, 500, 510));
  cr_expect_eq (wy_targets_pick (t, &item, 510), g);
  wy_target_record_load (g, SLOTS, 511);
  cr_expect_not (wy_target_seems_free (g, 512));
  wy_targets_free (t);
}
