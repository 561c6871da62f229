/* The usual time per event of a target.

   A replica on slower hardware always takes twice as long as others; its runs
   gain little by a move, and every run there would be moved.  A replica that
   is slowed down for 8 to 10 s by something else must still be recognised as
   slow at the end of that time.  So the average follows samples of normal size
   within seconds, and those that are much larger only within a minute.  */
#include "decide/usual_pace.h"

enum
{
  /* Until this many samples the usual pace is unknown.  */
  SAMPLES_MIN = 8,
  /* Time constants of the average.  With the second, 10 s at three times the
     time per event raise the average to 1.6 times, so that the target is still
     slow by the factor in src/decide/run_progress.c.  */
  NORMAL_TIME_CONSTANT_MS = 3000,
  SLOW_TIME_CONSTANT_MS = 30000,
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
  double interval_ms = (double)(now_ms - u->seen_ms);
  double constant_ms = ms > slow_factor * u->ms ? SLOW_TIME_CONSTANT_MS
                                                : NORMAL_TIME_CONSTANT_MS;

  if (interval_ms > INTERVAL_MAX_MS)
    interval_ms = INTERVAL_MAX_MS;
  if (u->samples < SAMPLES_MIN)
    u->ms += (ms - u->ms) / ++u->samples;
  else
    u->ms += (ms - u->ms) * interval_ms / (interval_ms + constant_ms);
  u->seen_ms = now_ms;
}

/* The usual time per event; 0: unknown.  */
double
wy_usual_pace_ms (const struct wy_usual_pace *u)
{
  return u->samples < SAMPLES_MIN ? 0 : u->ms;
}
