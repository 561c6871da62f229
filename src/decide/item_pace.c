/* Expected slot time of a job's items.

   The submitter estimates the tokens of each item; the slot time of a token
   depends on the service, on the speed of its replicas and on their load.  All
   averages have the same weights, so their ratios are those of the sums: the
   mean of the items' own ratios would be dominated by short items.  */
#include "decide/item_pace.h"

#include <glib.h>

enum
{
  /* Completed items below which nothing is known: the first to end are the
     shortest.  */
  ITEMS_MIN = 16,
  /* Items that the averages cover, about a second's at full load, so that they
     follow replicas that become slow.  */
  AVERAGE_ITEMS = 100
};

/* Past its expected length, an item is expected to continue for this fraction
   of its present length.  */
static const double overrun = 0.5;

static uint32_t
count (uint32_t n)
{
  return MIN (n + 1, AVERAGE_ITEMS);
}

static void
average (double *p, double sample, uint32_t n)
{
  *p += (sample - *p) / n;
}

/* Record a completed item.  */
void
wy_item_pace_record (struct wy_item_pace *p,
                     const struct wy_item_pace_sample *s)
{
  p->items = count (p->items);
  average (&p->slot_ms, s->slot_ms, p->items);
  average (&p->expected_tokens, s->expected_tokens, p->items);
  average (&p->events, s->events, p->items);
}

/* Record that a complete text waited MS for its score.  */
void
wy_item_pace_record_score (struct wy_item_pace *p, double ms)
{
  p->scores = count (p->scores);
  average (&p->score_ms, ms, p->scores);
}

/* Slot time per expected token; 0: unknown.  */
double
wy_item_pace_ms_per_token (const struct wy_item_pace *p)
{
  return p->items < ITEMS_MIN ? 0 : p->slot_ms / p->expected_tokens;
}

/* Expected slot time that an item of EXPECTED_TOKENS still takes, of whose
   text there are EVENTS; 0: unknown.  */
double
wy_item_pace_left_ms (const struct wy_item_pace *p, double expected_tokens,
                      uint32_t events)
{
  double done = p->events > 0 ? events * p->expected_tokens / p->events : 0;

  return wy_item_pace_ms_per_token (p)
         * MAX (expected_tokens - done, done * overrun);
}
