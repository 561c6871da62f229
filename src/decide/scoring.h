/* When and where the texts of a job's items are scored.  */
#ifndef WY_DECIDE_SCORING_H
#define WY_DECIDE_SCORING_H

#include <stdbool.h>
#include <stdint.h>

/* Slots of a target that calls for scores may find taken and still start.  */
struct wy_scoring_slots
{
  double share;  /* 0: all */
  uint32_t left; /* and so many stay free in any case */
};

/* A text that waits for its score.  */
struct wy_scoring_turn
{
  uint32_t group_missing; /* items of its group without a result */
  int64_t since_ms;
};

struct wy_scoring_slots wy_scoring_slots (int64_t waited_ms, int64_t due_ms);
bool wy_scoring_goes_first (const struct wy_scoring_turn *a,
                            const struct wy_scoring_turn *b);
int64_t wy_scoring_second_ms (double typical_ms, uint32_t target_latency_ms);
double wy_scoring_pace_limit_ms (double typical_ms);
int64_t wy_scoring_pause_ms (uint32_t broken);

#endif
