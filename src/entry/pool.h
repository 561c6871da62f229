/* The targets of one model or service, and the placement over them.  */
#ifndef WY_ENTRY_POOL_H
#define WY_ENTRY_POOL_H

#include "entry/state.h"

void wy_pool_free (void *pool);
struct wy_pool *wy_pool_get (struct wy_entry *e, const char *name);
struct wy_pool *wy_pool_get_or_create (struct wy_entry *e, const char *name,
                                       bool is_model);
uint32_t wy_zone_number (struct wy_entry *e, const char *zone);
void wy_pool_add_peer (struct wy_peer *p);
void wy_pool_remove_peer (struct wy_peer *p);
void wy_pool_drain_peer (struct wy_peer *p);
void wy_pool_readmit_peer (struct wy_peer *p);
void wy_pool_load_reported (struct wy_peer *p);
struct wy_peer *wy_pool_pick (struct wy_request *r);
void wy_pool_request_started (struct wy_request *r, struct wy_peer *p);
void wy_pool_request_ended (struct wy_request *r, enum wy_outcome outcome);
void wy_pool_exclude_target (struct wy_request *r);

#endif
