/* Dispatch of requests to targets, and what happens when a target fails.  */
#ifndef WY_ENTRY_DISPATCH_H
#define WY_ENTRY_DISPATCH_H

#include "entry/state.h"

void wy_dispatch (struct wy_request *r);
void wy_dispatch_refused (struct wy_request *r,
                          const struct wy_frame_refused *f);
void wy_dispatch_failed (struct wy_request *r, enum wy_ran ran,
                         enum wy_entry_reason reason);
void wy_dispatch_connected (struct wy_peer *p);
void wy_dispatch_disconnected (struct wy_peer *p);
void wy_dispatch_resume (struct wy_request *r);
void wy_dispatch_cancel (struct wy_request *r);
void wy_dispatch_sweep (struct wy_request *r, int64_t now_ms);

#endif
