/* Loads of weights at a target, recognised by its rejections of runs.

   A replica that loads weights rejects all runs for about a second, although
   it has free slots.  If it is tried every 50 to 200 ms, three quarters of all
   rejections come from such loads.  So it gets no run for the usual time of a
   load, then one at a time until one is accepted.  */
#include "decide/weight_load.h"

#include <glib.h>

enum
{
  /* Usual duration until one was measured, and its limits.  A rejection that
     lasts longer than the maximum has another cause; below the minimum, the
     general rule for rejections applies anyway.  */
  USUAL_UNKNOWN_MS = 900,
  USUAL_MIN_MS = 200,
  USUAL_MAX_MS = 3000,
  /* After a rejected probe, the next one follows after this part of the usual
     time.  */
  PROBE_DIVISOR = 4
};

/* Weight of a new sample in the average duration.  */
static const double smoothing = 0.3;

/* A load whose first probe is accepted may have ended earlier, so the estimate
   is reduced by this factor; otherwise it could only rise.  */
static const double shorter_factor = 0.9;

/* The usual duration of a load.  */
double
wy_weight_load_usual_ms (const struct wy_weight_load_time *t)
{
  return t->ms > 0 ? t->ms : USUAL_UNKNOWN_MS;
}

static int64_t
probe_interval_ms (const struct wy_weight_load_time *t)
{
  return (int64_t)wy_weight_load_usual_ms (t) / PROBE_DIVISOR;
}

/* Record that the target of L has rejected a run although it has free slots.
   Return false if this has lasted too long to be a load.  */
bool
wy_weight_load_rejected (struct wy_weight_load *l,
                         const struct wy_weight_load_time *t, int64_t now_ms)
{
  if (!l->believed || now_ms - l->rejected_ms > USUAL_MAX_MS)
    *l = (struct wy_weight_load){
      .believed = true,
      .since_ms = now_ms,
      .until_ms = now_ms + (int64_t)wy_weight_load_usual_ms (t)
    };
  else if (now_ms - l->since_ms > USUAL_MAX_MS)
    {
      l->rejected_ms = now_ms;
      return false;
    }
  else if (now_ms >= l->until_ms)
    {
      l->probes_failed++;
      l->until_ms = now_ms + probe_interval_ms (t);
    }
  l->rejected_ms = now_ms;
  l->until_ms = MIN (l->until_ms, l->since_ms + USUAL_MAX_MS);
  return true;
}

/* The row of the target of L in the list shows another version, so a load that
   was in progress has ended.  */
void
wy_weight_load_row_changed (struct wy_weight_load *l)
{
  if (!l->believed)
    return;
  l->row_changed = true;
  l->until_ms = l->rejected_ms;
}

/* Duration of the load L, whose end was noticed at NOW_MS; 0: not measured,
   since no run tested whether it had ended.  */
static double
measured_ms (const struct wy_weight_load *l,
             const struct wy_weight_load_time *t, int64_t now_ms)
{
  double ms = (double)(now_ms - l->since_ms);
  double usual_ms = wy_weight_load_usual_ms (t);

  if (l->probes_failed)
    return MIN (
        ms, (double)(l->rejected_ms + probe_interval_ms (t) - l->since_ms));
  if (l->row_changed)
    return ms < usual_ms ? ms : 0;
  return shorter_factor * usual_ms;
}

/* Record that the target of L has accepted a run started at STARTED_MS.
   Return whether this ends a load, whose duration is then added to T.  Runs
   started before the load was noticed don't end it.  */
bool
wy_weight_load_accepted (struct wy_weight_load *l,
                         struct wy_weight_load_time *t, int64_t started_ms,
                         int64_t now_ms)
{
  double usual_ms = wy_weight_load_usual_ms (t);
  double ms;

  if (!l->believed || started_ms <= l->since_ms || started_ms < l->until_ms)
    return false;
  ms = measured_ms (l, t, now_ms);
  if (ms > 0)
    t->ms = CLAMP (usual_ms + smoothing * (ms - usual_ms), USUAL_MIN_MS,
                   USUAL_MAX_MS);
  *l = (struct wy_weight_load){ 0 };
  return true;
}

/* Whether the target of L, at which UNANSWERED requests wait for a response,
   must get no run now.  */
bool
wy_weight_load_blocks (const struct wy_weight_load *l, uint32_t unanswered,
                       int64_t now_ms)
{
  return l->believed && (now_ms < l->until_ms || unanswered);
}
