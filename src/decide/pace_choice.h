/* The choice of a target for a job item by its expected length, among targets
   of uneven speed.  */
#ifndef WY_DECIDE_PACE_CHOICE_H
#define WY_DECIDE_PACE_CHOICE_H

#include <stdbool.h>

/* The item.  */
struct wy_pace_item
{
  double events_left; /* expected; 0: unknown */
  bool is_long;       /* at least as long as the median of those that wait */
  bool has_due;
  double time_left_ms; /* until it is due */
};

/* A target with one run more than now.  */
struct wy_pace_offer
{
  double event_ms;      /* expected time per event of the item */
  double others_ms;     /* time that its other runs lose per event */
  double occupied_part; /* of its slots, now */
  bool is_slow;         /* among the slow targets of the service */
};

double wy_pace_choice_cost (const struct wy_pace_item *i,
                            const struct wy_pace_offer *t);
bool wy_pace_choice_waits (const struct wy_pace_item *i,
                           const struct wy_pace_offer *t, double fast_ms);

#endif
