/* State that targets report in heartbeats.  */
#ifndef WY_ENTRY_REPORTS_H
#define WY_ENTRY_REPORTS_H

#include "entry/state.h"

void wy_peer_push_config (struct wy_peer *p);
void wy_peer_set_leaving (struct wy_peer *p, bool leaving);
void wy_peer_heartbeat (struct wy_peer *p, const struct wy_frame_ping *ping);

#endif
