/* Scheduling of calls that score the texts of job items.

   The texts of a step, some hundred, are completed within a second or two,
   while callers send single requests to the same service.  A score call takes
   several times as long as such a request.  If all were sent at once they
   would fill all slots and queues, and each caller would wait for several of
   them.  So a score call is sent only to a target with a free slot, never
   queued there, and the last free slot of each target is left to callers.
   Texts without a slot wait here, where they can still be reordered.  */
#include "decide/scoring.h"

enum
{
  /* Delay before a failed score call is retried.  A target that rejected a
     call can usually take one some ten ms later.  */
  BACKOFF_MIN_MS = 20,
  BACKOFF_DOUBLINGS_MAX = 5
};

/* A call is hedged after this many times the typical duration.  If durations
   vary by half around their mean, one call in a hundred takes that long.  */
static const double hedge_factor = 3.0;

/* A target this many times slower than typical gets no calls: waiting for a
   slot elsewhere takes about one typical duration.  */
static const double slow_factor = 2.5;

/* Whether A is scored before B.  Only complete groups are useful, so the one
   with the fewest missing results goes first: at the deadline more groups are
   complete than if all had progressed equally.  */
bool
wy_scoring_precedes (const struct wy_scoring_candidate *a,
                     const struct wy_scoring_candidate *b)
{
  if (a->group_missing != b->group_missing)
    return a->group_missing < b->group_missing;
  return a->since_ms < b->since_ms;
}

/* Delay after which a call is hedged to a second target.  TYPICAL_MS is the
   typical duration of a call (1 or less: unknown), TARGET_LATENCY_MS that
   configured for the route (0: none).  INT64_MAX: never.  */
int64_t
wy_scoring_hedge_delay_ms (double typical_ms, uint32_t target_latency_ms)
{
  double ms = hedge_factor * typical_ms;

  if (typical_ms <= 1 || ms < target_latency_ms / 2.0)
    ms = target_latency_ms / 2.0;
  return ms < 1 ? INT64_MAX : (int64_t)ms;
}

/* Targets whose calls take longer than this get none; 0: no limit.  */
double
wy_scoring_latency_limit_ms (double typical_ms)
{
  return typical_ms <= 1 ? 0 : slow_factor * typical_ms;
}

/* Delay before the next call after FAILURES consecutive failed calls.  */
int64_t
wy_scoring_backoff_ms (uint32_t failures)
{
  uint32_t n
      = failures < BACKOFF_DOUBLINGS_MAX ? failures : BACKOFF_DOUBLINGS_MAX;

  return (int64_t)BACKOFF_MIN_MS << n;
}
