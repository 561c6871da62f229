/* What the choice of a target needs to know of a job item.  */
#ifndef WY_JOBS_ITEM_PLACEMENT_H
#define WY_JOBS_ITEM_PLACEMENT_H

#include "jobs/active_job.h"

uint32_t wy_item_events (const struct wy_item *i);
double wy_item_time_left_ms (const struct wy_item *i,
                             const struct wy_route *route);
struct wy_target *wy_item_placement_pick (const struct wy_item *i,
                                          const struct wy_route *route,
                                          struct wy_target_criteria *q);

#endif
