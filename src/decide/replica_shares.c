/* Division of the replicas of a service among its models by need.

   All jobs of a model run on the replicas that load its versions, so a model
   with half of the need and a quarter of the replicas is always late while
   the replicas of the others are idle.  Orderers and entries compute the same
   division from the same demands, so there is no coordinator.  */
#include "decide/replica_shares.h"

/* Equal shares stay in force while each demand fits into this fraction of its
   share; so a deployment with enough capacity never moves a replica from one
   model to another.  */
static const double equal_share_load_max = .7;

static uint32_t
equal_share (const struct wy_replica_shares_options *o, uint32_t model)
{
  return (model + 1) * o->replicas / o->models
         - model * o->replicas / o->models;
}

static bool
fits_equal_shares (const struct wy_replica_shares_options *o)
{
  for (uint32_t i = 0; i < o->models; i++)
    if (o->demand[i].slots
        > equal_share_load_max * o->slots * equal_share (o, i))
      return false;
  return true;
}

static bool
is_met (const struct wy_replica_shares_options *o, uint32_t model,
        uint32_t count)
{
  return (double)count * o->slots >= o->demand[model].slots;
}

/* Replicas that MODEL needs, at least the minimum, at most all.  */
static uint32_t
needed_replicas (const struct wy_replica_shares_options *o, uint32_t model)
{
  uint32_t n = o->min_replicas;

  while (n < o->replicas && !is_met (o, model, n))
    n++;
  return n;
}

static bool
all_fit (const struct wy_replica_shares_options *o)
{
  uint64_t n = 0;

  for (uint32_t i = 0; i < o->models; i++)
    n += needed_replicas (o, i);
  return n <= o->replicas;
}

/* Whether the next replica goes to model A rather than to B if all demands
   fit: to the one with fewer replicas per need, which maximizes the least
   headroom and meets each need.  */
static bool
has_less_headroom (const struct wy_replica_shares_options *o,
                   const uint32_t *counts, uint32_t a, uint32_t b)
{
  return counts[a] * o->demand[b].slots < counts[b] * o->demand[a].slots;
}

/* The same if they don't fit: to a model whose need is not met, by priority,
   then to the one with fewer replicas.  Small needs are so met in full, and
   the others get equal shares.  */
static bool
is_served_before (const struct wy_replica_shares_options *o,
                  const uint32_t *counts, uint32_t a, uint32_t b)
{
  bool met = is_met (o, a, counts[a]);

  if (met != is_met (o, b, counts[b]))
    return !met;
  if (o->demand[a].priority != o->demand[b].priority)
    return o->demand[a].priority < o->demand[b].priority;
  return counts[a] < counts[b];
}

/* Store in COUNTS the number of replicas of each model; they add up to
   O->replicas.  Return whether they are divided by need; if not, the shares
   are equal.  Replicas are handed out one at a time, so a small change of a
   demand moves each boundary by a replica or two.  */
bool
wy_replica_shares (const struct wy_replica_shares_options *o, uint32_t *counts)
{
  bool fit;
  uint32_t left;

  for (uint32_t i = 0; i < o->models; i++)
    counts[i] = equal_share (o, i);
  if (o->models < 2 || o->slots == 0
      || (uint64_t)o->models * o->min_replicas > o->replicas
      || fits_equal_shares (o))
    return false;
  fit = all_fit (o);
  left = o->replicas - o->models * o->min_replicas;
  for (uint32_t i = 0; i < o->models; i++)
    counts[i] = o->min_replicas;
  for (; left > 0; left--)
    {
      uint32_t next = 0;

      for (uint32_t i = 1; i < o->models; i++)
        if (fit ? has_less_headroom (o, counts, i, next)
                : is_served_before (o, counts, i, next))
          next = i;
      counts[next]++;
    }
  return true;
}
