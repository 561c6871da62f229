/* Scoring of the texts of a step, with callers' requests at the same service,
   in a simulation.  */
#include <criterion/criterion.h>
#include <string.h>

#include "base/rng.h"
#include "decide/scoring.h"

enum
{
  /* A step: groups of 4, of which the trainer waits for nine tenths, with
     results due after 7.5 s.  Texts are completed within 1.2 s, the duration
     of the longest, several times the mean; or nearly at once, when a replica
     that runs them all becomes reachable again.  */
  GROUPS = 28,
  GROUP_SIZE = 4,
  TEXTS = GROUPS * GROUP_SIZE,
  COMPLETE_WITHIN_MS = 1200,
  AT_ONCE_MS = 50,
  DUE_MS = 7500,
  /* The service: 4 replicas of 6 slots, 200 ms per score, 25 ms per caller's
     request, which must end within 150 ms.  */
  TARGETS_MAX = 8,
  SLOTS = 6,
  SCORE_MS = 200,
  REQUEST_MS = 25,
  REQUEST_LIMIT_MS = 150,
  REQUESTS_MAX = 4096,
  STEP_MS = 5
};

struct work
{
  int64_t arrived_ms;
  int64_t started_ms; /* -1: not started */
  int64_t elapsed_ms; /* -1: not ended */
  int64_t duration_ms;
  int target; /* -1: none yet */
};

struct fixture
{
  int targets;
  uint32_t requests_per_s;
  int64_t complete_within_ms; /* 0: COMPLETE_WITHIN_MS */
  bool all_at_once;           /* score calls are sent without the policy */
  bool by_arrival;            /* oldest text first */
  struct wy_rng rng;
  struct work text[TEXTS];
  struct work request[REQUESTS_MAX];
  int n_requests;
  int running[TARGETS_MAX];
};

static void
start_if_slot_is_free (struct fixture *w, struct work *k, int64_t now_ms)
{
  if (k->target < 0 || k->started_ms >= 0 || w->running[k->target] >= SLOTS)
    return;
  k->started_ms = now_ms;
  w->running[k->target]++;
}

static void
end_if_done (struct fixture *w, struct work *k, int64_t now_ms)
{
  if (k->started_ms < 0 || k->elapsed_ms >= 0
      || now_ms - k->started_ms < k->duration_ms)
    return;
  k->elapsed_ms = now_ms - k->arrived_ms;
  w->running[k->target]--;
}

static uint32_t
missing_of (const struct fixture *w, int group)
{
  uint32_t n = 0;

  for (int i = 0; i < GROUP_SIZE; i++)
    n += w->text[group * GROUP_SIZE + i].elapsed_ms < 0;
  return n;
}

static int
next_text (const struct fixture *w, int64_t now_ms)
{
  struct wy_scoring_candidate best_candidate = { 0 };
  int best = -1;

  for (int i = 0; i < TEXTS; i++)
    {
      const struct work *k = &w->text[i];
      struct wy_scoring_candidate candidate
          = { w->by_arrival ? 0 : missing_of (w, i / GROUP_SIZE),
              k->arrived_ms };

      if (k->target >= 0 || k->arrived_ms > now_ms
          || (best >= 0 && !wy_scoring_precedes (&candidate, &best_candidate)))
        continue;
      best = i;
      best_candidate = candidate;
    }
  return best;
}

static int
free_target (const struct fixture *w)
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
start_scores (struct fixture *w, int64_t now_ms)
{
  int i;

  while ((i = next_text (w, now_ms)) >= 0)
    {
      int t = w->all_at_once ? (int)wy_rng_below (&w->rng, w->targets)
                             : free_target (w);

      if (t < 0)
        return;
      w->text[i].target = t;
      start_if_slot_is_free (w, &w->text[i], now_ms);
    }
}

/* Requests arrive at regular intervals, at random targets.  */
static void
add_requests (struct fixture *w, int64_t now_ms)
{
  int due = (int)(now_ms * w->requests_per_s / 1000);

  while (w->n_requests < due && w->n_requests < REQUESTS_MAX)
    w->request[w->n_requests++]
        = (struct work){ now_ms, -1, -1, REQUEST_MS,
                         (int)wy_rng_below (&w->rng, w->targets) };
}

/* Replicas start scores and requests in order of arrival.  */
static void
start_waiting (struct fixture *w, int64_t now_ms)
{
  int t = 0;
  int r = 0;

  while (t < TEXTS || r < w->n_requests)
    if (r >= w->n_requests
        || (t < TEXTS && w->text[t].arrived_ms <= w->request[r].arrived_ms))
      start_if_slot_is_free (w, &w->text[t++], now_ms);
    else
      start_if_slot_is_free (w, &w->request[r++], now_ms);
}

static void
simulate (struct fixture *w, int64_t until_ms)
{
  int64_t within_ms
      = w->complete_within_ms ? w->complete_within_ms : COMPLETE_WITHIN_MS;

  wy_rng_seed (&w->rng, 7);
  for (int i = 0; i < TEXTS; i++)
    w->text[i] = (struct work){ i * within_ms / TEXTS, -1, -1, SCORE_MS, -1 };
  for (int64_t now_ms = 0; now_ms < until_ms; now_ms += STEP_MS)
    {
      for (int i = 0; i < TEXTS; i++)
        end_if_done (w, &w->text[i], now_ms);
      for (int i = 0; i < w->n_requests; i++)
        end_if_done (w, &w->request[i], now_ms);
      add_requests (w, now_ms);
      start_waiting (w, now_ms);
      start_scores (w, now_ms);
    }
}

static double
requests_in_time (const struct fixture *w, int64_t until_ms)
{
  int n = 0;
  int in_time = 0;

  for (int i = 0; i < w->n_requests; i++)
    {
      if (w->request[i].arrived_ms > until_ms)
        continue;
      n++;
      in_time += w->request[i].elapsed_ms >= 0
                 && w->request[i].elapsed_ms <= REQUEST_LIMIT_MS;
    }
  return n ? (double)in_time / n : 1;
}

static int64_t
last_score_ms (const struct fixture *w)
{
  int64_t last_ms = 0;

  for (int i = 0; i < TEXTS; i++)
    {
      const struct work *k = &w->text[i];

      if (k->elapsed_ms < 0)
        return INT64_MAX;
      if (k->arrived_ms + k->elapsed_ms > last_ms)
        last_ms = k->arrived_ms + k->elapsed_ms;
    }
  return last_ms;
}

static int
complete_groups (const struct fixture *w)
{
  int n = 0;

  for (int g = 0; g < GROUPS; g++)
    n += missing_of (w, g) == 0;
  return n;
}

/* All texts of a step are completed nearly at once, while callers send
   requests that take an eighth of the time of a score.  If all score calls
   were sent at once, they would fill all slots and queues, and requests would
   wait for several of them.  Nearly all requests must end in time, and the
   step must be complete before the next one starts 4 s later.  */
Test (scoring, all_texts_at_once)
{
  static struct fixture w = { .targets = 4,
                              .requests_per_s = 40,
                              .complete_within_ms = AT_ONCE_MS };
  static struct fixture unlimited = { .targets = 4,
                                      .requests_per_s = 40,
                                      .complete_within_ms = AT_ONCE_MS,
                                      .all_at_once = true };

  simulate (&w, 6000);
  simulate (&unlimited, 6000);
  cr_expect_geq (requests_in_time (&w, 5000), 0.99, "%.3f in time",
                 requests_in_time (&w, 5000));
  cr_expect_lt (requests_in_time (&unlimited, 1000), 0.75, "%.3f in time",
                requests_in_time (&unlimited, 1000));
  cr_expect_leq (last_score_ms (&w), 4000, "last score at %lld ms",
                 (long long)last_score_ms (&w));
}

/* The same if the texts are completed one after another, as usual.  */
Test (scoring, with_requests)
{
  static struct fixture w = { .targets = 4, .requests_per_s = 40 };

  simulate (&w, 6000);
  cr_expect_geq (requests_in_time (&w, 5000), 0.99, "%.3f in time",
                 requests_in_time (&w, 5000));
  cr_expect_leq (last_score_ms (&w), 4000, "last score at %lld ms",
                 (long long)last_score_ms (&w));
}

/* Requests use half of the service.  They must still end in time, and the step
   must be complete when it is due.  */
Test (scoring, with_many_requests)
{
  static struct fixture w = { .targets = 4, .requests_per_s = 480 };

  simulate (&w, 7000);
  cr_expect_geq (requests_in_time (&w, 6000), 0.99, "%.3f in time",
                 requests_in_time (&w, 6000));
  cr_expect_leq (last_score_ms (&w), DUE_MS);
}

/* Only one replica is left, which can't score the whole step before it is due.
   As partial groups are useless to the trainer, at least as many groups must
   be complete as in order of arrival.  */
Test (scoring, insufficient_replicas)
{
  static struct fixture w = { .targets = 1, .requests_per_s = 5 };
  static struct fixture by_arrival
      = { .targets = 1, .requests_per_s = 5, .by_arrival = true };

  simulate (&w, 3000);
  simulate (&by_arrival, 3000);
  cr_expect_gt (complete_groups (&w), 0);
  cr_expect_geq (complete_groups (&w), complete_groups (&by_arrival));
}

/* A replica with running calls becomes unreachable.  The calls must be hedged
   long before their timeout, but not so early that all calls are made
   twice.  */
Test (scoring, hedge_delay)
{
  cr_expect_geq (wy_scoring_hedge_delay_ms (SCORE_MS, 800),
                 (int64_t)2 * SCORE_MS);
  cr_expect_leq (wy_scoring_hedge_delay_ms (SCORE_MS, 800),
                 (int64_t)4 * SCORE_MS);
  /* Without a typical duration, the target latency of the route is used.  */
  cr_expect_eq (wy_scoring_hedge_delay_ms (1, 800), 400);
  cr_expect_eq (wy_scoring_hedge_delay_ms (1, 0), INT64_MAX);
  cr_expect_gt (wy_scoring_latency_limit_ms (SCORE_MS), SCORE_MS);
  cr_expect_eq (wy_scoring_latency_limit_ms (1), 0);
}

/* A service that fails all calls must not be called in a tight loop, but
   within a second after it has recovered.  */
Test (scoring, backoff)
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
