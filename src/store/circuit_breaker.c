/* Circuit breaker for the calls to the store.

   While the store is down, calls that wait for their timeouts hold memory and
   delay their callers, and when the store is back all of them are sent at
   once and overload it again.  So the breaker opens after several failures:
   while it is open, calls fail immediately as not carried out, and only
   single probes are sent until the store responds.  */
#include "store/circuit_breaker.h"

/* Consecutive failures that open the breaker.  If half of all responses are
   lost, five in a row occur once in 32 calls; such a store is still usable,
   and an unnecessary outage ends with the next probe.  */
#define FAILURES_MAX 5
/* A store that restarts is back within a second, so the first probes follow
   each other closely; later ones cost an entry one call every two seconds.  */
#define PROBE_MIN_MS 250
#define PROBE_MAX_MS 2000

static void
schedule_probe (struct wy_circuit_breaker *b, struct wy_rng *rng,
                int64_t now_ms)
{
  b->probing = false;
  b->probe_wait_ms = b->probe_wait_ms ? b->probe_wait_ms * 2 : PROBE_MIN_MS;
  if (b->probe_wait_ms > PROBE_MAX_MS)
    b->probe_wait_ms = PROBE_MAX_MS;
  /* Jitter, so that the probes of many processes don't coincide.  */
  b->next_probe_ms
      = now_ms + b->probe_wait_ms / 2 + wy_rng_below (rng, b->probe_wait_ms);
}

/* Record a call without a response; PROBE: it was the probe.  Returns whether
   this opens the breaker.  While it is open, only the probe schedules the next
   one: calls sent before the outage would schedule further ones.  */
bool
wy_circuit_breaker_record_failure (struct wy_circuit_breaker *b,
                                   struct wy_rng *rng, bool probe,
                                   int64_t now_ms)
{
  b->n_failures++;
  if (b->is_open)
    {
      if (probe)
        schedule_probe (b, rng, now_ms);
      return false;
    }
  if (b->n_failures < FAILURES_MAX)
    return false;
  b->is_open = true;
  b->probe_wait_ms = 0;
  schedule_probe (b, rng, now_ms);
  return true;
}

/* Record a response, whatever its content.  Returns whether this closes the
   breaker.  */
bool
wy_circuit_breaker_record_response (struct wy_circuit_breaker *b)
{
  bool was_open = b->is_open;

  b->n_failures = 0;
  b->is_open = false;
  b->probing = false;
  return was_open;
}

/* Whether the caller is to send a probe now.  If so, the probe is recorded as
   sent.  */
bool
wy_circuit_breaker_probe (struct wy_circuit_breaker *b, int64_t now_ms)
{
  if (!b->is_open || b->probing || now_ms < b->next_probe_ms)
    return false;
  b->probing = true;
  return true;
}
