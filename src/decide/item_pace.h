/* Expected slot time of a job's items, learned from completed ones.  */
#ifndef WY_DECIDE_ITEM_PACE_H
#define WY_DECIDE_ITEM_PACE_H

#include <stdint.h>

/* A completed item.  */
struct wy_item_pace_sample
{
  double slot_ms;           /* duration of all its runs */
  uint32_t expected_tokens; /* as estimated by the submitter; not 0 */
  uint32_t events;          /* of its text */
};

/* Moving averages over completed items; all zero at first.  */
struct wy_item_pace
{
  uint32_t items; /* completed, up to the limit of the average */
  double slot_ms;
  double expected_tokens;
  double events;
  uint32_t scores;
  double score_ms; /* from the complete text to its score */
};

void wy_item_pace_record (struct wy_item_pace *p,
                          const struct wy_item_pace_sample *s);
void wy_item_pace_record_score (struct wy_item_pace *p, double ms);
double wy_item_pace_ms_per_token (const struct wy_item_pace *p);
double wy_item_pace_left_ms (const struct wy_item_pace *p,
                             double expected_tokens, uint32_t events);

#endif
