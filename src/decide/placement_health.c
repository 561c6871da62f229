/* Ejection of slow and failing targets.

   A target can answer heartbeats and report little load while its requests
   fail or are very slow.  By load alone it would look idle and attract all
   requests.  It is detected by failures and by the time per token of its
   streams, ejected for a while, and then readmitted a few requests at a
   time.  */
#include "decide/placement_state.h"

/* Healthy targets may fail once, but hardly three times in a row.  */
#define FAILURES_MAX 3
/* Smaller differences of speed are covered by the cost in wy_placement_pick;
   beyond this each caller on the target suffers.  */
#define SLOWNESS_MAX 3.0
#define SLOWNESS_SAMPLES_MIN 3
#define SLOWNESS_SMOOTHING 0.3
#define MEAN_SMOOTHING 0.02
/* At most 1 / EJECTED_DIVISOR of the targets are ejected.  If more appear
   unhealthy the cause is elsewhere, and ejecting them would only overload the
   others.  */
#define EJECTED_DIVISOR 3
#define EJECTIONS_MAX 5
/* A readmitted target may have one more concurrent request per this time.  */
#define RAMP_UP_STEP_MS 200
/* A target that works this long after the end of its ejection is healthy
   again.  */
#define HEALTHY_AFTER_MS 10000
/* Rollouts allowed on a target ejected for slowness: their speed shows when it
   has recovered, so that no caller is used as a probe.  */
#define ROLLOUT_PROBES 2

static void
eject (struct wy_placement *p, struct wy_placement_target *t, int64_t now_ms)
{
  if (t->ejected_until_ms > now_ms)
    return;
  if (t->ejected_until_ms == 0)
    {
      if ((p->ejected + 1) * EJECTED_DIVISOR > p->all.n)
        return;
      p->ejected++;
    }
  t->ejected_until_ms = now_ms + ((int64_t)p->o.eject_ms << t->ejections);
  if (t->ejections < EJECTIONS_MAX)
    t->ejections++;
  t->failures = 0;
  t->slowness_samples = 0;
}

static void
mark_healthy (struct wy_placement *p, struct wy_placement_target *t)
{
  if (t->ejected_until_ms)
    p->ejected--;
  t->ejected_until_ms = 0;
  t->ejections = 0;
}

/* Update the health of T from the OUTCOME of a request.  */
void
wy_placement_record_outcome (struct wy_placement *p,
                             struct wy_placement_target *t,
                             enum wy_outcome outcome, int64_t now_ms)
{
  switch (outcome)
    {
    case WY_OUTCOME_OK:
      t->failures = 0;
      if (t->ejected_until_ms
          && now_ms > t->ejected_until_ms + HEALTHY_AFTER_MS)
        mark_healthy (p, t);
      return;
    case WY_OUTCOME_SLOW:
    case WY_OUTCOME_FAILED:
      if (++t->failures >= FAILURES_MAX)
        eject (p, t, now_ms);
      return;
    case WY_OUTCOME_REFUSED:
      t->refused_until_ms = now_ms + t->report.caller_wait_ms;
      return;
    case WY_OUTCOME_CANCELLED:
      return;
    }
}

static double
expected_us (const struct wy_placement *p, const struct wy_placement_target *t,
             int64_t now_ms)
{
  uint32_t streams = wy_placement_target_callers (p, t, now_ms)
                     + wy_placement_target_rollouts (p, t, now_ms);

  if (streams > t->o.streams_max)
    streams = t->o.streams_max;
  return p->o.token_base_us + (double)p->o.token_per_stream_us * streams;
}

/* Record that T recently took RATIO times the expected time per token.  It is
   compared with the mean of all targets, since all engines may be faster or
   slower than the options say.  */
void
wy_placement_record_slowness (struct wy_placement *p,
                              struct wy_placement_target *t, double ratio,
                              int64_t now_ms)
{
  t->slowness += SLOWNESS_SMOOTHING * (ratio - t->slowness);
  t->slowness_samples++;
  p->slowness += MEAN_SMOOTHING * (ratio - p->slowness);
  if (t->slowness_samples >= SLOWNESS_SAMPLES_MIN
      && t->slowness > SLOWNESS_MAX * p->slowness)
    eject (p, t, now_ms);
}

/* Record that a stream on SLOT recently took US_PER_TOKEN.  If only complete
   responses counted, a slow target would be detected only after its slowest
   responses have ended.  */
void
wy_placement_token_latency (struct wy_placement *p, uint32_t slot,
                            uint32_t us_per_token, int64_t now_ms)
{
  struct wy_placement_target *t;

  if (slot >= p->o.targets_max || !p->target[slot].used)
    return;
  t = &p->target[slot];
  wy_placement_record_slowness (
      p, t, us_per_token / expected_us (p, t, now_ms), now_ms);
}

/* Whether the health of T allows it new work of WORK_CLASS.  */
bool
wy_placement_target_admits (const struct wy_placement *p,
                            const struct wy_placement_target *t,
                            enum wy_work_class work_class, int64_t now_ms)
{
  int64_t since_ms;

  if (work_class != WY_CLASS_ROLLOUT && t->refused_until_ms > now_ms)
    return false;
  if (t->ejected_until_ms == 0)
    return true;
  since_ms = now_ms - t->ejected_until_ms;
  if (since_ms < 0)
    return work_class == WY_CLASS_ROLLOUT && t->rollouts < ROLLOUT_PROBES
           && t->failures == 0;
  return t->callers + t->rollouts <= (uint64_t)since_ms / RAMP_UP_STEP_MS;
}
