/* Order of jobs when targets have fewer free slots than items wait.

   An organisation's priority goes before its route's; among equals the older
   job is due sooner.  */
#include "decide/job_priority.h"

static int
by_number (int64_t a, int64_t b)
{
  return a < b ? -1 : a > b;
}

/* The priority that counts for T.  */
static uint32_t
rank_of (const struct wy_job_priority *t)
{
  return t->organisation_priority != UINT32_MAX ? t->organisation_priority
                                                : t->route_priority;
}

/* Less than 0 where A goes before B.  */
int
wy_job_priority_compare (const struct wy_job_priority *a,
                         const struct wy_job_priority *b)
{
  int order = by_number (rank_of (a), rank_of (b));

  if (order)
    return order;
  order = by_number (a->route_priority, b->route_priority);
  return order ? order : by_number (a->accepted_ms, b->accepted_ms);
}
