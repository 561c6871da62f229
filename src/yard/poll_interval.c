/* Polling interval of a yard's rows.

   A trainer whose steps take seconds waits for each poll, so the interval is
   short while rows change.  A trainer whose steps take minutes is not delayed
   noticeably by a second; polling its unchanged rows at the short interval
   would use up all the traffic that a node may spend on control.  */
#include "yard/poll_interval.h"

enum
{
  /* Rows that have not changed for this long are polled less often.  */
  IDLE_AFTER_MS = 10000,
  IDLE_FACTOR = 4
};

/* The polling interval of rows that last changed at CHANGED_MS; BASE_MS: the
   interval while rows change.  */
uint32_t
wy_yard_poll_interval_ms (uint32_t base_ms, int64_t changed_ms, int64_t now_ms)
{
  return now_ms - changed_ms > IDLE_AFTER_MS ? base_ms * IDLE_FACTOR : base_ms;
}
