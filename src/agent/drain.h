/* Draining and graceful stop.  */
#ifndef WY_AGENT_DRAIN_H
#define WY_AGENT_DRAIN_H

#include "agent/state.h"

void wy_agent_drain_order (struct wy_agent *a, bool drain);
void wy_agent_drain_on_config (struct wy_agent *a,
                               const struct wy_document *d);
void wy_agent_drain_sweep (struct wy_agent *a, int64_t now_ms);

#endif
