/* Attachments of connections to runs.  */
#ifndef WY_AGENT_ATTACH_H
#define WY_AGENT_ATTACH_H

#include "agent/state.h"

void wy_agent_attach (struct wy_run *r, struct wy_link *l,
                      uint64_t offset_bytes);
void wy_agent_detach (struct wy_attachment *at);
void wy_agent_flush_run (struct wy_run *r);
void wy_agent_flush_link (struct wy_link *l);

#endif
