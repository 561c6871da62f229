/* How fast the targets generate.  */
#ifndef WY_ENTRY_TOKEN_LATENCY_H
#define WY_ENTRY_TOKEN_LATENCY_H

#include "entry/state.h"

void wy_pace_begin (struct wy_request *r);
void wy_pace_chunk (struct wy_request *r, const char *p, size_t n);

#endif
