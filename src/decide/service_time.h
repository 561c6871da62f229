/* The least time in which a service has served requests recently, and whether
   a request can still be served in time.  Does no input or output.  */
#ifndef WY_DECIDE_SERVICE_TIME_H
#define WY_DECIDE_SERVICE_TIME_H

#include <stdbool.h>
#include <stdint.h>

/* Samples are kept for two windows, the present and the one before it.  */
enum
{
  WY_SERVICE_TIME_WINDOWS = 2
};

struct wy_service_time
{
  int64_t window_start_ms;
  double least_ms[WY_SERVICE_TIME_WINDOWS];
  uint32_t samples[WY_SERVICE_TIME_WINDOWS];
  int64_t probe_due_ms;
};

struct wy_service_time_query
{
  int64_t time_left_ms;
  /* Requests that each slot of the least-loaded replica has to serve first, as
     far as known.  */
  uint32_t rounds;
};

void wy_service_time_record (struct wy_service_time *s, double ms,
                             int64_t now_ms);
double wy_service_time_least_ms (const struct wy_service_time *s,
                                 int64_t now_ms);
bool wy_service_time_is_too_short (struct wy_service_time *s,
                                   const struct wy_service_time_query *q,
                                   int64_t now_ms);

#endif
