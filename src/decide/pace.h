/* The time per event of job items at a target, by the number of runs there. */
#ifndef WY_DECIDE_PACE_H
#define WY_DECIDE_PACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "decide/usual_pace.h"

/* What the targets of a service have in common.  */
struct wy_pace_service
{
  double slope; /* relative slow-down per further run; 0 until known */
  bool slope_known;
  double runs_mean; /* of the samples, as are the next two */
  double variance;
  double covariance;
  uint32_t samples;
  bool percent_reported; /* by any target, ever */
  double exponent;       /* of the reported percentage; 0 until known */
  double percent_weight; /* sums of samples */
  double percent_product;
};

/* What was observed of one target since it started.  */
struct wy_pace_target
{
  double single_ms;           /* time per event with one run; 0: unknown */
  int64_t seen_ms;            /* time of the last sample */
  struct wy_usual_pace usual; /* of the same */
  bool usual_has_slope;       /* recorded since the slope is known */
  double runs_mean;
  double ms_mean;
  uint32_t samples;
  uint32_t percent; /* as reported; 0: never */
  int64_t percent_ms;
};

void wy_pace_record_percent (struct wy_pace_service *s,
                             struct wy_pace_target *t, uint32_t percent,
                             int64_t now_ms);
void wy_pace_record (struct wy_pace_service *s, struct wy_pace_target *t,
                     uint32_t runs, double ms, int64_t now_ms);
double wy_pace_run_factor (const struct wy_pace_service *s, uint32_t runs);
double wy_pace_expected_ms (const struct wy_pace_service *s,
                            const struct wy_pace_target *t, uint32_t runs,
                            int64_t now_ms);
double wy_pace_usual_ms (const struct wy_pace_service *s,
                         const struct wy_pace_target *t, uint32_t runs);

/* Speeds of the targets of a service, compared by thirds.  */
struct wy_pace_spread
{
  double fastest_ms; /* mean of the fastest third; 0: unknown */
  double ratio;      /* of the mean of the slowest third to it */
  bool uneven;
};

double wy_pace_settled_ms (const struct wy_pace_target *t);
void wy_pace_spread_update (struct wy_pace_spread *d, double *paces_ms,
                            size_t n);
bool wy_pace_spread_is_slow (const struct wy_pace_spread *d, double pace_ms);

#endif
