/* Scheduling of calls that score the texts of job items.  */
#ifndef WY_DECIDE_SCORING_H
#define WY_DECIDE_SCORING_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Slots of each target that score calls leave free for callers' requests.
     Entries don't know which target has a free slot, so each target needs one.
     More have no effect on those requests and delay steps.  */
  WY_SCORING_RESERVED_SLOTS = 1
};

/* A text to be scored.  */
struct wy_scoring_candidate
{
  uint32_t group_missing; /* items of its group without a result */
  int64_t since_ms;       /* start of its wait */
};

bool wy_scoring_precedes (const struct wy_scoring_candidate *a,
                          const struct wy_scoring_candidate *b);
int64_t wy_scoring_hedge_delay_ms (double typical_ms,
                                   uint32_t target_latency_ms);
double wy_scoring_latency_limit_ms (double typical_ms);
int64_t wy_scoring_backoff_ms (uint32_t failures);

#endif
