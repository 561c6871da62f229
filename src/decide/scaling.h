/* How many replicas a service is to have in an availability zone.  */
#ifndef WY_DECIDE_SCALING_H
#define WY_DECIDE_SCALING_H

#include <stdbool.h>
#include <stdint.h>

/* What is known at one moment.  */
struct wy_scaling_load
{
  uint32_t minimum; /* bounds of the answer */
  uint32_t maximum;
  uint32_t boot_ms;  /* from the order to the first request served */
  uint32_t slots;    /* of one replica */
  double busy_slots; /* slots in use, averaged over a second or so */
  bool all_reported; /* all who send requests have told */
};

/* The decision so far; desired is to be set to the replicas that there are. */
struct wy_scaling
{
  uint32_t desired;
  bool is_low; /* fewer would do, */
  int64_t low_since_ms;
  uint32_t low_peak; /* though so many were wanted meanwhile */
};

uint32_t wy_scaling_next (struct wy_scaling *s,
                          const struct wy_scaling_load *load, int64_t now_ms);

#endif
