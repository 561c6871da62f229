/* Orders from entries to the target.  */
#ifndef WY_AGENT_ORDERS_H
#define WY_AGENT_ORDERS_H

#include "agent/state.h"

void wy_agent_order (struct wy_link *l, const struct wy_frame_order *o);
void wy_agent_orders_link_closed (struct wy_link *l);

#endif
