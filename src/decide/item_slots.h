/* How many of a target's slots an item of a job may take.  */
#ifndef WY_DECIDE_ITEM_SLOTS_H
#define WY_DECIDE_ITEM_SLOTS_H

#include <stdbool.h>
#include <stdint.h>

struct wy_item_slots_options
{
  uint32_t length_rank;  /* of the item, longest expected first */
  uint32_t items;        /* of the job */
  bool has_partial_text; /* there is text of it, from a run that was
                            interrupted */
  int64_t waited_ms;
  int64_t due_ms; /* all results are due so long after the start; 0: never */
};

double wy_item_slots_occupancy_max (const struct wy_item_slots_options *o);

#endif
