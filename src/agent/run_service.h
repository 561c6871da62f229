/* Runs on a plain service.  */
#ifndef WY_AGENT_RUN_SERVICE_H
#define WY_AGENT_RUN_SERVICE_H

#include "agent/state.h"

bool wy_agent_service_check (const struct wy_frame_submit *s);
void wy_agent_service_start (struct wy_run *r);
void wy_agent_service_crashed (struct wy_run *r);

#endif
