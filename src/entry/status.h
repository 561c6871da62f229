/* Operator interface of an entry.  */
#ifndef WY_ENTRY_STATUS_H
#define WY_ENTRY_STATUS_H

#include "entry/state.h"

bool wy_entry_ready (const struct wy_entry *e);
void wy_entry_announce_ready (struct wy_entry *e);
void wy_status_http (struct wy_entry *e, struct wy_http_exchange *ex,
                     const char *tail);
void wy_status_events (struct wy_entry *e, struct wy_http_exchange *ex,
                       const char *tail);
void wy_status_metrics (struct wy_entry *e, struct wy_http_exchange *ex,
                        const char *tail);
void wy_status_health (struct wy_entry *e, struct wy_http_exchange *ex,
                       const char *tail);
void wy_status_ready (struct wy_entry *e, struct wy_http_exchange *ex,
                      const char *tail);
void wy_status_target (struct wy_entry *e, struct wy_http_exchange *ex,
                       const char *tail);

#endif
