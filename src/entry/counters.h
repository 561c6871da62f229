/* Metrics of an entry.  */
#ifndef WY_ENTRY_COUNTERS_H
#define WY_ENTRY_COUNTERS_H

#include "entry/state.h"

void wy_entry_counters_init (struct wy_entry *e);

#endif
