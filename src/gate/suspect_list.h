/* What entries tell each other, with their heartbeats, of requests that crash
   replicas.  */
#ifndef WY_GATE_SUSPECT_LIST_H
#define WY_GATE_SUSPECT_LIST_H

#include <jansson.h>

#include "decide/crash_tracker.h"

json_t *wy_crash_rows_encode (struct wy_crash_tracker *w, int64_t now_ms);
uint32_t wy_crash_rows_learn (struct wy_crash_tracker *w, const json_t *list,
                              int64_t now_ms);

#endif
