/* A running estimate of the median of a sequence of positive values.  */
#ifndef WY_DECIDE_RUNNING_MEDIAN_H
#define WY_DECIDE_RUNNING_MEDIAN_H

#include <stdint.h>

struct wy_running_median
{
  double value; /* 0: unknown */
  uint32_t samples;
};

void wy_running_median_add (struct wy_running_median *m, double sample);

#endif
