/* Choice of a target.

   The load is one entry's share of a stream of requests over many targets
   whose load it knows late.  Looking at a few sampled targets keeps the
   decision flat in their number and keeps entries, which all hold the same
   old reports, from sending everything to the one that looked best.  */
#include <stddef.h>

#include "decide/placement_state.h"

/* Draws per wanted sample before giving up on targets that are left out.  */
#define DRAWS_PER_SAMPLE 4
#define NO_COST UINT64_MAX
/* An engine that runs a few streams short for a whole rollout costs more than
   looking at a few more targets, once per rollout.  */
#define ROLLOUT_SAMPLES 8
/* Callers per target while rollouts run.  Fewer would take more targets from
   the rollouts, more leave no room for the next callers under the streams
   that run beside each other at full pace.  */
#define CALLERS_PACKED 7
/* Targets kept for callers however few there are, so that the loss of one
   does not meet all of them.  */
#define WIDTH_MIN 2
/* Turning a target that runs only rollouts over to callers pauses most of its
   streams; a caller may be this much slower for it, as a part of its time.  */
#define OPENING_PART 8

struct choice
{
  const struct wy_placement_request *req;
  int64_t now_ms;
  int slot;
  uint64_t cost_us;
};

static uint32_t
with_since (uint32_t reported, int32_t since, uint32_t own)
{
  int64_t n = (int64_t)reported + since;

  return n > (int64_t)own ? (uint32_t)n : own;
}

/* Callers on T: what it reported and what this entry did since; its own count
   alone once the report is stale.  */
uint32_t
wy_target_callers (const struct wy_placement *p, const struct wy_target *t,
                   int64_t now_ms)
{
  if (now_ms - t->report_ms > (int64_t)p->o.report_stale_ms)
    return t->callers;
  return with_since (t->report.callers, t->callers_since, t->callers);
}

/* The same for rollout streams, running and waiting.  */
uint32_t
wy_target_rollouts (const struct wy_placement *p, const struct wy_target *t,
                    int64_t now_ms)
{
  if (now_ms - t->report_ms > (int64_t)p->o.report_stale_ms)
    return t->rollouts;
  return with_since (t->report.rollouts_running + t->report.rollouts_waiting,
                     t->rollouts_since, t->rollouts);
}

static bool
holds (const struct wy_placement *p, uint32_t slot, uint64_t hash,
       int64_t now_ms)
{
  uint32_t holder[WY_PREFIX_WAYS];
  uint32_t n = wy_prefix_holders (p, hash, now_ms, holder);

  for (uint32_t i = 0; i < n; i++)
    if (holder[i] == slot)
      return true;
  return false;
}

/* Streams that will run beside a caller: rollouts give way to callers down
   to what both share.  */
static uint32_t
beside_caller (const struct wy_placement *p, const struct wy_target *t,
               uint32_t callers, int64_t now_ms)
{
  uint32_t all = callers + 1 + wy_target_rollouts (p, t, now_ms);
  uint32_t shared = p->o.shared_streams_max;

  if (all > shared)
    all = shared;
  return callers + 1 > all ? callers + 1 : all;
}

/* Expected time for the output of a caller's request.  */
static double
caller_us (const struct wy_placement *p, const struct wy_target *t,
           const struct choice *c)
{
  uint32_t callers = wy_target_callers (p, t, c->now_ms);
  uint32_t load = beside_caller (p, t, callers, c->now_ms);
  double us = (p->o.token_base_us + (double)p->o.token_stream_us * load)
              * (c->req->predicted_tokens + 1);

  if (load > t->o.streams_max)
    us += us * (load - t->o.streams_max) / t->o.streams_max;
  if (callers == 0
      && wy_target_rollouts (p, t, c->now_ms) > p->o.shared_streams_max)
    us += us / OPENING_PART;
  return us;
}

/* The same for a rollout, which waits for the streams that callers leave.  */
static double
rollout_us (const struct wy_placement *p, const struct wy_target *t,
            const struct choice *c)
{
  uint32_t callers = wy_target_callers (p, t, c->now_ms);
  uint32_t may = callers ? p->o.shared_streams_max : t->o.streams_max;
  uint32_t load = callers + 1 + wy_target_rollouts (p, t, c->now_ms);
  uint32_t runs = load < may ? load : may;
  double us = (p->o.token_base_us + (double)p->o.token_stream_us * runs)
              * (c->req->predicted_tokens + 1);

  return load > may ? us * (1 + (double)(load - may) / may) : us;
}

/* Expected time of the request on the target of SLOT.  */
static uint64_t
cost_us (const struct wy_placement *p, uint32_t slot, const struct choice *c)
{
  const struct wy_target *t = &p->target[slot];
  uint32_t fresh = c->req->prompt_tokens;
  double us = c->req->work_class == WY_CLASS_ROLLOUT ? rollout_us (p, t, c)
                                                     : caller_us (p, t, c);

  if (c->req->prefix_hash && c->req->prefix_tokens <= fresh
      && holds (p, slot, c->req->prefix_hash, c->now_ms))
    fresh -= c->req->prefix_tokens;
  us += (double)fresh * p->o.prefill_token_us;
  if (t->slowness > p->slowness)
    us *= t->slowness / p->slowness;
  if (t->o.az != p->o.az)
    us += p->o.az_penalty_us;
  return (uint64_t)us;
}

static bool
tried (const struct wy_placement_request *req, uint32_t slot)
{
  for (uint32_t i = 0; i < req->n_tried && i < WY_PLACEMENT_TRIED_MAX; i++)
    if (req->tried[i] == slot)
      return true;
  return false;
}

static bool
consider (const struct wy_placement *p, uint32_t slot, struct choice *c)
{
  const struct wy_target *t = &p->target[slot];
  uint64_t cost;

  if (!t->placeable || tried (c->req, slot))
    return false;
  if (c->req->version && c->req->version != t->o.version)
    return false;
  if (!wy_target_admits (p, t, c->req->work_class, c->now_ms))
    return false;
  cost = cost_us (p, slot, c);
  if (cost < c->cost_us)
    {
      c->cost_us = cost;
      c->slot = (int)slot;
    }
  return true;
}

/* Consider WANT targets drawn from the first N of L.  */
static void
sample (const struct wy_placement *p, const struct wy_slot_list *l, uint32_t n,
        uint32_t want, struct choice *c, struct wy_rng *rng)
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

/* How many targets, from the first in the common order, callers go to.  An
   engine that serves one caller must hold back most of its rollouts; spread
   thinly, a few callers would take all engines from the trainers.  Without
   rollouts there is nothing to spare and callers spread out.  */
static uint32_t
callers_width (const struct wy_placement *p)
{
  int64_t width = p->callers / CALLERS_PACKED + WIDTH_MIN;

  if (p->rollouts <= (int64_t)p->all.n * p->o.shared_streams_max
      || width > p->all.n)
    return p->all.n;
  return (uint32_t)width;
}

/* The sampled draws all met targets that are left out.  Starting at a random
   one, take the first that will do: rare, and better than refusing.  */
static void
walk (const struct wy_placement *p, struct choice *c, struct wy_rng *rng)
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
  uint32_t width = callers_width (p);

  sample (p, &p->all, width, p->o.samples, c, rng);
  if (width == p->all.n)
    sample (p, &p->az[p->o.az], p->all.n, p->o.samples, c, rng);
  else
    /* Some beyond the width: those within may all have become busy since
       they reported.  */
    sample (p, &p->all, 2 * width, p->o.samples, c, rng);
}

/* Choose a target for REQ: its slot, or WY_DECIDE_ENONE when no target may
   take it.  Looks at a few targets of this entry's zone, as many of all zones
   and those that hold the prompt's prefix.  */
int
wy_placement_pick (struct wy_placement *p,
                   const struct wy_placement_request *req, int64_t now_ms,
                   struct wy_rng *rng)
{
  struct choice c = { req, now_ms, WY_DECIDE_ENONE, NO_COST };
  uint32_t holder[WY_PREFIX_WAYS];
  uint32_t n = wy_prefix_holders (p, req->prefix_hash, now_ms, holder);

  for (uint32_t i = 0; i < n; i++)
    consider (p, holder[i], &c);
  if (req->work_class == WY_CLASS_ROLLOUT)
    sample (p, &p->all, p->all.n, ROLLOUT_SAMPLES, &c, rng);
  else
    sample_for_caller (p, &c, rng);
  if (c.slot < 0)
    walk (p, &c, rng);
  return c.slot;
}
