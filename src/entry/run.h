/* Response frames of a run: head, chunks and end.  */
#ifndef WY_ENTRY_RUN_H
#define WY_ENTRY_RUN_H

#include "entry/state.h"

void wy_run_frame (struct wy_peer *p, const struct wy_frame *f);

#endif
