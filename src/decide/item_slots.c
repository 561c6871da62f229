/* Which items leave slots free for others.

   The load answered is a job of some hundred items, a tenth of them several
   times as long as the rest, submitted every few seconds by each of several
   trainers.  A step lasts as long as its longest items, which need nearly all
   of the time it has: they must start at once, and each of their events takes
   longer the more runs share their target.  Started together, the short items
   fill all slots for a second or two, just when the next step's long ones
   arrive.  So short ones leave part of the slots until they would be late
   themselves.  */
#include "decide/item_slots.h"

enum
{
  /* One item in so many counts as long: what a submitter expects is right at
     the median only, and this takes in nearly all of a longest tenth.  */
  LONG_DIVISOR = 4,
  /* Part of the time until results are due in which short items leave
     slots.  A short one that turns out long can still be in time.  */
  WAIT_DIVISOR = 3
};

static const double short_share = 0.5;

/* The part of each target's slots that the item may find taken and still
   start; 0: all of them.  One that was interrupted has lost time already, and
   may well be longer than it was expected to be.  */
double
wy_item_slots_occupancy_max (const struct wy_item_slots_options *o)
{
  if (o->has_partial_text || o->length_rank < o->items / LONG_DIVISOR
      || o->due_ms <= 0 || o->waited_ms >= o->due_ms / WAIT_DIVISOR)
    return 0;
  return short_share;
}
