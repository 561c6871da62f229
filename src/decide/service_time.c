/* Whether a request can still be served in time.

   A request that runs although its time is too short occupies a slot for
   nothing and ends with a status that leaves open whether it has run.  It is
   rejected at once if the shortest of many recent service times does not fit
   into its time.  The shortest one is used instead of the mean, since service
   times differ by request: if they vary much, the estimate rejects nothing. */
#include "decide/service_time.h"

enum
{
  WINDOW_MS = 5000,
  /* The shortest of fewer samples may be far from the shortest possible.  */
  SAMPLES_MIN = 20,
  /* Interval at which a request runs although its time seems too short, so
     that replicas which have become faster are noticed.  */
  PROBE_MS = 1000
};

/* Error of the estimate: a request may be served this much faster than all of
   the samples.  */
static const double error = 0.2;

/* Move the windows of S to NOW_MS.  */
static void
advance (struct wy_service_time *s, int64_t now_ms)
{
  int64_t age_ms = now_ms - s->window_start_ms;

  if (age_ms < WINDOW_MS)
    return;
  s->least_ms[1] = s->least_ms[0];
  s->samples[1] = age_ms < (int64_t)WY_SERVICE_TIME_WINDOWS * WINDOW_MS
                      ? s->samples[0]
                      : 0;
  s->samples[0] = 0;
  s->window_start_ms = now_ms;
}

/* Record that a request was served in MS.  */
void
wy_service_time_record (struct wy_service_time *s, double ms, int64_t now_ms)
{
  advance (s, now_ms);
  if (s->samples[0] == 0 || ms < s->least_ms[0])
    s->least_ms[0] = ms;
  s->samples[0]++;
}

/* The shortest service time observed recently; 0 if too few were.  */
double
wy_service_time_least_ms (const struct wy_service_time *s, int64_t now_ms)
{
  struct wy_service_time t = *s;

  advance (&t, now_ms);
  if (t.samples[0] + t.samples[1] < SAMPLES_MIN)
    return 0;
  if (t.samples[0] == 0)
    return t.least_ms[1];
  return t.samples[1] == 0 || t.least_ms[0] < t.least_ms[1] ? t.least_ms[0]
                                                            : t.least_ms[1];
}

/* Whether a request with the time left and the wait of Q can't be served in
   time.  False if it is to run as a probe.  */
bool
wy_service_time_is_too_short (struct wy_service_time *s,
                              const struct wy_service_time_query *q,
                              int64_t now_ms)
{
  double least_ms = wy_service_time_least_ms (s, now_ms) * (1 - error);

  if ((double)q->time_left_ms >= least_ms * (q->rounds + 1))
    return false;
  if (now_ms < s->probe_due_ms)
    return true;
  s->probe_due_ms = now_ms + PROBE_MS;
  return false;
}
