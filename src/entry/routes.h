/* HTTP routes of an entry.  */
#ifndef WY_ENTRY_ROUTES_H
#define WY_ENTRY_ROUTES_H

#include "entry/state.h"

void wy_routes_http (struct wy_http_exchange *ex, void *entry);

#endif
