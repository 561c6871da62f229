/* Scaling by load.

   Replicas are added immediately, since requests wait or are rejected until
   the new ones have started.  They are removed only after fewer would have
   sufficed for some time, since starting them again takes time if the load
   returns.  */
#include "decide/scaling.h"

#include <math.h>

#include <glib.h>

enum
{
  /* Minimum time for which fewer replicas must have sufficed, and the same in
     multiples of their start time.  */
  SURPLUS_MIN_MS = 10000,
  SURPLUS_BOOTS = 4
};

/* Share of slots to be in use; the rest absorbs fluctuations of the load until
   more replicas have started.  */
static const double target_utilization = 0.6;

static uint32_t
replicas_needed (const struct wy_scaling_load *l)
{
  double n
      = l->slots ? ceil (l->busy_slots / (l->slots * target_utilization)) : 0;

  return CLAMP ((uint32_t)n, l->minimum, MAX (l->minimum, l->maximum));
}

/* The number of replicas to request from the platform at NOW_MS.  */
uint32_t
wy_scaling_next (struct wy_scaling *s, const struct wy_scaling_load *load,
                 int64_t now_ms)
{
  uint32_t n = replicas_needed (load);
  int64_t surplus_ms
      = MAX (SURPLUS_MIN_MS, (int64_t)SURPLUS_BOOTS * load->boot_ms);

  s->desired
      = CLAMP (s->desired, load->minimum, MAX (load->minimum, load->maximum));
  if (n >= s->desired || !load->all_reported)
    {
      s->desired = MAX (s->desired, n);
      s->has_surplus = false;
      return s->desired;
    }
  if (!s->has_surplus)
    {
      s->has_surplus = true;
      s->surplus_since_ms = now_ms;
      s->surplus_replicas_max = n;
    }
  s->surplus_replicas_max = MAX (s->surplus_replicas_max, n);
  if (now_ms - s->surplus_since_ms >= surplus_ms)
    {
      s->desired = s->surplus_replicas_max;
      s->has_surplus = false;
    }
  return s->desired;
}
