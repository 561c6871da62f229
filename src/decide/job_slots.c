/* Slots that each of several jobs of one model is guaranteed.

   A trainer submits a job while an older one is still running.  The older goes
   first, as it is due first.  If it is late, it would occupy all slots until
   all its items have started, and the long items of the new job, which need
   nearly all of the time until they are due, would start seconds late: one
   late job would make each that follows late.  If the new one went first, the
   late one would never end.  */
#include "decide/job_slots.h"

#include <glib.h>

enum
{
  /* Each job gets one in this many slots: enough for the long tenth of its
     items, and the older job keeps most.  With more jobs, an equal share.  */
  SHARE_DIVISOR = 4
};

/* Number of slots that each of JOBS with waiting items gets of SLOTS.  */
double
wy_job_slots_guaranteed (double slots, uint32_t jobs)
{
  return slots / MAX (jobs, SHARE_DIVISOR);
}

/* Number of items that the job may start before all other jobs.  */
uint32_t
wy_job_slots_missing (const struct wy_job_slots_options *o)
{
  uint32_t n;

  if (o->jobs < 2)
    return 0;
  n = (uint32_t)wy_job_slots_guaranteed (o->slots, o->jobs);
  return n > o->running ? n - o->running : 0;
}
