/* Order of jobs if more items wait than targets have free slots.

   The priority of the organisation counts first, then that of the route; among
   jobs of equal priority the oldest goes first, as it is due first.  */
#include "decide/job_priority.h"

static int
compare_numbers (int64_t a, int64_t b)
{
  return a < b ? -1 : a > b;
}

/* The organisation's priority, or the route's if it has none.  */
uint32_t
wy_job_priority_effective (const struct wy_job_priority *t)
{
  return t->organisation_priority != UINT32_MAX ? t->organisation_priority
                                                : t->route_priority;
}

/* Less than 0 if A goes before B, 0 if they are equal, greater than 0
   otherwise.  */
int
wy_job_priority_compare (const struct wy_job_priority *a,
                         const struct wy_job_priority *b)
{
  int order = compare_numbers (wy_job_priority_effective (a),
                               wy_job_priority_effective (b));

  if (order)
    return order;
  order = compare_numbers (a->route_priority, b->route_priority);
  return order ? order : compare_numbers (a->accepted_ms, b->accepted_ms);
}
