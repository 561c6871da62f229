/* Slots that each of several jobs of one model is guaranteed.  */
#ifndef WY_DECIDE_JOB_SLOTS_H
#define WY_DECIDE_JOB_SLOTS_H

#include <stdint.h>

struct wy_job_slots_options
{
  double slots;     /* that the jobs share */
  uint32_t jobs;    /* with waiting items */
  uint32_t running; /* items of this job */
};

double wy_job_slots_guaranteed (double slots, uint32_t jobs);
uint32_t wy_job_slots_missing (const struct wy_job_slots_options *o);

#endif
