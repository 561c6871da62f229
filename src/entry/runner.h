/* Samples of yards.  */
#ifndef WY_ENTRY_RUNNER_H
#define WY_ENTRY_RUNNER_H

#include "entry/state.h"

void wy_runner_open_pending (struct wy_entry *e);

#endif
