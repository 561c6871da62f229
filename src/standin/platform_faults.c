/* Faults of the platform stand-in's store and replicas: a fixed schedule for
   the demo, or random ones drawn from the seed, several at once, for soak
   tests.  */
#include "standin/platform.h"

enum
{
  /* The fixed schedule, from the start of the load.  */
  ENGINE_SILENT_FROM_S = 4,
  ENGINE_SILENT_TO_S = 6,
  STORE_SILENT_FROM_S = 8,
  STORE_SILENT_TO_S = 10,
  LOST_RESPONSES = 5,
  /* Random faults: one in RANDOM_ONE_IN updates starts a new one, which lasts
     for a duration or a number of calls.  */
  RANDOM_ONE_IN = 3,
  DURATION_MIN_MS = 300,
  DURATION_MAX_MS = 2500,
  CALLS_MAX = 5,
  DELAY_MIN_MS = 200,
  DELAY_MAX_MS = 2000,
  ABORT_AFTER_MAX = 8
};

static uint32_t
random_between (struct wy_platform *p, uint32_t low, uint32_t high)
{
  return low + wy_rng_below (&p->standin->rng, high - low + 1);
}

static void
apply_fixed_schedule (struct wy_platform *p, uint64_t age_ms)
{
  struct wy_platform_store_faults *store = wy_platform_store_faults (p->store);
  uint64_t age_s = age_ms / WY_MS_PER_S;

  wy_platform_replica_faults (p->engines[0])->silent
      = age_s >= ENGINE_SILENT_FROM_S && age_s < ENGINE_SILENT_TO_S;
  if (age_s == ENGINE_SILENT_FROM_S)
    store->lose_response = LOST_RESPONSES;
  store->silent = age_s >= STORE_SILENT_FROM_S && age_s < STORE_SILENT_TO_S;
  if (age_s == STORE_SILENT_TO_S)
    store->compact_history = true;
}

static void
inject_store_fault (struct wy_platform *p, uint64_t now_ms)
{
  struct wy_platform_store_faults *f = wy_platform_store_faults (p->store);
  uint32_t n = random_between (p, 1, CALLS_MAX);

  switch (random_between (p, 0, 7))
    {
    case 0:
      f->respond_503 = n;
      break;
    case 1:
      f->respond_429 = n;
      break;
    case 2:
      f->lose_response = n;
      break;
    case 3:
      f->delay_tx = n;
      f->delay_tx_ms = random_between (p, DELAY_MIN_MS, DELAY_MAX_MS);
      break;
    case 4:
      f->silent = true;
      p->store_recovers_ms
          = now_ms + random_between (p, DURATION_MIN_MS, DURATION_MAX_MS);
      break;
    case 5:
      f->stall_feed = true;
      p->store_recovers_ms
          = now_ms + random_between (p, DURATION_MIN_MS, DURATION_MAX_MS);
      break;
    case 6:
      f->respond_507 = n;
      break;
    default:
      f->compact_history = true;
      break;
    }
}

static void
inject_replica_fault (struct wy_platform *p, struct wy_platform_replica *r,
                      uint64_t *recovers_ms, uint64_t now_ms)
{
  struct wy_platform_replica_faults *f = wy_platform_replica_faults (r);
  uint32_t n = random_between (p, 1, CALLS_MAX);

  switch (random_between (p, 0, 8))
    {
    case 7:
      f->hang = 1;
      break;
    case 8:
      f->omit_stamp = 1;
      f->respond_malformed = n;
      break;
    case 0:
      f->abort_streams = n;
      f->abort_after_events = random_between (p, 0, ABORT_AFTER_MAX);
      break;
    case 1:
      f->stall_streams = 1;
      break;
    case 2:
      f->respond_not_run = n;
      break;
    case 3:
      f->wrong_attempt_id = 1;
      break;
    case 4:
      f->lose_response = n;
      break;
    case 5:
      f->lose_order_response = 1;
      break;
    default:
      f->silent = true;
      *recovers_ms
          = now_ms + random_between (p, DURATION_MIN_MS, DURATION_MAX_MS);
      break;
    }
}

/* Let an engine spoil one byte of an event in some of its next streams.  Drawn
   from a generator of its own, so that the other faults of a seed stay.  */
static void
inject_spoilt_events (struct wy_platform *p)
{
  static const unsigned char bytes[] = { 0xff, 0xc0, 0x80, 0 };
  struct wy_platform_replica_faults *f;
  uint32_t engine
      = (uint32_t)wy_rng_below (&p->spoil_rng, WY_PLATFORM_ENGINES);

  if (wy_rng_below (&p->spoil_rng, RANDOM_ONE_IN) != 0)
    return;
  f = wy_platform_replica_faults (p->engines[engine]);
  f->spoil_streams = 1 + (uint32_t)wy_rng_below (&p->spoil_rng, CALLS_MAX);
  f->spoil_event
      = 1 + (uint32_t)wy_rng_below (&p->spoil_rng, WY_PLATFORM_EVENTS);
  f->spoil_byte = bytes[wy_rng_below (&p->spoil_rng, sizeof bytes)];
}

static void
end_expired (struct wy_platform *p, uint64_t now_ms, bool all)
{
  struct wy_platform_store_faults *f = wy_platform_store_faults (p->store);

  if (all)
    *f = (struct wy_platform_store_faults){ 0 };
  else if (now_ms >= p->store_recovers_ms)
    {
      f->silent = false;
      f->stall_feed = false;
    }
  for (int i = 0; i < WY_PLATFORM_ENGINES; i++)
    {
      struct wy_platform_replica_faults *engine
          = wy_platform_replica_faults (p->engines[i]);

      if (all || now_ms >= p->engine_recovers_ms[i])
        engine->silent = false;
      if (all)
        engine->spoil_streams = 0;
    }
  for (int i = 0; i < WY_PLATFORM_FAULTY_DESKS; i++)
    if (all || now_ms >= p->desk_recovers_ms[i])
      wy_platform_replica_faults (p->desks[i])->silent = false;
}

/* Set the faults for AGE_MS after the start of the load: random ones if their
   duration is set, else those of the fixed schedule.  */
void
wy_platform_update_faults (struct wy_platform *p, uint64_t age_ms)
{
  uint32_t k;

  if (!p->random_faults_ms)
    {
      apply_fixed_schedule (p, age_ms);
      return;
    }
  wy_platform_streams_update_faults (p, age_ms);
  end_expired (p, age_ms, age_ms >= p->random_faults_ms);
  if (age_ms < p->random_faults_ms)
    inject_spoilt_events (p);
  if (age_ms >= p->random_faults_ms
      || random_between (p, 1, RANDOM_ONE_IN) != 1)
    return;
  k = random_between (p, 0,
                      WY_PLATFORM_ENGINES + WY_PLATFORM_FAULTY_DESKS + 1);
  if (k < WY_PLATFORM_ENGINES)
    inject_replica_fault (p, p->engines[k], &p->engine_recovers_ms[k], age_ms);
  else if (k < WY_PLATFORM_ENGINES + WY_PLATFORM_FAULTY_DESKS)
    inject_replica_fault (p, p->desks[k - WY_PLATFORM_ENGINES],
                          &p->desk_recovers_ms[k - WY_PLATFORM_ENGINES],
                          age_ms);
  else
    inject_store_fault (p, age_ms);
}
