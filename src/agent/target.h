/* Tracks the state of the target: whether it is up, and what it reports.  */
#ifndef WY_AGENT_TARGET_H
#define WY_AGENT_TARGET_H

#include "agent/state.h"

void wy_agent_target_start (struct wy_agent *a);
void wy_agent_target_recheck (struct wy_agent *a);
void wy_agent_target_stop (struct wy_agent *a);
void wy_agent_target_set_version (struct wy_agent *a, int64_t version,
                                  int64_t staged);
void wy_agent_target_end_silent (struct wy_agent *a, int64_t now_ms);

#endif
