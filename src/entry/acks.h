/* Acknowledgements of delivered responses.  */
#ifndef WY_ENTRY_ACKS_H
#define WY_ENTRY_ACKS_H

#include "entry/state.h"

void wy_ack_response (struct wy_request *r);
void wy_acks_sweep (struct wy_entry *e, int64_t now_ms);
void wy_acks_flush (struct wy_entry *e, const struct wy_peer *p);

#endif
