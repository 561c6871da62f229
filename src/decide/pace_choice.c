/* The choice of a target for a job item by its expected length.

   The load is a service of which a third of the replicas is 1.3 to 2.4 times
   slower than the others.  A step ends with its longest items, which end in
   time only on the fast replicas.  So items of less than the median length of
   those that wait take a slow replica as long as they still end in time there,
   and leave the fast slots to the longer ones.  */
#include "decide/pace_choice.h"

/* A short item ends in time if this multiple of its expected time fits:
   expected lengths are right only at the median, and few items take more than
   twice as long.  */
static const double length_margin = 2;

/* Cost of a completely occupied target, relative to its time per event, which
   only decides between targets that further runs don't slow down.  */
static const double occupied_cost = 0.02;

/* Added to the cost of a target for each rank that it has behind the preferred
   ones; larger than any time per event in ms.  */
static const double rank_cost = 1e7;

enum
{
  RANK_PREFERRED,
  RANK_FAST, /* leave it to a longer item */
  RANK_SLOW_TOO_LATE
};

static bool
ends_in_time (const struct wy_pace_item *i, double event_ms, double margin)
{
  return !i->has_due || i->events_left * event_ms * margin <= i->time_left_ms;
}

static int
rank_of (const struct wy_pace_item *i, const struct wy_pace_offer *t)
{
  double margin = i->is_long ? 1 : length_margin;

  if (i->events_left <= 0)
    return RANK_PREFERRED;
  if (t->is_slow)
    return ends_in_time (i, t->event_ms, margin) ? RANK_PREFERRED
                                                 : RANK_SLOW_TOO_LATE;
  return i->is_long ? RANK_PREFERRED : RANK_FAST;
}

/* Cost of running the item I at the target T; the least is chosen.  */
double
wy_pace_choice_cost (const struct wy_pace_item *i,
                     const struct wy_pace_offer *t)
{
  return rank_of (i, t) * rank_cost + t->others_ms
         + t->event_ms * (1 + occupied_cost * t->occupied_part);
}

/* Whether the item I should rather wait than run at the target T, the best one
   with a free slot: it would be late there, but not at a fast target, at which
   events take FAST_MS.  A shorter item can use the slot of T.  */
bool
wy_pace_choice_waits (const struct wy_pace_item *i,
                      const struct wy_pace_offer *t, double fast_ms)
{
  return t->is_slow && !ends_in_time (i, t->event_ms, 1)
         && ends_in_time (i, fast_ms, 1);
}
