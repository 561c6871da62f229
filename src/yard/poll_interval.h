/* Polling interval of a yard's rows.  */
#ifndef WY_YARD_POLL_INTERVAL_H
#define WY_YARD_POLL_INTERVAL_H

#include <stdint.h>

uint32_t wy_yard_poll_interval_ms (uint32_t base_ms, int64_t changed_ms,
                                   int64_t now_ms);

#endif
