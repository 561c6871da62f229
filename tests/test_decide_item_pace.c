/* Expected slot time of items.  */
#include <criterion/criterion.h>

#include "decide/item_pace.h"

enum
{
  ITEMS = 200,
  TOKENS = 50,
  EVENTS = 25, /* two tokens each */
  MS_PER_TOKEN = 20
};

static void
record (struct wy_item_pace *p, int items, double ms_per_token)
{
  for (int k = 0; k < items; k++)
    {
      struct wy_item_pace_sample s = { .slot_ms = TOKENS * ms_per_token,
                                       .expected_tokens = TOKENS,
                                       .events = EVENTS };

      wy_item_pace_record (p, &s);
    }
}

/* The first items of a day: nothing is assumed from the few that end first,
   which are the shortest.  */
Test (item_pace, unknown_at_first)
{
  struct wy_item_pace p = { 0 };

  cr_expect_eq (wy_item_pace_ms_per_token (&p), 0);
  record (&p, 1, MS_PER_TOKEN);
  cr_expect_eq (wy_item_pace_ms_per_token (&p), 0);
  cr_expect_eq (wy_item_pace_left_ms (&p, TOKENS, 0), 0);
  record (&p, ITEMS, MS_PER_TOKEN);
  cr_expect_float_eq (wy_item_pace_ms_per_token (&p), MS_PER_TOKEN, 1e-6);
}

/* Two in five replicas become three times slower.  After a few seconds' items
   the expected time must be that of the present.  */
Test (item_pace, follows_slow_replicas)
{
  struct wy_item_pace p = { 0 };

  record (&p, ITEMS, MS_PER_TOKEN);
  record (&p, 2 * ITEMS, 2 * MS_PER_TOKEN);
  cr_expect_float_eq (wy_item_pace_ms_per_token (&p), 2 * MS_PER_TOKEN, 1);
}

/* A running item takes less than a new one, until it turns out longer than
   expected.  */
Test (item_pace, running_item)
{
  struct wy_item_pace p = { 0 };

  record (&p, ITEMS, MS_PER_TOKEN);
  cr_expect_float_eq (wy_item_pace_left_ms (&p, TOKENS, 0),
                      TOKENS * MS_PER_TOKEN, 1e-6);
  cr_expect_float_eq (wy_item_pace_left_ms (&p, TOKENS, EVENTS * 3 / 5),
                      TOKENS * MS_PER_TOKEN * 2 / 5.0, 1e-6);
  cr_expect_float_eq (wy_item_pace_left_ms (&p, TOKENS, 2 * EVENTS),
                      TOKENS * MS_PER_TOKEN, 1e-6);
}
