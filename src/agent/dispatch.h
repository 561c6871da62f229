/* Executes the decisions of the admission queue.  */
#ifndef WY_AGENT_DISPATCH_H
#define WY_AGENT_DISPATCH_H

#include "agent/state.h"

void wy_agent_enqueue (struct wy_run *r, const struct wy_frame_submit *s);
void wy_agent_dispatch (struct wy_agent *a);
void wy_agent_dispatch_soon (struct wy_agent *a);
void wy_agent_run_cancel (struct wy_run *r);
void wy_agent_reject_waiting (struct wy_agent *a,
                              enum wy_refusal_reason reason,
                              bool non_idempotent);
void wy_agent_dispatch_start (struct wy_agent *a);

#endif
