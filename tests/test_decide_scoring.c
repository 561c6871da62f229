/* When and where the texts of a step are scored, beside people's requests at
   the same service.  */
#include <criterion/criterion.h>
#include <string.h>

#include "base/rng.h"
#include "decide/scoring.h"

enum
{
  /* A step as a trainer submits it: groups of 4, of which it waits for nine
     tenths, results due after 7.5 s.  Texts become whole over 1.2 s, the time
     of the longest, several times the mean; or, when a replica comes back that
     held them all, nearly at once.  */
  GROUPS = 28,
  GROUP_SIZE = 4,
  TEXTS = GROUPS * GROUP_SIZE,
  WHOLE_WITHIN_MS = 1200,
  AT_ONCE_MS = 50,
  DUE_MS = 7500,
  /* The service: 4 replicas of 6 slots, 200 ms a score, 25 ms a person's
     request, which is worth its while within 150 ms.  */
  TARGETS_MAX = 8,
  SLOTS = 6,
  SCORE_MS = 200,
  REQUEST_MS = 25,
  REQUEST_AIM_MS = 150,
  REQUESTS_MAX = 4096,
  STEP_MS = 5
};

struct work
{
  int64_t came_ms;
  int64_t began_ms; /* -1: not yet */
  int64_t took_ms;  /* -1: not ended */
  int64_t needs_ms;
  int target; /* -1: nowhere yet */
};

struct world
{
  int targets;
  uint32_t people_per_s;
  int64_t whole_within_ms; /* 0: WHOLE_WITHIN_MS */
  bool all_at_once;        /* scores are asked for without a policy */
  bool by_arrival;         /* the oldest text first */
  struct wy_rng rng;
  struct work text[TEXTS];
  struct work request[REQUESTS_MAX];
  int n_requests;
  int running[TARGETS_MAX];
};

static void
begin_if_room (struct world *w, struct work *k, int64_t now_ms)
{
  if (k->target < 0 || k->began_ms >= 0 || w->running[k->target] >= SLOTS)
    return;
  k->began_ms = now_ms;
  w->running[k->target]++;
}

static void
end_if_done (struct world *w, struct work *k, int64_t now_ms)
{
  if (k->began_ms < 0 || k->took_ms >= 0 || now_ms - k->began_ms < k->needs_ms)
    return;
  k->took_ms = now_ms - k->came_ms;
  w->running[k->target]--;
}

static uint32_t
missing_of (const struct world *w, int group)
{
  uint32_t n = 0;

  for (int i = 0; i < GROUP_SIZE; i++)
    n += w->text[group * GROUP_SIZE + i].took_ms < 0;
  return n;
}

static int
next_text (const struct world *w, int64_t now_ms)
{
  struct wy_scoring_candidate best_turn = { 0 };
  int best = -1;

  for (int i = 0; i < TEXTS; i++)
    {
      const struct work *k = &w->text[i];
      struct wy_scoring_candidate turn
          = { w->by_arrival ? 0 : missing_of (w, i / GROUP_SIZE), k->came_ms };

      if (k->target >= 0 || k->came_ms > now_ms
          || (best >= 0 && !wy_scoring_precedes (&turn, &best_turn)))
        continue;
      best = i;
      best_turn = turn;
    }
  return best;
}

static int
free_target (const struct world *w)
{
  int limit = SLOTS - WY_SCORING_RESERVED_SLOTS;
  int best = -1;

  for (int t = 0; t < w->targets; t++)
    if (w->running[t] < limit
        && (best < 0 || w->running[t] < w->running[best]))
      best = t;
  return best;
}

static void
ask_scores (struct world *w, int64_t now_ms)
{
  int i;

  while ((i = next_text (w, now_ms)) >= 0)
    {
      int t = w->all_at_once ? (int)wy_rng_below (&w->rng, w->targets)
                             : free_target (w);

      if (t < 0)
        return;
      w->text[i].target = t;
      begin_if_room (w, &w->text[i], now_ms);
    }
}

/* People come at even times; their entries know nothing of the load.  */
static void
add_people (struct world *w, int64_t now_ms)
{
  int due = (int)(now_ms * w->people_per_s / 1000);

  while (w->n_requests < due && w->n_requests < REQUESTS_MAX)
    w->request[w->n_requests++]
        = (struct work){ now_ms, -1, -1, REQUEST_MS,
                         (int)wy_rng_below (&w->rng, w->targets) };
}

/* Where both wait, replicas take what came first.  */
static void
begin_waiting (struct world *w, int64_t now_ms)
{
  int t = 0;
  int r = 0;

  while (t < TEXTS || r < w->n_requests)
    if (r >= w->n_requests
        || (t < TEXTS && w->text[t].came_ms <= w->request[r].came_ms))
      begin_if_room (w, &w->text[t++], now_ms);
    else
      begin_if_room (w, &w->request[r++], now_ms);
}

static void
play (struct world *w, int64_t until_ms)
{
  int64_t within_ms
      = w->whole_within_ms ? w->whole_within_ms : WHOLE_WITHIN_MS;

  wy_rng_seed (&w->rng, 7);
  for (int i = 0; i < TEXTS; i++)
    w->text[i] = (struct work){ i * within_ms / TEXTS, -1, -1, SCORE_MS, -1 };
  for (int64_t now_ms = 0; now_ms < until_ms; now_ms += STEP_MS)
    {
      for (int i = 0; i < TEXTS; i++)
        end_if_done (w, &w->text[i], now_ms);
      for (int i = 0; i < w->n_requests; i++)
        end_if_done (w, &w->request[i], now_ms);
      add_people (w, now_ms);
      begin_waiting (w, now_ms);
      ask_scores (w, now_ms);
    }
}

static double
people_in_time (const struct world *w, int64_t until_ms)
{
  int n = 0;
  int good = 0;

  for (int i = 0; i < w->n_requests; i++)
    {
      if (w->request[i].came_ms > until_ms)
        continue;
      n++;
      good += w->request[i].took_ms >= 0
              && w->request[i].took_ms <= REQUEST_AIM_MS;
    }
  return n ? (double)good / n : 1;
}

static int64_t
last_score_ms (const struct world *w)
{
  int64_t last_ms = 0;

  for (int i = 0; i < TEXTS; i++)
    {
      const struct work *k = &w->text[i];

      if (k->took_ms < 0)
        return INT64_MAX;
      if (k->came_ms + k->took_ms > last_ms)
        last_ms = k->came_ms + k->took_ms;
    }
  return last_ms;
}

static int
whole_groups (const struct world *w)
{
  int n = 0;

  for (int g = 0; g < GROUPS; g++)
    n += missing_of (w, g) == 0;
  return n;
}

/* A whole step's texts end at once, beside people whose requests take an
   eighth of the time of a score.  Asked for all together, scores would fill
   every slot and queue, and people would wait for several of them.  All people
   must be served in time, and the step be whole before the next one comes, 4 s
   after it.  */
Test (scoring, a_whole_step_at_once)
{
  static struct world w
      = { .targets = 4, .people_per_s = 40, .whole_within_ms = AT_ONCE_MS };
  static struct world rash = { .targets = 4,
                               .people_per_s = 40,
                               .whole_within_ms = AT_ONCE_MS,
                               .all_at_once = true };

  play (&w, 6000);
  play (&rash, 6000);
  cr_expect_geq (people_in_time (&w, 5000), 0.99, "%.3f in time",
                 people_in_time (&w, 5000));
  cr_expect_lt (people_in_time (&rash, 1000), 0.75, "%.3f in time",
                people_in_time (&rash, 1000));
  cr_expect_leq (last_score_ms (&w), 4000, "last score at %lld ms",
                 (long long)last_score_ms (&w));
}

/* The same step as it usually comes, its texts whole one after another.  */
Test (scoring, a_step_beside_people)
{
  static struct world w = { .targets = 4, .people_per_s = 40 };

  play (&w, 6000);
  cr_expect_geq (people_in_time (&w, 5000), 0.99, "%.3f in time",
                 people_in_time (&w, 5000));
  cr_expect_leq (last_score_ms (&w), 4000, "last score at %lld ms",
                 (long long)last_score_ms (&w));
}

/* People alone take half of the service.  Scores must fit into what they
   leave: people are still served in time, and the step by its due time.  */
Test (scoring, busy_people)
{
  static struct world w = { .targets = 4, .people_per_s = 480 };

  play (&w, 7000);
  cr_expect_geq (people_in_time (&w, 6000), 0.99, "%.3f in time",
                 people_in_time (&w, 6000));
  cr_expect_leq (last_score_ms (&w), DUE_MS);
}

/* The service has lost all but one replica and can't score the whole step
   until it is due.  What it can score must be whole groups: parts of groups
   are worth nothing to the trainer.  */
Test (scoring, too_little_service)
{
  static struct world w = { .targets = 1, .people_per_s = 5 };
  static struct world by_arrival
      = { .targets = 1, .people_per_s = 5, .by_arrival = true };

  play (&w, 3000);
  play (&by_arrival, 3000);
  cr_expect_gt (whole_groups (&w), 0);
  cr_expect_geq (whole_groups (&w), whole_groups (&by_arrival));
}

/* A replica has gone dark with the calls that it had.  Each is asked for again
   elsewhere after some times the usual, long before its time limit, but not so
   soon that every call is made twice.  */
Test (scoring, second_replica)
{
  cr_expect_geq (wy_scoring_hedge_delay_ms (SCORE_MS, 800),
                 (int64_t)2 * SCORE_MS);
  cr_expect_leq (wy_scoring_hedge_delay_ms (SCORE_MS, 800),
                 (int64_t)4 * SCORE_MS);
  /* Nothing is known of the service yet: what its route promises counts.  */
  cr_expect_eq (wy_scoring_hedge_delay_ms (1, 800), 400);
  cr_expect_eq (wy_scoring_hedge_delay_ms (1, 0), INT64_MAX);
  cr_expect_gt (wy_scoring_latency_limit_ms (SCORE_MS), SCORE_MS);
  cr_expect_eq (wy_scoring_latency_limit_ms (1), 0);
}

/* A service that refuses or breaks every call is not called in a tight loop,
   nor left alone for longer than it takes to come back.  */
Test (scoring, pauses)
{
  int64_t before_ms = 0;

  for (uint32_t n = 0; n < 20; n++)
    {
      int64_t ms = wy_scoring_backoff_ms (n);

      cr_expect_geq (ms, before_ms);
      cr_expect_leq (ms, 1000);
      before_ms = ms;
    }
  cr_expect_gt (wy_scoring_backoff_ms (0), 0);
}
