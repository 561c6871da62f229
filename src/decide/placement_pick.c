/* Choice of a target.

   Each of several entries distributes its requests over many targets whose
   load it knows only with a delay.  Comparing a few random targets keeps the
   cost of a choice independent of their number, and keeps entries, which all
   have the same outdated reports, from sending everything to the target that
   looked best.  */
#include <stddef.h>

#include "decide/placement_state.h"

/* Random draws per target to be compared, as some can't take the request.  */
#define DRAWS_PER_SAMPLE 4
#define NO_COST UINT64_MAX
/* A rollout is long, so a bad choice costs more than comparing a few more
   targets.  */
#define ROLLOUT_SAMPLES 8
/* Callers per target while rollouts run.  Fewer would take more targets from
   the rollouts; more would leave no room for the next callers within the
   number of streams that can share a target at full speed.  */
#define CALLERS_PER_TARGET 7
/* Minimum number of targets for callers, so that the failure of one doesn't
   affect all of them.  */
#define CALLER_TARGETS_MIN 2
/* The first caller on a target that runs only rollouts pauses most of them. To
   avoid that, a caller may take longer elsewhere by 1 / PREEMPTION_DIVISOR of
   its duration.  */
#define PREEMPTION_DIVISOR 8

struct choice
{
  const struct wy_placement_request *req;
  int64_t now_ms;
  int slot;
  uint64_t cost_us;
};

static uint32_t
with_delta (uint32_t reported, int32_t delta, uint32_t own)
{
  int64_t n = (int64_t)reported + delta;

  return n > (int64_t)own ? (uint32_t)n : own;
}

/* The number of callers' requests on T: as reported, plus those that this
   entry has started since; only those of this entry if the report is stale. */
uint32_t
wy_placement_target_callers (const struct wy_placement *p,
                             const struct wy_placement_target *t,
                             int64_t now_ms)
{
  if (now_ms - t->report_ms > (int64_t)p->o.report_stale_ms)
    return t->callers;
  return with_delta (t->report.callers, t->callers_delta, t->callers);
}

/* The same for rollouts, running and waiting.  */
uint32_t
wy_placement_target_rollouts (const struct wy_placement *p,
                              const struct wy_placement_target *t,
                              int64_t now_ms)
{
  if (now_ms - t->report_ms > (int64_t)p->o.report_stale_ms)
    return t->rollouts;
  return with_delta (t->report.rollouts_running + t->report.rollouts_waiting,
                     t->rollouts_delta, t->rollouts);
}

static bool
holds_prefix (const struct wy_placement *p, uint32_t slot, uint64_t hash,
              int64_t now_ms)
{
  uint32_t holder[WY_PLACEMENT_PREFIX_WAYS];
  uint32_t n = wy_placement_prefix_holders (p, hash, now_ms, holder);

  for (uint32_t i = 0; i < n; i++)
    if (holder[i] == slot)
      return true;
  return false;
}

/* The number of streams on T with one more caller.  Rollouts are paused for
   callers until no more than shared_streams_max run.  */
static uint32_t
streams_with_caller (const struct wy_placement *p,
                     const struct wy_placement_target *t, uint32_t callers,
                     int64_t now_ms)
{
  uint32_t all = callers + 1 + wy_placement_target_rollouts (p, t, now_ms);
  uint32_t shared = p->o.shared_streams_max;

  if (all > shared)
    all = shared;
  return callers + 1 > all ? callers + 1 : all;
}

/* Expected duration of the output of a caller's request, in microseconds.  */
static double
caller_us (const struct wy_placement *p, const struct wy_placement_target *t,
           const struct choice *c)
{
  uint32_t callers = wy_placement_target_callers (p, t, c->now_ms);
  uint32_t load = streams_with_caller (p, t, callers, c->now_ms);
  double us = (p->o.token_base_us + (double)p->o.token_per_stream_us * load)
              * (c->req->predicted_tokens + 1);

  if (load > t->o.streams_max)
    us += us * (load - t->o.streams_max) / t->o.streams_max;
  if (callers == 0
      && wy_placement_target_rollouts (p, t, c->now_ms)
             > p->o.shared_streams_max)
    us += us / PREEMPTION_DIVISOR;
  return us;
}

/* The same for a rollout, which waits for streams that callers don't use.  */
static double
rollout_us (const struct wy_placement *p, const struct wy_placement_target *t,
            const struct choice *c)
{
  uint32_t callers = wy_placement_target_callers (p, t, c->now_ms);
  uint32_t limit = callers ? p->o.shared_streams_max : t->o.streams_max;
  uint32_t load = callers + 1 + wy_placement_target_rollouts (p, t, c->now_ms);
  uint32_t runs = load < limit ? load : limit;
  double us = (p->o.token_base_us + (double)p->o.token_per_stream_us * runs)
              * (c->req->predicted_tokens + 1);

  return load > limit ? us * (1 + (double)(load - limit) / limit) : us;
}

/* Expected duration of the request on the target of SLOT.  */
static uint64_t
cost_us (const struct wy_placement *p, uint32_t slot, const struct choice *c)
{
  const struct wy_placement_target *t = &p->target[slot];
  uint32_t uncached = c->req->prompt_tokens;
  double us = c->req->work_class == WY_CLASS_ROLLOUT ? rollout_us (p, t, c)
                                                     : caller_us (p, t, c);

  if (c->req->prefix_hash && c->req->prefix_tokens <= uncached
      && holds_prefix (p, slot, c->req->prefix_hash, c->now_ms))
    uncached -= c->req->prefix_tokens;
  us += (double)uncached * p->o.prefill_token_us;
  if (t->slowness > p->slowness)
    us *= t->slowness / p->slowness;
  if (t->o.az != p->o.az)
    us += p->o.az_penalty_us;
  return (uint64_t)us;
}

static bool
was_tried (const struct wy_placement_request *req, uint32_t slot)
{
  for (uint32_t i = 0; i < req->n_tried && i < WY_PLACEMENT_TRIED_MAX; i++)
    if (req->tried[i] == slot)
      return true;
  return false;
}

static bool
consider (const struct wy_placement *p, uint32_t slot, struct choice *c)
{
  const struct wy_placement_target *t = &p->target[slot];
  uint64_t cost;

  if (!t->is_candidate || was_tried (c->req, slot))
    return false;
  if (c->req->version && c->req->version != t->o.version)
    return false;
  if (!wy_placement_target_admits (p, t, c->req->work_class, c->now_ms))
    return false;
  cost = cost_us (p, slot, c);
  if (cost < c->cost_us)
    {
      c->cost_us = cost;
      c->slot = (int)slot;
    }
  return true;
}

/* Compare WANT random targets among the first N of L.  */
static void
sample (const struct wy_placement *p, const struct wy_placement_slot_list *l,
        uint32_t n, uint32_t want, struct choice *c, struct wy_rng *rng)
{
  uint32_t got = 0;

  if (n > l->n)
    n = l->n;
  if (n == 0)
    return;
  for (uint32_t i = 0; i < want * DRAWS_PER_SAMPLE && got < want; i++)
    if (consider (p, l->slot[wy_rng_below (rng, n)], c))
      got++;
}

/* The number of targets that callers are sent to, the first of the list.  An
   engine with a single caller must pause most of its rollouts; if callers were
   distributed over all engines, a few of them would take all engines from the
   trainers.  Without rollouts callers may use all targets.  */
static uint32_t
caller_targets (const struct wy_placement *p)
{
  int64_t n = p->callers / CALLERS_PER_TARGET + CALLER_TARGETS_MIN;

  if (p->rollouts <= (int64_t)p->all.n * p->o.shared_streams_max
      || n > p->all.n)
    return p->all.n;
  return (uint32_t)n;
}

/* If no random target can take the request, use the first that can, from a
   random start.  This is rare, and better than rejecting the request.  */
static void
scan_all (const struct wy_placement *p, struct choice *c, struct wy_rng *rng)
{
  uint32_t first;

  if (p->all.n == 0)
    return;
  first = wy_rng_below (rng, p->all.n);
  for (uint32_t i = 0; i < p->all.n && c->slot < 0; i++)
    consider (p, p->all.slot[(first + i) % p->all.n], c);
}

static void
sample_for_caller (const struct wy_placement *p, struct choice *c,
                   struct wy_rng *rng)
{
  uint32_t n = caller_targets (p);

  sample (p, &p->all, n, p->o.samples, c, rng);
  if (n == p->all.n)
    sample (p, &p->az[p->o.az], p->all.n, p->o.samples, c, rng);
  else
    /* Include some beyond N: all within may have become busy since their
       reports.  */
    sample (p, &p->all, 2 * n, p->o.samples, c, rng);
}

/* Choose a target for REQ.  Returns its slot, or WY_DECIDE_ENONE if no target
   can take it.  Compares a few targets of this entry's zone, as many of all
   zones, and those that have the prompt's prefix in their cache.  */
int
wy_placement_pick (struct wy_placement *p,
                   const struct wy_placement_request *req, int64_t now_ms,
                   struct wy_rng *rng)
{
  struct choice c = { req, now_ms, WY_DECIDE_ENONE, NO_COST };
  uint32_t holder[WY_PLACEMENT_PREFIX_WAYS];
  uint32_t n
      = wy_placement_prefix_holders (p, req->prefix_hash, now_ms, holder);

  for (uint32_t i = 0; i < n; i++)
    consider (p, holder[i], &c);
  if (req->work_class == WY_CLASS_ROLLOUT)
    sample (p, &p->all, p->all.n, ROLLOUT_SAMPLES, &c, rng);
  else
    sample_for_caller (p, &c, rng);
  if (c.slot < 0)
    scan_all (p, &c, rng);
  return c.slot;
}
