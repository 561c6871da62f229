/* A ring of members, ordered by the hashes of their names, on which each
   member monitors its successors.  */
#ifndef WY_DECIDE_RING_H
#define WY_DECIDE_RING_H

#include <stddef.h>
#include <stdint.h>

#include "decide/liveness.h"

size_t wy_ring_successors (const uint64_t *positions, size_t n, uint64_t own,
                           size_t max, size_t *out);
size_t wy_ring_fan_out (size_t n, size_t max, size_t *out);
size_t wy_ring_monitored (const struct wy_liveness *liveness, size_t n,
                          size_t timely);

#endif
