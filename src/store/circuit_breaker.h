/* Circuit breaker for the calls to the store.  */
#ifndef WY_STORE_CIRCUIT_BREAKER_H
#define WY_STORE_CIRCUIT_BREAKER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"

struct wy_circuit_breaker
{
  bool is_open; /* the store counts as down */
  bool probing;
  uint32_t n_failures; /* consecutive */
  uint32_t probe_wait_ms;
  int64_t next_probe_ms;
};

bool wy_circuit_breaker_record_failure (struct wy_circuit_breaker *b,
                                        struct wy_rng *rng, bool probe,
                                        int64_t now_ms);
bool wy_circuit_breaker_record_response (struct wy_circuit_breaker *b);
bool wy_circuit_breaker_probe (struct wy_circuit_breaker *b, int64_t now_ms);

#endif
