/* Faults of the platform stand-in's store and replicas: a fixed course for the
   demo, or by chance from the seed, several at once, for the soak.  */
#include "standin/platform.h"

enum
{
  /* The fixed course, from the start of the load.  */
  ENGINE_SILENT_FROM_S = 4,
  ENGINE_SILENT_TO_S = 6,
  STORE_SILENT_FROM_S = 8,
  STORE_SILENT_TO_S = 10,
  LOST_WRITES = 5,
  /* By chance: a new fault with each third look, for up to so long, or for up
     to so many calls.  */
  ONE_IN = 3,
  LAST_MIN_MS = 300,
  LAST_MAX_MS = 2500,
  CALLS_MAX = 5,
  LATE_MIN_MS = 200,
  LATE_MAX_MS = 2000,
  CUT_AFTER_MAX = 8
};

static uint32_t
between (struct wy_platform *p, uint32_t low, uint32_t high)
{
  return low + wy_rng_below (&p->standin->rng, high - low + 1);
}

static void
fixed_course (struct wy_platform *p, uint64_t age_ms)
{
  struct wy_platform_store_faults *store = wy_platform_store_faults (p->store);
  uint64_t age_s = age_ms / WY_MS_PER_S;

  wy_platform_replica_faults (p->engines[0])->silent
      = age_s >= ENGINE_SILENT_FROM_S && age_s < ENGINE_SILENT_TO_S;
  if (age_s == ENGINE_SILENT_FROM_S)
    store->lose_response = LOST_WRITES;
  store->silent = age_s >= STORE_SILENT_FROM_S && age_s < STORE_SILENT_TO_S;
  if (age_s == STORE_SILENT_TO_S)
    store->compact_history = true;
}

static void
hit_store (struct wy_platform *p, uint64_t now_ms)
{
  struct wy_platform_store_faults *f = wy_platform_store_faults (p->store);
  uint32_t n = between (p, 1, CALLS_MAX);

  switch (between (p, 0, 7))
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
      f->delay_tx_ms = between (p, LATE_MIN_MS, LATE_MAX_MS);
      break;
    case 4:
      f->silent = true;
      p->store_well_ms = now_ms + between (p, LAST_MIN_MS, LAST_MAX_MS);
      break;
    case 5:
      f->stall_feed = true;
      p->store_well_ms = now_ms + between (p, LAST_MIN_MS, LAST_MAX_MS);
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
hit_replica (struct wy_platform *p, struct wy_platform_replica *r,
             uint64_t *well_ms, uint64_t now_ms)
{
  struct wy_platform_replica_faults *f = wy_platform_replica_faults (r);
  uint32_t n = between (p, 1, CALLS_MAX);

  switch (between (p, 0, 8))
    {
    case 7:
      f->hang = 1;
      break;
    case 8:
      f->omit_stamp = 1;
      break;
    case 0:
      f->abort_streams = n;
      f->abort_after_events = between (p, 0, CUT_AFTER_MAX);
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
      *well_ms = now_ms + between (p, LAST_MIN_MS, LAST_MAX_MS);
      break;
    }
}

static void
end_due (struct wy_platform *p, uint64_t now_ms, bool all)
{
  struct wy_platform_store_faults *f = wy_platform_store_faults (p->store);

  if (all)
    *f = (struct wy_platform_store_faults){ 0 };
  else if (now_ms >= p->store_well_ms)
    {
      f->silent = false;
      f->stall_feed = false;
    }
  for (int i = 0; i < WY_PLATFORM_ENGINES; i++)
    if (all || now_ms >= p->engine_well_ms[i])
      wy_platform_replica_faults (p->engines[i])->silent = false;
  for (int i = 0; i < WY_PLATFORM_DESKS; i++)
    if (all || now_ms >= p->desk_well_ms[i])
      wy_platform_replica_faults (p->desks[i])->silent = false;
}

/* Faults at AGE_MS of the load: the fixed course, or where the time for which
   they come by chance is set, those.  */
void
wy_platform_set_faults (struct wy_platform *p, uint64_t age_ms)
{
  uint32_t k;

  if (!p->chance_ms)
    {
      fixed_course (p, age_ms);
      return;
    }
  end_due (p, age_ms, age_ms >= p->chance_ms);
  if (age_ms >= p->chance_ms || between (p, 1, ONE_IN) != 1)
    return;
  k = between (p, 0, WY_PLATFORM_ENGINES + WY_PLATFORM_DESKS + 1);
  if (k < WY_PLATFORM_ENGINES)
    hit_replica (p, p->engines[k], &p->engine_well_ms[k], age_ms);
  else if (k < WY_PLATFORM_ENGINES + WY_PLATFORM_DESKS)
    hit_replica (p, p->desks[k - WY_PLATFORM_ENGINES],
                 &p->desk_well_ms[k - WY_PLATFORM_ENGINES], age_ms);
  else
    hit_store (p, age_ms);
}
