/* Listing of results, with a simulated trainer that polls for them.  */
#include <criterion/criterion.h>
#include <string.h>

#include "base/rng.h"
#include "decide/listing.h"

enum
{
  /* A step: groups of items, of which the trainer waits for nine tenths.  One
     item in ten is long, up to a maximum that several of each step reach.  */
  GROUPS = 24,
  GROUP_SIZE = 8,
  ITEMS = GROUPS * GROUP_SIZE,
  WANTED = 22,
  SHORT_MS = 1500,
  LONG_MIN_MS = 2500,
  LONG_MAX_MS = 7000,
  SPREAD_MS = 250,
  DUE_MS = 7500,
  /* The trainer polls twice a second; a poll without a result stays open for a
     second.  */
  POLL_INTERVAL_MS = 500,
  POLL_OPEN_MS = 1000,
  WRITE_MS = 20,
  STEPS = 300,
  END_MS = 12000,
  LAST_POLL_MS = 2 * END_MS
};

struct step
{
  int64_t done_ms[ITEMS];
  int64_t listed_ms[ITEMS];
  struct wy_rng rng;
};

static void
make_step (struct step *s)
{
  for (int k = 0; k < ITEMS; k++)
    {
      int64_t ms = 100 + wy_rng_below (&s->rng, SHORT_MS);

      if (wy_rng_below (&s->rng, 10) == 0)
        {
          /* A third of the long ones are cut at the maximum.  */
          ms = LONG_MIN_MS
               + wy_rng_below (&s->rng, (LONG_MAX_MS - LONG_MIN_MS) * 3 / 2);
          if (ms > LONG_MAX_MS)
            ms = LONG_MAX_MS + wy_rng_below (&s->rng, SPREAD_MS);
        }
      s->done_ms[k] = ms;
      s->listed_ms[k] = -1;
    }
}

static uint32_t
count_complete_groups (const int64_t *at_ms, int64_t now_ms)
{
  uint32_t n = 0;

  for (int g = 0; g < GROUPS; g++)
    {
      bool complete = true;

      for (int k = 0; k < GROUP_SIZE; k++)
        {
          int64_t ms = at_ms[g * GROUP_SIZE + k];

          complete = complete && ms >= 0 && ms <= now_ms;
        }
      n += complete;
    }
  return n;
}

/* List the results of S by the policy, or, with EACH, as they become known.
   Returns the time at which enough groups are complete.  */
static int64_t
list_step (struct step *s, bool each)
{
  int64_t enough_ms = -1;

  for (int64_t now_ms = 0; now_ms < END_MS; now_ms += 5)
    {
      struct wy_listing_options o = { .items = ITEMS,
                                      .wanted_groups = WANTED,
                                      .age_ms = now_ms,
                                      .due_ms = DUE_MS };

      o.complete_groups = count_complete_groups (s->done_ms, now_ms);
      for (int k = 0; k < ITEMS; k++)
        o.results += s->done_ms[k] <= now_ms;
      if (enough_ms < 0 && o.complete_groups >= WANTED)
        enough_ms = now_ms;
      for (int k = 0; k < ITEMS && (each || !wy_listing_is_deferred (&o)); k++)
        if (s->listed_ms[k] < 0 && s->done_ms[k] <= now_ms)
          s->listed_ms[k] = now_ms + WRITE_MS;
    }
  return enough_ms;
}

static uint32_t
listed_by (const struct step *s, int64_t now_ms)
{
  uint32_t n = 0;

  for (int k = 0; k < ITEMS; k++)
    n += s->listed_ms[k] >= 0 && s->listed_ms[k] <= now_ms;
  return n;
}

/* The time at which the trainer goes on if it polls from POLL_AT_MS on.  */
static int64_t
trainer_goes_on (const struct step *s, int64_t poll_at_ms)
{
  uint32_t read = 0;

  while (poll_at_ms < LAST_POLL_MS)
    {
      int64_t at_ms = poll_at_ms;

      while (at_ms < poll_at_ms + POLL_OPEN_MS && listed_by (s, at_ms) == read)
        at_ms += 5;
      read = listed_by (s, at_ms);
      if (count_complete_groups (s->listed_ms, at_ms) >= WANTED)
        return at_ms > poll_at_ms + POLL_INTERVAL_MS
                   ? at_ms
                   : poll_at_ms + POLL_INTERVAL_MS;
      poll_at_ms = at_ms > poll_at_ms + POLL_INTERVAL_MS
                       ? at_ms
                       : poll_at_ms + POLL_INTERVAL_MS;
    }
  return poll_at_ms;
}

static int64_t
mean_idle_ms (bool each)
{
  struct step s;
  int64_t sum_ms = 0;

  wy_rng_seed (&s.rng, 11);
  for (int k = 0; k < STEPS; k++)
    {
      int64_t enough_ms;

      make_step (&s);
      enough_ms = list_step (&s, each);
      sum_ms += trainer_goes_on (&s, wy_rng_below (&s.rng, POLL_INTERVAL_MS))
                - enough_ms;
    }
  return sum_ms / STEPS;
}

/* Several of the longest items of a step end within a quarter of a second.  If
   each result were listed by itself it would end a poll without letting the
   trainer go on, and the last one would arrive in the pause before the next
   poll.  The mean idle time must be less than one pause, and less than with
   each result listed when it is known.  */
Test (listing, trainer_idles_less_than_one_pause)
{
  int64_t idle_ms = mean_idle_ms (false);
  int64_t each_ms = mean_idle_ms (true);

  cr_expect_lt (idle_ms, POLL_INTERVAL_MS, "%lld ms", (long long)idle_ms);
  cr_expect_lt (idle_ms, each_ms, "%lld ms and %lld ms", (long long)idle_ms,
                (long long)each_ms);
}

/* Results are listed immediately when they are nearly due, if the job can't
   end in time, if the trainer does not say how many groups it wants, and if
   the job is handed off to another entry.  */
Test (listing, not_deferred_without_reason)
{
  struct wy_listing_options last = { .items = ITEMS,
                                     .results = ITEMS - 4,
                                     .complete_groups = WANTED - 1,
                                     .wanted_groups = WANTED,
                                     .age_ms = 6000,
                                     .due_ms = DUE_MS };
  struct wy_listing_options o = last;

  cr_expect (wy_listing_is_deferred (&o));
  o.complete_groups = WANTED;
  cr_expect_not (wy_listing_is_deferred (&o), "the trainer can go on");
  o = last;
  o.age_ms = DUE_MS;
  cr_expect_not (wy_listing_is_deferred (&o), "due");
  o.age_ms = DUE_MS - 200;
  cr_expect_not (wy_listing_is_deferred (&o), "a write could end too late");
  o = last;
  o.exceeds_capacity = true;
  cr_expect_not (wy_listing_is_deferred (&o), "planned late");
  o = last;
  o.due_ms = 0;
  cr_expect_not (wy_listing_is_deferred (&o), "never due");
  o = last;
  o.wanted_groups = 0;
  cr_expect_not (wy_listing_is_deferred (&o), "no number of groups");
  o = last;
  o.stopping = true;
  cr_expect_not (wy_listing_is_deferred (&o), "stopping");
  o = last;
  o.results = ITEMS / 2;
  cr_expect_not (wy_listing_is_deferred (&o), "not among the last");
}
