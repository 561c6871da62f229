/* Table of the targets known to one entry.  */
#include "decide/placement.h"

#include <stdlib.h>
#include <string.h>

#include "base/id.h"
#include "decide/placement_state.h"

#define TARGETS_MAX 4096
/* Comparing two gains most of what comparing all would.  More gain little and
   all entries would send to the same target at once.  */
#define SAMPLES 2
/* Agents report several times a second; the queue has changed since an older
   report.  */
#define REPORT_STALE_MS 2000
/* A round trip between zones takes about 2 ms; another zone must gain more
   than that, plus an allowance for the load on shared links.  */
#define AZ_PENALTY_US 4000
#define PREFILL_TOKEN_US 20
#define TOKEN_BASE_US 8000
#define TOKEN_PER_STREAM_US 250
#define EJECT_MS 2000
#define PREFIX_SLOTS 4096
#define STREAMS_MAX 64

static uint32_t
or_default (uint32_t v, uint32_t dflt)
{
  return v ? v : dflt;
}

static void
set_options (struct wy_placement *p, const struct wy_placement_options *o)
{
  p->o = *o;
  p->o.targets_max = or_default (o->targets_max, TARGETS_MAX);
  p->o.samples = or_default (o->samples, SAMPLES);
  p->o.report_stale_ms = or_default (o->report_stale_ms, REPORT_STALE_MS);
  p->o.az_penalty_us = or_default (o->az_penalty_us, AZ_PENALTY_US);
  p->o.prefill_token_us = or_default (o->prefill_token_us, PREFILL_TOKEN_US);
  p->o.token_base_us = or_default (o->token_base_us, TOKEN_BASE_US);
  p->o.token_per_stream_us
      = or_default (o->token_per_stream_us, TOKEN_PER_STREAM_US);
  p->o.shared_streams_max
      = or_default (o->shared_streams_max, WY_SHARED_STREAMS_MAX);
  p->o.eject_ms = or_default (o->eject_ms, EJECT_MS);
  p->o.prefix_slots = or_default (o->prefix_slots, PREFIX_SLOTS);
  p->slowness = 1;
}

/* A table without targets, or NULL if memory is exhausted or an option is out
   of range.  */
struct wy_placement *
wy_placement_new (const struct wy_placement_options *o)
{
  struct wy_placement *p;
  uint32_t n;

  if (o->az >= WY_PLACEMENT_AZS_MAX)
    return NULL;
  p = calloc (1, sizeof *p);
  if (!p)
    return NULL;
  set_options (p, o);
  n = p->o.targets_max;
  p->target = calloc (n, sizeof *p->target);
  p->prefix = calloc ((size_t)p->o.prefix_slots * WY_PLACEMENT_PREFIX_WAYS,
                      sizeof *p->prefix);
  p->all.slot
      = calloc ((size_t)n * (WY_PLACEMENT_AZS_MAX + 1), sizeof *p->all.slot);
  if (!p->target || !p->prefix || !p->all.slot)
    {
      wy_placement_free (p);
      return NULL;
    }
  for (uint32_t i = 0; i < WY_PLACEMENT_AZS_MAX; i++)
    p->az[i].slot = p->all.slot + (size_t)(i + 1) * n;
  return p;
}

void
wy_placement_free (struct wy_placement *p)
{
  if (!p)
    return;
  free (p->target);
  free (p->prefix);
  free (p->all.slot);
  free (p);
}

/* The first index in the list of all candidates whose rank is at least RANK.
 */
static uint32_t
rank_position (const struct wy_placement *p, uint64_t rank)
{
  uint32_t lo = 0;
  uint32_t hi = p->all.n;

  while (lo < hi)
    {
      uint32_t mid = lo + (hi - lo) / 2;

      if (p->target[p->all.slot[mid]].rank < rank)
        lo = mid + 1;
      else
        hi = mid;
    }
  return lo;
}

/* The list of candidates is sorted by a hash of their ids, so that all entries
   agree, without communication, on the targets that callers go to first.
   Insertion and removal move part of the list; both are rare.  */
static void
add_candidate (struct wy_placement *p, uint32_t slot)
{
  struct wy_placement_target *t = &p->target[slot];
  struct wy_placement_slot_list *az = &p->az[t->o.az];
  uint32_t at;

  if (t->is_candidate)
    return;
  t->is_candidate = true;
  t->rank = wy_hash64 (&t->o.id, sizeof t->o.id, 0);
  at = rank_position (p, t->rank);
  memmove (&p->all.slot[at + 1], &p->all.slot[at],
           (p->all.n - at) * sizeof p->all.slot[0]);
  p->all.slot[at] = slot;
  p->all.n++;
  t->az_index = az->n;
  az->slot[az->n++] = slot;
}

static void
remove_candidate (struct wy_placement *p, uint32_t slot)
{
  struct wy_placement_target *t = &p->target[slot];
  struct wy_placement_slot_list *az = &p->az[t->o.az];
  uint32_t at;
  uint32_t moved;

  if (!t->is_candidate)
    return;
  t->is_candidate = false;
  at = rank_position (p, t->rank);
  while (p->all.slot[at] != slot)
    at++;
  p->all.n--;
  memmove (&p->all.slot[at], &p->all.slot[at + 1],
           (p->all.n - at) * sizeof p->all.slot[0]);
  moved = az->slot[--az->n];
  az->slot[t->az_index] = moved;
  p->target[moved].az_index = t->az_index;
  p->callers -= (int64_t)t->report.callers + t->callers_delta;
  p->rollouts -= t->report.rollouts_running;
  t->report = (struct wy_load_report){ .streams_max = 0 };
  t->callers_delta = 0;
}

static struct wy_placement_target *
target_at (struct wy_placement *p, uint32_t slot)
{
  if (slot >= p->o.targets_max || !p->target[slot].used)
    return NULL;
  return &p->target[slot];
}

/* Add the target described by O.  Returns its slot or a negative error.  */
int
wy_placement_add (struct wy_placement *p, const struct wy_target_options *o)
{
  if (o->az >= WY_PLACEMENT_AZS_MAX)
    return WY_DECIDE_ERANGE;
  for (uint32_t i = 0; i < p->o.targets_max; i++)
    if (!p->target[i].used)
      {
        struct wy_placement_target *t = &p->target[i];

        *t = (struct wy_placement_target){ .o = *o,
                                           .used = true,
                                           .slowness = 1 };
        t->o.streams_max = or_default (o->streams_max, STREAMS_MAX);
        t->report_ms = INT64_MIN / 2;
        add_candidate (p, i);
        return (int)i;
      }
  return WY_DECIDE_EFULL;
}

/* Remove the target of SLOT.  */
void
wy_placement_remove (struct wy_placement *p, uint32_t slot)
{
  struct wy_placement_target *t = target_at (p, slot);

  if (!t)
    return;
  remove_candidate (p, slot);
  if (t->ejected_until_ms)
    p->ejected--;
  *t = (struct wy_placement_target){ .used = false };
}

/* The target of SLOT is draining and gets no new work.  */
void
wy_placement_drain (struct wy_placement *p, uint32_t slot)
{
  if (target_at (p, slot))
    remove_candidate (p, slot);
}

/* The target of SLOT restarted as INCARNATION: discard the state of the
   previous one.  */
void
wy_placement_restarted (struct wy_placement *p, uint32_t slot,
                        uint64_t incarnation)
{
  struct wy_placement_target *t = target_at (p, slot);
  struct wy_target_options o;

  if (!t)
    return;
  o = t->o;
  o.incarnation = incarnation;
  remove_candidate (p, slot);
  if (t->ejected_until_ms)
    p->ejected--;
  *t = (struct wy_placement_target){ .o = o, .used = true, .slowness = 1 };
  t->report_ms = INT64_MIN / 2;
  add_candidate (p, slot);
}

/* The target of SLOT serves VERSION of the weights from now on.  */
void
wy_placement_set_version (struct wy_placement *p, uint32_t slot,
                          uint64_t version)
{
  struct wy_placement_target *t = target_at (p, slot);

  if (t)
    t->o.version = version;
}

/* Compare the time per token reported by T's agent with that expected for its
   number of streams.  */
static void
record_reported_latency (struct wy_placement *p, struct wy_placement_target *t,
                         const struct wy_load_report *r, int64_t now_ms)
{
  uint32_t streams = r->callers + r->rollouts_running;

  if (r->us_per_token == 0)
    return;
  if (streams > t->o.streams_max)
    streams = t->o.streams_max;
  wy_placement_record_slowness (
      p, t,
      r->us_per_token
          / (p->o.token_base_us + (double)p->o.token_per_stream_us * streams),
      now_ms);
}

/* Record the load report R of SLOT, made AGE_MS ago.  A report older than the
   last one is ignored: they may overtake each other on different
   connections.  */
void
wy_placement_load_reported (struct wy_placement *p, uint32_t slot,
                            const struct wy_load_report *r, uint32_t age_ms,
                            int64_t now_ms)
{
  struct wy_placement_target *t = target_at (p, slot);

  if (!t || now_ms - age_ms < t->report_ms)
    return;
  if (t->is_candidate)
    {
      p->callers += (int64_t)r->callers - t->report.callers - t->callers_delta;
      p->rollouts += (int64_t)r->rollouts_running - t->report.rollouts_running;
    }
  t->report = *r;
  t->report_ms = now_ms - age_ms;
  t->callers_delta = 0;
  t->rollouts_delta = 0;
  if (r->streams_max)
    t->o.streams_max = r->streams_max;
  record_reported_latency (p, t, r, now_ms);
  if (r->closing)
    remove_candidate (p, slot);
}

/* Record that the prefix was added to or removed from the cache of SLOT.  */
void
wy_placement_cache_event (struct wy_placement *p, uint32_t slot,
                          uint64_t prefix_hash, bool present, int64_t now_ms)
{
  if (!target_at (p, slot) || prefix_hash == 0)
    return;
  if (present)
    wy_placement_prefix_add (p, prefix_hash, slot, now_ms);
  else
    wy_placement_prefix_remove (p, prefix_hash, slot);
}

/* Count REQ, which was sent to SLOT.  */
void
wy_placement_request_started (struct wy_placement *p, uint32_t slot,
                              const struct wy_placement_request *req,
                              int64_t now_ms)
{
  struct wy_placement_target *t = target_at (p, slot);

  if (!t)
    return;
  if (req->work_class == WY_CLASS_ROLLOUT)
    {
      t->rollouts++;
      t->rollouts_delta++;
    }
  else
    {
      t->callers++;
      t->callers_delta++;
      p->callers += t->is_candidate;
    }
  if (req->prefix_hash)
    wy_placement_prefix_add (p, req->prefix_hash, slot, now_ms);
}

static void
count_ended (uint32_t *n, int32_t *delta)
{
  if (*n > 0)
    --*n;
  --*delta;
}

/* Record that a request on SLOT ended with OUTCOME.  */
void
wy_placement_request_ended (struct wy_placement *p, uint32_t slot,
                            enum wy_work_class work_class,
                            enum wy_outcome outcome, int64_t now_ms)
{
  struct wy_placement_target *t = target_at (p, slot);

  if (!t)
    return;
  if (work_class == WY_CLASS_ROLLOUT)
    count_ended (&t->rollouts, &t->rollouts_delta);
  else
    {
      count_ended (&t->callers, &t->callers_delta);
      p->callers -= t->is_candidate;
    }
  wy_placement_record_outcome (p, t, outcome, now_ms);
}

/* The number of requests of this entry in flight on SLOT.  */
uint32_t
wy_placement_in_flight (const struct wy_placement *p, uint32_t slot)
{
  if (slot >= p->o.targets_max)
    return 0;
  return p->target[slot].callers + p->target[slot].rollouts;
}
