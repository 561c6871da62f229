/* Order of jobs.  */
#include <criterion/criterion.h>

#include "decide/job_priority.h"

Test (job_priority, order)
{
  static const struct
  {
    struct wy_job_priority first;
    struct wy_job_priority second;
  } rows[] = {
    /* The organisation's priority counts before the route's and the age.  */
    { { 0, 5, 200 }, { 1, 0, 100 } },
    /* Without one, the route's counts.  */
    { { UINT32_MAX, 1, 200 }, { UINT32_MAX, 2, 100 } },
    { { UINT32_MAX, 0, 200 }, { 1, 0, 100 } },
    /* With equal priorities of organisations, the route's counts.  */
    { { 1, 1, 200 }, { 1, 2, 100 } },
    /* With equal priorities, the older job is first.  */
    { { 1, 1, 100 }, { 1, 1, 200 } },
  };

  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++)
    {
      cr_expect_lt (wy_job_priority_compare (&rows[i].first, &rows[i].second),
                    0, "row %zu", i);
      cr_expect_gt (wy_job_priority_compare (&rows[i].second, &rows[i].first),
                    0, "row %zu", i);
      cr_expect_eq (wy_job_priority_compare (&rows[i].first, &rows[i].first),
                    0);
    }
}
