/* How often a yard's rows are read.

   A trainer that takes its steps within seconds waits for each look, so the
   looks are close together while rows change.  One whose steps take minutes
   loses nothing by a second, and the holder of its lease would spend the whole
   of what a node may spend on control on reading the same rows.  */
#include "yard/poll_interval.h"

enum
{
  /* Rows that have not changed for so long are read more seldom.  */
  QUIET_AFTER_MS = 10000,
  QUIET_FACTOR = 4
};

/* How long to wait before rows are read again that last changed at CHANGED_MS,
   when BASE_MS is the wait between two looks at changing ones.  */
uint32_t
wy_yard_poll_ms (uint32_t base_ms, int64_t changed_ms, int64_t now_ms)
{
  return now_ms - changed_ms > QUIET_AFTER_MS ? base_ms * QUIET_FACTOR
                                              : base_ms;
}
