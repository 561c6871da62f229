/* How many slots of scaled services this entry keeps busy, by availability
   zone of the replicas, smoothed; and the sum over all entries.  */
#ifndef WY_GATE_BUSY_SLOTS_H
#define WY_GATE_BUSY_SLOTS_H

#include <glib.h>
#include <jansson.h>

#include "gate/env.h"

void wy_busy_sample (GHashTable *busy, const struct wy_gate_env *env);
json_t *wy_busy_encode (GHashTable *busy);
double wy_busy_of (const json_t *told, const char *service,
                   const char *availability_zone);
double wy_busy_here (GHashTable *busy, const char *service,
                     const char *availability_zone);

#endif
