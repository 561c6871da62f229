/* Requests in progress.  */
#ifndef WY_ENTRY_REQUEST_H
#define WY_ENTRY_REQUEST_H

#include "entry/state.h"

const char *wy_ran_name (enum wy_ran ran);

struct wy_request *wy_request_new (struct wy_entry *e, const char *name,
                                   struct wy_pool *pool);
void wy_request_set_key (struct wy_request *r, const char *key,
                         int64_t issued_ms);
void wy_request_open (struct wy_request *r, struct wy_sink *s);
struct wy_request *wy_request_find (struct wy_entry *e, struct wy_bytes id);
void wy_request_reset_run (struct wy_request *r);
void wy_request_detach_peer (struct wy_request *r);
void wy_request_complete (struct wy_request *r);
void wy_request_reject (struct wy_request *r, enum wy_ran ran,
                        enum wy_entry_reason reason, uint32_t retry_after_ms);
void wy_request_abandon (struct wy_request *r, struct wy_sink *s);
void wy_request_free (struct wy_request *r);

#endif
