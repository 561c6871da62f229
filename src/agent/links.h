/* Connections from entries.  */
#ifndef WY_AGENT_LINKS_H
#define WY_AGENT_LINKS_H

#include "agent/state.h"

int wy_agent_links_start (struct wy_agent *a);
void wy_agent_listen_failed (const struct wy_agent *a, const char *setting,
                             uint16_t port, int system_error);
void wy_agent_links_send (struct wy_agent *a, const struct wy_frame *f);
void wy_agent_links_stop (struct wy_agent *a);

#endif
