/* Decisions of an entry without any input or output: routes, the choice of
   targets, turns to load weights, events of a stream.  */
#include <criterion/criterion.h>
#include <string.h>

#include "decide/load_turn.h"
#include "gate/events.h"
#include "gate/routing.h"
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

static const struct wy_pick any = { .service = "svc" };

/* A burst of requests arrives at once.  They must spread over the replicas,
   or the callers behind the busiest one wait while others idle.  */
Test (targets, burst_spreads)
{
  struct wy_targets *t = wy_targets_new (1);
  struct wy_target *g[3] = { add (t, "a"), add (t, "b"), add (t, "c") };

  for (int i = 0; i < 9; i++)
    wy_target_started (wy_targets_pick (t, &any, 0));
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
  wy_target_started (b);
  cr_expect_eq (wy_targets_pick (t, &any, 0), b);
  wy_target_started (b);
  wy_target_started (b);
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

  wy_target_paced (a, WY_WORK_REQUEST, 40, 0);
  wy_target_paced (b, WY_WORK_REQUEST, 42, 0);
  wy_target_paced (slow, WY_WORK_REQUEST, 160, 0);
  for (int i = 0; i < 2 * SLOTS - 1; i++)
    wy_target_started (wy_targets_pick (t, &any, 10));
  cr_expect_eq (slow->in_flight, 0);
  cr_expect_gt (a->in_flight, 0);
  cr_expect_gt (b->in_flight, 0);
  wy_target_ended (t, a, WY_TARGET_ANSWERED, 20);
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
  static const struct wy_pick text = {
    .service = "svc", .model = "m", .min_version = 2, .work = WY_WORK_EVENT
  };

  wy_target_saw_version (g, "m", 2);
  wy_target_paced (g, WY_WORK_EVENT, 900, 10);
  wy_target_loaded (g, SLOTS, 10);
  wy_target_started (g);
  wy_target_started (g);
  wy_target_ended (t, g, WY_TARGET_BROKEN, 10);
  wy_target_started (g);
  wy_target_ended (t, g, WY_TARGET_FULL, 10);
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
  wy_target_ended (t, g, WY_TARGET_BROKEN, 30);
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
  struct wy_pick score = { .service = "svc", .work = WY_WORK_SCORE };

  wy_target_paced (a, WY_WORK_REQUEST, 25, 0);
  wy_target_paced (b, WY_WORK_REQUEST, 30, 0);
  wy_target_paced (a, WY_WORK_SCORE, 900, 0);
  wy_target_paced (b, WY_WORK_SCORE, 200, 0);
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
  struct wy_pick p
      = { .service = "svc", .within_slots = true, .slots_left = 1 };
  struct wy_pick half = {
    .service = "svc", .within_slots = true, .slots_share = 0.5, .slots_left = 1
  };

  for (int k = 0; k < SLOTS - 1; k++)
    {
      cr_expect_eq (wy_targets_pick (t, &half, 0), k < SLOTS / 2 ? a : NULL);
      cr_expect_eq (wy_targets_pick (t, &p, 0), a);
      wy_target_started (a);
    }
  cr_expect_null (wy_targets_pick (t, &p, 0));
  p.slots_left = SLOTS;
  wy_target_ended (t, a, WY_TARGET_ANSWERED, 0);
  cr_expect_null (wy_targets_pick (t, &p, 0));
  while (a->in_flight)
    wy_target_ended (t, a, WY_TARGET_ANSWERED, 0);
  cr_expect_eq (wy_targets_pick (t, &p, 0), a);
  wy_targets_free (t);
}

/* A replica has crashed: each request sent to it costs the time to connect.
   It is left alone for a while, then tried with one request, then trusted.  */
Test (targets, broken_one_is_tried_once)
{
  struct wy_targets *t = wy_targets_new (1);
  struct wy_target *g = add (t, "a");

  wy_target_started (g);
  wy_target_ended (t, g, WY_TARGET_BROKEN, 0);
  cr_expect_null (wy_targets_pick (t, &any, 10));
  cr_assert_eq (wy_targets_pick (t, &any, 5000), g);
  wy_target_started (g);
  cr_expect_null (wy_targets_pick (t, &any, 5000));
  wy_target_ended (t, g, WY_TARGET_ANSWERED, 5001);
  cr_expect_eq (wy_targets_pick (t, &any, 5002), g);
  wy_targets_free (t);
}

/* A replica that loads weights turns work away for about a second.  A whole
   job must not knock at it.  */
Test (targets, one_that_turns_away_is_tried_with_one)
{
  struct wy_targets *t = wy_targets_new (1);
  struct wy_target *g = add (t, "a");

  wy_target_started (g);
  wy_target_ended (t, g, WY_TARGET_FULL, 0);
  cr_expect_null (wy_targets_pick (t, &any, 10));
  cr_assert_eq (wy_targets_pick (t, &any, 100), g);
  wy_target_started (g);
  cr_expect_null (wy_targets_pick (t, &any, 100));
  wy_target_heard (g);
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

  wy_target_started (g);
  leaving.draining = true;
  wy_targets_set (t, &leaving);
  cr_expect_null (wy_targets_pick (t, &any, 0));
  cr_expect_eq (wy_targets_ready (t, "svc"), 0);
  wy_targets_remove (t, "a");
  cr_assert_eq (wy_targets_find (t, "a"), g);
  wy_target_ended (t, g, WY_TARGET_ANSWERED, 1);
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
  struct wy_pick p = { .service = "svc",
                       .model = "m",
                       .min_version = 2,
                       .newest_version = 3,
                       .within_slots = true };

  wy_target_saw_version (mid, "m", 2);
  wy_target_saw_version (fresh, "m", 3);
  cr_expect_eq (wy_targets_pick (t, &p, 0), fresh);
  for (int i = 0; i < SLOTS; i++)
    wy_target_started (fresh);
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
  struct wy_pick p = { .service = "svc",
                       .model = "m",
                       .min_version = 2,
                       .newest_version = 3,
                       .within_slots = true };

  wy_target_saw_version (mid, "m", 2);
  wy_target_saw_version (fresh, "m", 3);
  for (int i = 0; i < SLOTS; i++)
    wy_target_started (wy_targets_pick (t, &p, 0));
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
  struct wy_pick p = { .service = "svc", .within_slots = true };

  wy_target_loaded (a, SLOTS, 1);
  for (int i = 0; i < SLOTS; i++)
    {
      cr_assert_eq (wy_targets_pick (t, &p, 10), b);
      wy_target_started (b);
    }
  cr_expect_null (wy_targets_pick (t, &p, 10));
  cr_expect_eq (wy_targets_pick (t, &p, 5000), a);
  wy_targets_free (t);
}

static struct wy_route *
route (struct wy_routing *r, const char *host, const char *prefix,
       const char *service)
{
  struct wy_route *t = wy_routing_add_route (r);
  struct wy_split s = { g_strdup (service), 1 };

  t->name = g_strdup (prefix);
  t->host = g_strdup (host);
  t->prefix = g_strdup (prefix);
  g_array_append_val (t->splits, s);
  return t;
}

Test (routing, longest_prefix_of_the_host)
{
  static const struct
  {
    const char *host;
    const char *path;
    const char *prefix;
  } rows[] = {
    { "h", "/a/x", "/a/" },
    { "h", "/a/b/x", "/a/b/" },
    { "H", "/a/x?q=/a/b/", "/a/" },
    { "h:80", "/a/b/", "/a/b/" },
    { "h", "/a", NULL },
    { "other", "/a/x", NULL },
    { "hh", "/a/x", NULL },
    { "g", "/a/x", "/" },
  };
  struct wy_routing *r = wy_routing_new ();

  route (r, "h", "/a/", "s1");
  route (r, "h", "/a/b/", "s2");
  route (r, "g", "/", "s3");
  wy_routing_seal (r);
  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++)
    {
      const struct wy_route *t
          = wy_routing_match (r, rows[i].host, rows[i].path);

      if (rows[i].prefix)
        cr_expect (t && !strcmp (t->prefix, rows[i].prefix), "row %zu", i);
      else
        cr_expect_null (t, "row %zu", i);
    }
  wy_routing_free (r);
}

Test (routing, splits_follow_their_weights)
{
  struct wy_routing *r = wy_routing_new ();
  struct wy_route *t = route (r, "h", "/", "a");
  struct wy_split b = { g_strdup ("b"), 3 };
  int n_b = 0;

  g_array_append_val (t->splits, b);
  for (uint32_t i = 0; i < 400; i++)
    n_b += !strcmp (wy_route_service (t, i), "b");
  cr_expect_eq (n_b, 300);
  wy_routing_free (r);
}

/* Replicas that load a version of one model at a time.  */
static uint32_t
loaders (uint32_t replicas, uint32_t models, uint32_t model, int64_t version,
         uint32_t lag, bool *out)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < replicas; i++)
    {
      struct wy_load_turn_options o = { .rank = i,
                                        .replicas = replicas,
                                        .model = model,
                                        .models = models,
                                        .version = version,
                                        .lag = lag,
                                        .load_ms = 1000 };

      out[i] = wy_load_turn (&o).loads;
      n += out[i];
    }
  return n;
}

/* A trainer names a version every few seconds.  Whatever the sizes, each
   model must have a replica that loads each version, and with a lag of one a
   replica that serves the step while the others load; else a step waits for
   weights.  */
Test (load_turn, every_version_has_a_replica)
{
  bool now[64];
  bool next[64];

  for (uint32_t replicas = 1; replicas <= 64; replicas++)
    for (uint32_t models = 1; models <= 4; models++)
      for (uint32_t m = 0; m < models; m++)
        {
          uint32_t a = loaders (replicas, models, m, 6, 1, now);
          uint32_t b = loaders (replicas, models, m, 7, 1, next);
          uint32_t both = 0;

          for (uint32_t i = 0; i < replicas; i++)
            both += now[i] && next[i];
          cr_assert_gt (a, 0, "%u replicas, %u models", replicas, models);
          cr_assert_gt (b, 0, "%u replicas, %u models", replicas, models);
          /* With two or more replicas a model, none loads twice in a row.  */
          if (replicas >= 2 * models)
            cr_assert_eq (both, 0, "%u replicas, %u models", replicas, models);
        }
}

/* Jobs that want the newest weights need all of the model's replicas.  */
Test (load_turn, no_lag_loads_every_version)
{
  bool now[12];
  bool next[12];

  cr_expect_eq (loaders (12, 1, 0, 6, 0, now), 12);
  cr_expect_eq (loaders (12, 1, 0, 7, 0, next), 12);
  cr_expect_arr_eq (now, next, sizeof now);
}

/* More loads at a time than the store of weights feeds slow each other down:
   turns are spread over time.  */
Test (load_turn, few_at_a_time)
{
  uint32_t at[16] = { 0 };

  for (uint32_t i = 0; i < 45; i++)
    {
      struct wy_load_turn_options o = { .rank = i,
                                        .replicas = 45,
                                        .models = 1,
                                        .version = 2,
                                        .lag = 1,
                                        .load_ms = 1000 };
      struct wy_load_turn t = wy_load_turn (&o);

      if (t.loads)
        at[t.delay_ms / 1000]++;
    }
  for (int i = 0; i < 16; i++)
    cr_expect_leq (at[i], 9);
}

struct seen
{
  GString *text;
  int64_t last;
  int64_t version;
};

static void
on_event (void *ctx, const struct wy_event *ev)
{
  struct seen *s = ctx;

  g_string_append_len (s->text, ev->data, (gssize)ev->data_n);
  g_string_append_c (s->text, '|');
  s->last = ev->id;
  if (ev->version >= 0)
    s->version = ev->version;
}

/* Bytes arrive in any pieces; events must come out whole whatever the cuts,
   and half an event never.  */
Test (events, whole_whatever_the_cuts)
{
  static const char stream[]
      = "id: 1\ndata: a\n\n"
        "weight-versions: 7\nid: 2\ndata: b\ndata: c\n\n"
        "id: 3\r\ndata: d\r\n\r\n"
        "id: 4\ndata: half";

  for (size_t cut = 1; cut < sizeof stream - 1; cut++)
    {
      struct seen s = { g_string_new (NULL), -1, -1 };
      struct wy_events e;

      wy_events_init (&e);
      for (size_t at = 0; at < sizeof stream - 1; at += cut)
        wy_events_feed (&e, stream + at, MIN (cut, sizeof stream - 1 - at),
                        on_event, &s);
      cr_expect_str_eq (s.text->str, "a|b\nc|d|", "cut %zu", cut);
      cr_expect_eq (s.last, 3);
      cr_expect_eq (s.version, 7);
      cr_expect (wy_events_in_midst (&e));
      wy_events_clear (&e);
      g_string_free (s.text, TRUE);
    }
}
