/* Slots of autoscaled services that an entry's requests occupy, as a moving
   average per service and availability zone.  */
#ifndef WY_GATE_BUSY_SLOTS_H
#define WY_GATE_BUSY_SLOTS_H

#include <glib.h>
#include <jansson.h>

#include "gate/env.h"

void wy_busy_slots_sample (GHashTable *busy, const struct wy_gate_env *env);
json_t *wy_busy_slots_encode (GHashTable *busy);
double wy_busy_slots_reported (const json_t *reported, const char *service,
                               const char *availability_zone);
double wy_busy_slots_local (GHashTable *busy, const char *service,
                            const char *availability_zone);

#endif
