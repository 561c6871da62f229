/* Home of a non-idempotent request: the one target that may run it.  */
#ifndef WY_ENTRY_HOME_H
#define WY_ENTRY_HOME_H

#include "entry/state.h"

const char *wy_home_of (struct wy_entry *e, const char *service,
                        const char *id, int64_t issued_ms);
const char *wy_home_previous (struct wy_entry *e, const char *service,
                              const char *id);
void wy_home_draw_id (struct wy_request *r);

#endif
