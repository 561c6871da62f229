/* Whether the store counts as down, and when to try it again.  */
#ifndef WY_STORE_CIRCUIT_BREAKER_H
#define WY_STORE_CIRCUIT_BREAKER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"

struct wy_outage
{
  bool down;
  bool probing;
  uint32_t failures; /* one after another */
  uint32_t wait_ms;
  int64_t probe_ms; /* when the next probe is due */
};

bool wy_outage_failed (struct wy_outage *o, struct wy_rng *rng, bool probe,
                       int64_t now_ms);
bool wy_outage_answered (struct wy_outage *o);
bool wy_outage_probe (struct wy_outage *o, int64_t now_ms);

#endif
