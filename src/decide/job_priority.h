/* Order in which an entry starts the items of its jobs.  */
#ifndef WY_DECIDE_JOB_PRIORITY_H
#define WY_DECIDE_JOB_PRIORITY_H

#include <stdint.h>

struct wy_job_priority
{
  uint32_t organisation_priority; /* 0 is the highest; UINT32_MAX: not set */
  uint32_t route_priority;        /* 0 is the highest */
  int64_t accepted_ms;
};

uint32_t wy_job_priority_effective (const struct wy_job_priority *t);
int wy_job_priority_compare (const struct wy_job_priority *a,
                             const struct wy_job_priority *b);

#endif
