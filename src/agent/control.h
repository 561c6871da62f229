/* Control calls to the engine about a run.  */
#ifndef WY_AGENT_CONTROL_H
#define WY_AGENT_CONTROL_H

#include "agent/state.h"

void wy_agent_control (struct wy_run *r, const char *path);
void wy_agent_control_export (struct wy_run *r,
                              void (*on_done) (struct wy_run *r,
                                               const char *blob));

#endif
