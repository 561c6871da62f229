/* Number of replicas of a service in an availability zone.  */
#ifndef WY_DECIDE_SCALING_H
#define WY_DECIDE_SCALING_H

#include <stdbool.h>
#include <stdint.h>

/* Load and limits at one time.  */
struct wy_scaling_load
{
  uint32_t minimum; /* limits of the number of replicas */
  uint32_t maximum;
  uint32_t boot_ms;  /* from starting a replica to its first request */
  uint32_t slots;    /* per replica */
  double busy_slots; /* averaged over about a second */
  bool all_reported; /* all entries that send requests have reported */
};

/* Desired number of replicas.  Initialize desired with the current number.  */
struct wy_scaling
{
  uint32_t desired;
  bool has_surplus; /* fewer replicas would suffice */
  int64_t surplus_since_ms;
  uint32_t surplus_replicas_max; /* most replicas needed since then */
};

uint32_t wy_scaling_next (struct wy_scaling *s,
                          const struct wy_scaling_load *load, int64_t now_ms);

#endif
