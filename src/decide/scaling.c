/* Scaling by load.

   Replicas are added at once, since requests wait or are refused until the new
   ones have started, and taken away only after a span in which fewer would
   have done: each start costs its time again when the load comes back.  */
#include "decide/scaling.h"

#include <math.h>

#include <glib.h>

enum
{
  /* Fewer replicas must have been enough for so long, and for so many times
     their start takes.  */
  LOW_MIN_MS = 10000,
  LOW_BOOTS = 4
};

/* Share of the slots that is to be in use; the rest takes the load's swings
   until more replicas have started.  */
static const double target_use = 0.6;

static uint32_t
wanted (const struct wy_scaling_load *l)
{
  double n = l->slots ? ceil (l->busy_slots / (l->slots * target_use)) : 0;

  return CLAMP ((uint32_t)n, l->minimum, MAX (l->minimum, l->maximum));
}

/* The number of replicas to be ordered from NOW_MS on.  */
uint32_t
wy_scaling_next (struct wy_scaling *s, const struct wy_scaling_load *load,
                 int64_t now_ms)
{
  uint32_t n = wanted (load);
  int64_t low_ms = MAX (LOW_MIN_MS, (int64_t)LOW_BOOTS * load->boot_ms);

  s->desired
      = CLAMP (s->desired, load->minimum, MAX (load->minimum, load->maximum));
  if (n >= s->desired || !load->all_reported)
    {
      s->desired = MAX (s->desired, n);
      s->is_low = false;
      return s->desired;
    }
  if (!s->is_low)
    {
      s->is_low = true;
      s->low_since_ms = now_ms;
      s->low_peak = n;
    }
  s->low_peak = MAX (s->low_peak, n);
  if (now_ms - s->low_since_ms >= low_ms)
    {
      s->desired = s->low_peak;
      s->is_low = false;
    }
  return s->desired;
}
