/* Metrics and health checks of an agent.  */
#ifndef WY_AGENT_HTTP_H
#define WY_AGENT_HTTP_H

#include "agent/state.h"

int wy_agent_http_start (struct wy_agent *a);
void wy_agent_register_metrics (struct wy_agent *a);
bool wy_agent_is_ready (const struct wy_agent *a);

#endif
