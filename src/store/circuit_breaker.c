/* Outage of the store.

   When the store is down, calls that wait for their timeouts hold memory and
   keep callers waiting for an answer that won't come, and on its return all
   of them are sent at once.  One notices by the store falling over again the
   moment it is back.  So an outage is a state: calls are answered at once as
   not carried out, and one probe at a time asks whether the store is back.  */
#include "store/circuit_breaker.h"

/* Failures without an answer in between that make an outage.  With half of
   all answers lost, five in a row come once in 32 calls; that is a store one
   can work with, and an outage more is cheap: the next probe ends it.  */
#define FAILURES_MAX 5
/* A store that restarts is back within a second, so the first probes are
   close together; later ones cost an entry one call every two seconds.  */
#define PROBE_MIN_MS 250
#define PROBE_MAX_MS 2000

static void
plan_probe (struct wy_outage *o, struct wy_rng *rng, int64_t now_ms)
{
  o->probing = false;
  o->wait_ms = o->wait_ms ? o->wait_ms * 2 : PROBE_MIN_MS;
  if (o->wait_ms > PROBE_MAX_MS)
    o->wait_ms = PROBE_MAX_MS;
  /* Jitter, so that the probes of many processes don't fall together.  */
  o->probe_ms = now_ms + o->wait_ms / 2 + wy_rng_below (rng, o->wait_ms);
}

/* A call, or the PROBE, brought no answer.  True when this begins an
   outage.  A call from before the outage must not plan a probe: there would
   be two.  */
bool
wy_outage_failed (struct wy_outage *o, struct wy_rng *rng, bool probe,
                  int64_t now_ms)
{
  o->failures++;
  if (o->down)
    {
      if (probe)
        plan_probe (o, rng, now_ms);
      return false;
    }
  if (o->failures < FAILURES_MAX)
    return false;
  o->down = true;
  o->wait_ms = 0;
  plan_probe (o, rng, now_ms);
  return true;
}

/* An answer came, whatever it says.  True when this ends an outage.  */
bool
wy_outage_answered (struct wy_outage *o)
{
  bool was_down = o->down;

  o->failures = 0;
  o->down = false;
  o->probing = false;
  return was_down;
}

/* Whether to send a probe now; if so it counts as sent.  */
bool
wy_outage_probe (struct wy_outage *o, int64_t now_ms)
{
  if (!o->down || o->probing || now_ms < o->probe_ms)
    return false;
  o->probing = true;
  return true;
}
