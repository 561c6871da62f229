/* The time after which rejected callers are told to return, on a simulated
   service.  */
#include <criterion/criterion.h>

#include "base/rng.h"
#include "decide/retry_after.h"

enum
{
  CALLERS = 200,
  PERIOD_MS
  = 50, /* between two ends of the simulated service: 20 per second */
  DEFAULT_MS = 200,
  START_MS = 100000,
  LONG_MS = 60000
};

static struct wy_retry_after s;
static struct wy_rng rng;

/* A service that has ended one request every EACH_MS until START_MS.  */
static void
observe (int64_t each_ms)
{
  wy_retry_after_init (&s, &(struct wy_retry_after_options){ 0 });
  wy_rng_seed (&rng, 11);
  for (int64_t at = START_MS - 4000; at <= START_MS; at += each_ms)
    wy_retry_after_ended (&s, at);
}

static struct wy_retry_after_time
tell (uint64_t caller, int64_t time_left_ms, int64_t now_ms)
{
  struct wy_retry_after_query q = { .fingerprint = caller,
                                    .default_ms = DEFAULT_MS,
                                    .known_end_ms = -1,
                                    .by_rate = true,
                                    .time_left_ms = time_left_ms,
                                    .random = wy_rng_unit (&rng) };

  return wy_retry_after_tell (&s, &q, now_ms);
}

/* The number of callers, returning AT the sorted times, that find a free place
   at a service that ends one request every PERIOD_MS and has QUEUE places.  */
static int
count_served (const int64_t *at, int queue)
{
  int64_t busy_until_ms = START_MS;
  int n = 0;

  for (int i = 0; i < CALLERS; i++)
    {
      int64_t start_ms = at[i] > busy_until_ms ? at[i] : busy_until_ms;

      if (start_ms - at[i] > (int64_t)queue * PERIOD_MS)
        continue;
      busy_until_ms = start_ms + PERIOD_MS;
      n++;
    }
  return n;
}

/* Load: a burst of 200 callers on a full service.  If all return at the same
   time, nearly all are rejected again.  They must return in the order of their
   rejection, and nearly all must find a free slot.  */
Test (retry_after, burst)
{
  int64_t at[CALLERS];
  int64_t constant[CALLERS];

  observe (PERIOD_MS);
  for (int i = 0; i < CALLERS; i++)
    {
      struct wy_retry_after_time t = tell ((uint64_t)i + 1, LONG_MS, START_MS);

      cr_expect_eq (t.ahead, i);
      cr_expect_eq (t.basis, WY_RETRY_AFTER_RATE);
      at[i] = START_MS + t.ms;
      constant[i] = START_MS + DEFAULT_MS;
      if (i)
        cr_expect_gt (at[i], at[i - 1], "caller %d", i);
    }
  cr_expect_geq (count_served (at, 4), CALLERS * 9 / 10);
  cr_expect_lt (count_served (constant, 4), CALLERS / 10);
  for (int i = 0; i < CALLERS; i++)
    cr_expect_eq (wy_retry_after_returned (&s, (uint64_t)i + 1,
                                           at[i] + (i % 2 ? 100 : 0)),
                  WY_RETURN_IN_TIME);
  cr_expect_eq (wy_retry_after_returned (&s, 1, at[0]), WY_RETURN_NONE);
  cr_expect_eq (tell (1, LONG_MS, at[CALLERS - 1]).ahead, 0);
}

/* Load: the same burst at two entries.  Their callers must not be told the
   same times.  */
Test (retry_after, entries_differ)
{
  uint32_t first[CALLERS];
  int equal = 0;

  observe (PERIOD_MS);
  for (int i = 0; i < CALLERS; i++)
    first[i] = tell (1, LONG_MS, START_MS).ms;
  observe (PERIOD_MS);
  wy_rng_seed (&rng, 12);
  for (int i = 0; i < CALLERS; i++)
    equal += first[i] == tell (1, LONG_MS, START_MS).ms;
  cr_expect_lt (equal, CALLERS / 4);
}

/* Load: replicas become slower and the rate halves.  Callers that are rejected
   afterwards must be told twice as long, and none may be told to return before
   one that was rejected earlier.  */
Test (retry_after, rate_halves)
{
  int64_t now_ms = START_MS;
  uint32_t before_ms = 0;
  uint32_t after_ms = 0;

  observe (PERIOD_MS);
  for (int i = 0; i < 20; i++)
    before_ms = tell ((uint64_t)i + 1, LONG_MS, START_MS).ms;
  cr_expect_gt (before_ms, 900);
  cr_expect_lt (before_ms, 1100);
  for (; now_ms < START_MS + 6000; now_ms += 2L * PERIOD_MS)
    {
      wy_retry_after_ended (&s, now_ms);
      if (now_ms == START_MS + 500)
        cr_expect_gt (now_ms + tell (30, LONG_MS, now_ms).ms,
                      START_MS + before_ms);
    }
  for (int i = 0; i < 20; i++)
    after_ms = tell ((uint64_t)i + 1, LONG_MS, now_ms).ms;
  cr_expect_gt (after_ms, 1700);
  cr_expect_lt (after_ms, 2300);
}

/* Load: all replicas fail.  The rate from before must not be used for long:
   afterwards the constants apply, as on an entry that has just started.  */
Test (retry_after, rate_expires)
{
  struct wy_retry_after_time t;

  observe (PERIOD_MS);
  t = tell (1, LONG_MS, START_MS + 5001);
  cr_expect_eq (t.basis, WY_RETRY_AFTER_CONSTANT);
  cr_expect_eq (t.ms, DEFAULT_MS);
  wy_retry_after_init (&s, &(struct wy_retry_after_options){ 0 });
  cr_expect_eq (tell (1, LONG_MS, START_MS).ms, DEFAULT_MS);
  /* Four ends within some ms are no rate.  */
  for (int i = 0; i < 4; i++)
    wy_retry_after_ended (&s, START_MS + i);
  cr_expect_eq (tell (1, LONG_MS, START_MS + 4).ms, DEFAULT_MS);
}

/* Load: callers with little time left on a full service.  They honour at most
   a third of it, and must neither return together nor delay those that have
   more time.  */
Test (retry_after, little_time_left)
{
  uint32_t lowest = UINT32_MAX;
  uint32_t highest = 0;

  observe (PERIOD_MS);
  for (int i = 0; i < CALLERS; i++)
    {
      uint32_t ms = tell ((uint64_t)i + 1, 900, START_MS).ms;

      cr_expect_leq (ms, 300);
      lowest = i > 10 && ms < lowest ? ms : lowest;
      highest = ms > highest ? ms : highest;
    }
  cr_expect_gt (highest - lowest, 20);
  cr_expect_leq (tell (1, 0, START_MS).ms, 55);
  cr_expect_eq (tell (1, LONG_MS, START_MS + 400).ahead, 0);
}

/* Load: a burst on a service with few requests, whose replicas reject for a
   moment.  Few requests ended because few arrived; the burst must not wait as
   if that were the capacity.  */
Test (retry_after, idle_service)
{
  struct wy_retry_after_query q = { .fingerprint = 1,
                                    .known_end_ms = -1,
                                    .by_rate = true,
                                    .least_rate_hz = 100,
                                    .time_left_ms = LONG_MS };
  uint32_t ms = 0;

  observe (500);
  for (int i = 0; i < CALLERS; i++)
    ms = wy_retry_after_tell (&s, &q, START_MS).ms;
  cr_expect_gt (ms, 1800);
  cr_expect_lt (ms, 2200);
}

/* Load: the store is unreachable until the next probe.  The time of the probe
   is known and takes precedence over the rate.  */
Test (retry_after, known_end)
{
  struct wy_retry_after_query q = {
    .default_ms = 400, .known_end_ms = 700, .by_rate = true, .time_left_ms = -1
  };

  observe (PERIOD_MS);
  for (int i = 0; i < CALLERS; i++)
    {
      uint32_t ms;

      q.random = wy_rng_unit (&rng);
      ms = wy_retry_after_tell (&s, &q, START_MS).ms;
      cr_expect_geq (ms, 700);
      cr_expect_leq (ms, 770);
    }
  q.known_end_ms = 0;
  cr_expect_leq (wy_retry_after_tell (&s, &q, START_MS).ms, 55);
}
