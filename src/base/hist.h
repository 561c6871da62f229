/* Log-linear histogram of fixed size with a relative error of 1/16.  */
#ifndef WY_BASE_HIST_H
#define WY_BASE_HIST_H

#include <stdint.h>

#define WY_HIST_SUB_BITS 4
#define WY_HIST_BUCKETS (64 << WY_HIST_SUB_BITS)

struct wy_hist
{
  uint64_t n;
  uint64_t sum;
  uint64_t max;
  uint64_t count[WY_HIST_BUCKETS];
};

void wy_hist_add (struct wy_hist *h, uint64_t v);
uint64_t wy_hist_quantile (const struct wy_hist *h, double q);
double wy_hist_mean (const struct wy_hist *h);

#endif
