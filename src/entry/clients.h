/* What callers can make an entry hold.  */
#ifndef WY_ENTRY_CLIENTS_H
#define WY_ENTRY_CLIENTS_H

#include "entry/state.h"

void wy_entry_start_overload (struct wy_entry *e);
uint32_t wy_entry_connection_limit (const struct wy_entry_settings *s);
uint64_t wy_entry_bodies_limit_bytes (const struct wy_entry_settings *s);
void wy_entry_update_client_gauges (struct wy_entry *e);

#endif
