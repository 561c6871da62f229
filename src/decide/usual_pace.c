/* The usual time per event of a target.

   A replica on slower hardware always takes twice as long as others; its runs
   gain little by a move, and every run there would be moved.  A replica that
   is slowed down for 8 to 10 s by something else must still be recognised as
   slow at the end of that time.  So the average follows samples of normal size
   within ten seconds, and those that are much larger only over some minutes.
 */
#include "decide/usual_pace.h"

#include <glib.h>

enum
{
  /* Until this many samples the usual pace is unknown.  */
  SAMPLES_MIN = 8,
  /* Time constants of the average.  With 3 s as the first, targets whose
     number of runs goes up and down every few seconds seemed uneven.  With the
     second, 8 s at three times the time per event raise the average to 1.3
     times, so that the target is still slow by the factor in
     src/decide/run_progress.c, and equal targets don't become uneven.  */
  NORMAL_TIME_CONSTANT_MS = 10000,
  SLOW_TIME_CONSTANT_MS = 60000,
  /* Longest time between two samples that counts: after a pause, one sample
     must not replace the average.  */
  INTERVAL_MAX_MS = 500
};

/* A sample larger than this many times the average is slow.  */
static const double slow_factor = 1.5;

/* Record that an event took MS.  */
void
wy_usual_pace_record (struct wy_usual_pace *u, double ms, int64_t now_ms)
{
  double interval_ms
      = u->samples ? MIN ((double)(now_ms - u->seen_ms), INTERVAL_MAX_MS) : 0;
  double constant_ms = SLOW_TIME_CONSTANT_MS;

  u->observed_ms += interval_ms;
  /* At first the average is the mean of all normal samples.  */
  if (ms <= slow_factor * u->ms)
    constant_ms = MIN (u->observed_ms, NORMAL_TIME_CONSTANT_MS);
  if (u->samples < SAMPLES_MIN)
    u->ms += (ms - u->ms) / ++u->samples;
  else if (interval_ms > 0)
    u->ms += (ms - u->ms) * interval_ms / (interval_ms + constant_ms);
  u->seen_ms = now_ms;
}

/* The usual time per event; 0: unknown.  */
double
wy_usual_pace_ms (const struct wy_usual_pace *u)
{
  return u->samples < SAMPLES_MIN ? 0 : u->ms;
}
