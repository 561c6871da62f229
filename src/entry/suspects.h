/* Detection of requests that crash targets.  */
#ifndef WY_ENTRY_SUSPECTS_H
#define WY_ENTRY_SUSPECTS_H

#include "entry/state.h"

/* A block expires after half an hour, see src/decide/suspect.c.  */
#define WY_SUSPECT_RETRY_MS 1800000

bool wy_suspect_must_reject (struct wy_request *r);
void wy_suspect_record_crash (struct wy_request *r, struct wy_peer *p);
void wy_suspect_clear (struct wy_request *r);
void wy_suspect_list_http (struct wy_entry *e, struct wy_http_exchange *ex);
void wy_suspect_lift_http (struct wy_entry *e, struct wy_http_exchange *ex,
                           const char *fingerprint);

#endif
