/* Failure detection from heartbeats in a store.  */
#ifndef WY_DECIDE_LIVENESS_H
#define WY_DECIDE_LIVENESS_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Three heartbeat intervals, to tolerate a slow or lost write.  */
  WY_LIVENESS_FAILED_MS = 1600,
  /* Longer than one heartbeat interval.  */
  WY_LIVENESS_LATE_MS = 700,
  /* A longer gap between successful reads means that the store was unreachable
     or the reader was paused.  */
  WY_LIVENESS_GAP_MS = 1100
};

/* Zero-initialized before the first read.  */
struct wy_liveness
{
  int64_t version;   /* of the heartbeat's row; 0: no row */
  int64_t read_ms;   /* time of the last successful read; 0: none */
  int64_t silent_ms; /* without a new heartbeat */
};

void wy_liveness_observe (struct wy_liveness *l, int64_t now_ms,
                          int64_t version);
bool wy_liveness_is_late (const struct wy_liveness *l);
bool wy_liveness_has_failed (const struct wy_liveness *l);

#endif
