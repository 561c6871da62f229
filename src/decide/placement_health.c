/* Slow and half-dead targets, found by their outcomes.

   A target can answer its heartbeats and report little load while its
   requests fail or crawl; by load alone it even looks the emptiest and draws
   the work of all.  One notices by failures and by the pace of its streams.
   It is left out for a while, then let back a few requests at a time.  */
#include "decide/placement_state.h"

/* One failure happens to sound targets; three in a row hardly.  */
#define FAILURES_MAX 3
/* A target at a third of the expected pace harms each caller on it; smaller
   differences are left to the cost in wy_placement_pick.  */
#define SLOWNESS_MAX 3.0
#define PACES_MIN 3
#define PACE_SMOOTHING 0.3
#define OVERALL_SMOOTHING 0.02
/* More than this share ejected means that the cause is not in the targets:
   leaving out more would only overload the rest.  */
#define EJECTED_SHARE_MAX 3
#define EJECTIONS_MAX 5
/* A target let back may take one request more per this time.  */
#define RETURN_STEP_MS 200
/* After this time without a new ejection it is sound again.  */
#define SOUND_MS 10000
/* Rollouts left on a target ejected for slowness: their pace shows when it
   has recovered, and no caller serves as the probe.  */
#define ROLLOUT_PROBES 2

static void
eject (struct wy_placement *p, struct wy_target *t, int64_t now_ms)
{
  if (t->ejected_until_ms > now_ms)
    return;
  if (t->ejected_until_ms == 0)
    {
      if ((p->ejected + 1) * EJECTED_SHARE_MAX > p->all.n)
        return;
      p->ejected++;
    }
  t->ejected_until_ms = now_ms + ((int64_t)p->o.eject_ms << t->ejections);
  if (t->ejections < EJECTIONS_MAX)
    t->ejections++;
  t->failures = 0;
  t->paces = 0;
}

static void
make_sound (struct wy_placement *p, struct wy_target *t)
{
  if (t->ejected_until_ms)
    p->ejected--;
  t->ejected_until_ms = 0;
  t->ejections = 0;
}

/* Learn from the OUTCOME of a request on T.  */
void
wy_target_outcome (struct wy_placement *p, struct wy_target *t,
                   enum wy_outcome outcome, int64_t now_ms)
{
  switch (outcome)
    {
    case WY_OUTCOME_OK:
      t->failures = 0;
      if (t->ejected_until_ms && now_ms > t->ejected_until_ms + SOUND_MS)
        make_sound (p, t);
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
expected_us (const struct wy_placement *p, const struct wy_target *t,
             int64_t now_ms)
{
  uint32_t streams
      = wy_target_callers (p, t, now_ms) + wy_target_rollouts (p, t, now_ms);

  if (streams > t->o.streams_max)
    streams = t->o.streams_max;
  return p->o.token_base_us + (double)p->o.token_stream_us * streams;
}

/* T ran at RATIO times the expected time per token lately.  What counts is
   how it compares with the others, whose engines may all be faster or slower
   than the curve that was guessed.  */
void
wy_target_pace (struct wy_placement *p, struct wy_target *t, double ratio,
                int64_t now_ms)
{
  t->slowness += PACE_SMOOTHING * (ratio - t->slowness);
  t->paces++;
  p->slowness += OVERALL_SMOOTHING * (ratio - p->slowness);
  if (t->paces >= PACES_MIN && t->slowness > SLOWNESS_MAX * p->slowness)
    eject (p, t, now_ms);
}

/* A stream on SLOT ran at US_PER_TOKEN lately.  Waiting for whole answers
   would show a slow target only after its slowest answers have ended.  */
void
wy_placement_token_latency (struct wy_placement *p, uint32_t slot,
                            uint32_t us_per_token, int64_t now_ms)
{
  struct wy_target *t;

  if (slot >= p->o.targets_max || !p->target[slot].used)
    return;
  t = &p->target[slot];
  wy_target_pace (p, t, us_per_token / expected_us (p, t, now_ms), now_ms);
}

/* Whether T may get work of WORK_CLASS as far as its health goes.  */
bool
wy_target_admits (const struct wy_placement *p, const struct wy_target *t,
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
  return t->callers + t->rollouts <= (uint64_t)since_ms / RETURN_STEP_MS;
}
