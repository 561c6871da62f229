/* Up to which occupancy of a target a job item may start there.  */
#ifndef WY_DECIDE_ITEM_SLOTS_H
#define WY_DECIDE_ITEM_SLOTS_H

#include <stdbool.h>
#include <stdint.h>

struct wy_item_slots_options
{
  uint32_t length_rank;  /* position by expected length, longest first */
  uint32_t items;        /* of the job */
  bool has_partial_text; /* from an interrupted run */
  bool exceeds_capacity; /* the job can't end in time */
  int64_t waited_ms;     /* since this entry started the job */
  int64_t due_ms; /* from that start until all results are due; 0: never */
};

double wy_item_slots_occupancy_max (const struct wy_item_slots_options *o);

#endif
