/* When and where the texts of a job's items are scored.  */
#ifndef WY_DECIDE_SCORING_H
#define WY_DECIDE_SCORING_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Slots of each target that calls for scores leave to people.  Their entries
     do not know which target has a free one, so each needs it.  More do not
     help them: what they leave is not used, and steps end later.  */
  WY_SCORING_RESERVED_SLOTS = 1
};

/* A text that waits for its score.  */
struct wy_scoring_candidate
{
  uint32_t group_missing; /* items of its group without a result */
  int64_t since_ms;
};

bool wy_scoring_precedes (const struct wy_scoring_candidate *a,
                          const struct wy_scoring_candidate *b);
int64_t wy_scoring_hedge_delay_ms (double typical_ms,
                                   uint32_t target_latency_ms);
double wy_scoring_latency_limit_ms (double typical_ms);
int64_t wy_scoring_backoff_ms (uint32_t broken);

#endif
