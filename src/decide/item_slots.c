/* Reservation of target slots for long items.

   Each of several trainers submits a job of some hundred items every few
   seconds, a tenth of which take several times as long as the others.  A
   training step lasts as long as its longest items, which need nearly all of
   the time available: they must start immediately, and their time per event
   grows with the number of runs on their target.  If all short items started
   at once, they would occupy all slots for a second or two, during which the
   long items of the next step arrive.  So short items leave part of the slots
   free as long as they can still end in time.  */
#include "decide/item_slots.h"

enum
{
  /* The longest 1 / LONG_DIVISOR of the items count as long.  Expected lengths
     are right only at the median; this includes nearly all items of the
     longest tenth.  */
  LONG_DIVISOR = 4,
  /* Short items leave slots free for the first 1 / WAIT_DIVISOR of the time
     until results are due.  A short item that turns out to be long can still
     end in time after that.  */
  WAIT_DIVISOR = 3
};

static const double short_occupancy_max = 0.5;

/* The share of a target's slots up to which they may be occupied if the item
   is to start there; 0: no limit.  An item that was interrupted has lost time
   already and may be longer than expected, so it has no limit.  Neither has
   one of a job that exceeds the capacity, where each slot that stays free
   delays a group.  */
double
wy_item_slots_occupancy_max (const struct wy_item_slots_options *o)
{
  if (o->has_partial_text || o->exceeds_capacity
      || o->length_rank < o->items / LONG_DIVISOR || o->due_ms <= 0
      || o->waited_ms >= o->due_ms / WAIT_DIVISOR)
    return 0;
  return short_occupancy_max;
}
