/* The capacity of a service, and whether a caller's request can still be
   served in its time.  */
#ifndef WY_GATE_SERVABLE_H
#define WY_GATE_SERVABLE_H

#include "gate/env.h"

double wy_gate_capacity_hz (const struct wy_gate_env *env,
                            const char *service);
bool wy_gate_is_too_late (struct wy_gate_env *env, const char *service,
                          int64_t time_left_ms);

#endif
