/* The usual time per event of a target, against which a temporary slow-down is
   detected.  */
#ifndef WY_DECIDE_USUAL_PACE_H
#define WY_DECIDE_USUAL_PACE_H

#include <stdint.h>

struct wy_usual_pace
{
  double ms;
  int64_t seen_ms;    /* time of the last sample */
  double observed_ms; /* time that the samples cover */
  uint32_t samples;
};

void wy_usual_pace_record (struct wy_usual_pace *u, double ms, int64_t now_ms);
double wy_usual_pace_ms (const struct wy_usual_pace *u);

#endif
