/* Rejection of requests whose time is too short, on simulated services.  */
#include <criterion/criterion.h>

#include "base/rng.h"
#include "decide/service_time.h"

/* The share of requests with TIME_LEFT_MS and ROUNDS before them that are
   rejected, in percent, at a service that takes LEAST_MS to MOST_MS and has
   served SAMPLES requests.  */
static int
rejected_percent (int64_t time_left_ms, uint32_t rounds, uint32_t samples,
                  uint32_t least_ms, uint32_t most_ms)
{
  struct wy_service_time s = { 0 };
  struct wy_service_time_query q = { time_left_ms, rounds };
  struct wy_rng rng;
  int64_t now_ms = 100000;
  int n = 0;

  wy_rng_seed (&rng, 5);
  for (uint32_t i = 0; i < samples; i++)
    wy_service_time_record (
        &s, least_ms + wy_rng_below (&rng, most_ms - least_ms + 1),
        now_ms += 10);
  for (int i = 0; i < 100; i++)
    n += wy_service_time_is_too_short (&s, &q, now_ms);
  return n;
}

/* Load: callers with little time left.  Only those that can't be served are
   rejected: not while the service time is unknown, varies, or may be a little
   shorter than observed.  One of each second runs as a probe.  */
Test (service_time, only_what_is_certain)
{
  cr_expect_eq (rejected_percent (50, 0, 19, 100, 120), 0);
  cr_expect_eq (rejected_percent (50, 0, 100, 100, 120), 99);
  cr_expect_eq (rejected_percent (90, 0, 100, 100, 120), 0);
  cr_expect_eq (rejected_percent (50, 0, 100, 10, 400), 0);
  cr_expect_eq (rejected_percent (250, 0, 100, 100, 120), 0);
  cr_expect_eq (rejected_percent (250, 3, 100, 100, 120), 99);
}

/* Load: all replicas were slow and have recovered.  Old service times must not
   reject requests that would be served now.  */
Test (service_time, old_samples_expire)
{
  struct wy_service_time s = { 0 };
  int64_t now_ms = 100000;

  for (int i = 0; i < 100; i++)
    wy_service_time_record (&s, 900, now_ms += 10);
  cr_expect_eq (wy_service_time_least_ms (&s, now_ms), 900);
  wy_service_time_record (&s, 90, now_ms + 1000);
  cr_expect_eq (wy_service_time_least_ms (&s, now_ms + 1000), 90);
  cr_expect_eq (wy_service_time_least_ms (&s, now_ms + 6000), 90);
  cr_expect_eq (wy_service_time_least_ms (&s, now_ms + 12000), 0);
}
