/* What the items of each service took on this entry, kept in memory.  */
#ifndef WY_JOBS_ITEM_PACES_H
#define WY_JOBS_ITEM_PACES_H

#include "decide/item_pace.h"
#include "gate/routing.h"

struct wy_item;
struct wy_item_paces;

struct wy_item_paces *wy_item_paces_new (void);
const struct wy_item_pace *wy_item_paces_of (struct wy_item_paces *p,
                                             const char *service);
const char *wy_item_paces_service (const struct wy_route *route);
void wy_item_paces_record (struct wy_item_paces *p, const struct wy_item *i,
                           const char *service);
void wy_item_paces_record_score (struct wy_item_paces *p,
                                 const struct wy_item *i, int64_t waited_ms);

#endif
