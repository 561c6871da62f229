/* When and where the texts of a job's items are scored.

   The load answered is a step of some hundred items, whose texts become whole
   within a second or two, beside single requests of people at the same
   service.  A score takes several times as long as such a request; all asked
   for at once, they would fill every slot and queue, and each person would
   wait for several of them.  So calls for scores start only where a slot is
   free, never behind another, and leave the last one of each target to people;
   what does not find one waits here, where its order can still be chosen.  */
#include "decide/scoring.h"

enum
{
  /* Pauses before the same score is asked for again: a fault that stays is not
     met in a tight loop, and a target is back from a refusal in some ten ms.
   */
  PAUSE_MIN_MS = 20,
  PAUSE_DOUBLINGS_MAX = 5
};

/* A second target is asked when the first has taken so many times the usual:
   of times that spread by half around their mean, one in a hundred does.  */
static const double second_factor = 3.0;

/* A target this much slower than the usual one gets none: to wait for a slot
   elsewhere takes about one usual time.  */
static const double slow_factor = 2.5;

/* Whether A is asked for before B.  Groups count only when whole, so the one
   that lacks least comes first; at the deadline more of them are whole than if
   all were in progress.  */
bool
wy_scoring_precedes (const struct wy_scoring_candidate *a,
                     const struct wy_scoring_candidate *b)
{
  if (a->group_missing != b->group_missing)
    return a->group_missing < b->group_missing;
  return a->since_ms < b->since_ms;
}

/* How long one target may take before a second is asked, where TYPICAL_MS is
   usual (1 or less: not known) and the route promises TARGET_LATENCY_MS (0:
   nothing).  */
int64_t
wy_scoring_hedge_delay_ms (double typical_ms, uint32_t target_latency_ms)
{
  double ms = second_factor * typical_ms;

  if (typical_ms <= 1 || ms < target_latency_ms / 2.0)
    ms = target_latency_ms / 2.0;
  return ms < 1 ? INT64_MAX : (int64_t)ms;
}

/* Targets slower than this get no call; 0: any may.  */
double
wy_scoring_latency_limit_ms (double typical_ms)
{
  return typical_ms <= 1 ? 0 : slow_factor * typical_ms;
}

/* Pause before the next call when BROKEN in a row brought nothing.  */
int64_t
wy_scoring_backoff_ms (uint32_t broken)
{
  uint32_t n = broken < PAUSE_DOUBLINGS_MAX ? broken : PAUSE_DOUBLINGS_MAX;

  return (int64_t)PAUSE_MIN_MS << n;
}
