/* Relay of weights.  */
#ifndef WY_AGENT_WEIGHT_RELAY_H
#define WY_AGENT_WEIGHT_RELAY_H

#include "agent/state.h"

int wy_agent_weight_relay_start (struct wy_agent *a);
char *wy_agent_weight_relay_source (struct wy_agent *a,
                                    const struct wy_frame_order *o);

#endif
