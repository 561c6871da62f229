/* Which replicas load a new version of a model's weights, and when.

   Trainers announce a version every few seconds, while the one before it may
   still be used.  The weight store can serve only a few loads at a time: if
   more than about a fifth of the replicas load at once, the duration of each
   grows in proportion.  Loading every version on every replica would never
   catch up, and a replica that loads runs nothing else.  Each replica derives
   its schedule from its position in the list of replicas, so there is no
   coordinator.  */
#include "decide/weight_loading.h"

#include <glib.h>

enum
{
  /* One concurrent load per this many replicas, which the weight store can
     serve at full speed.  */
  CONCURRENT_LOADS_DIVISOR = 5,
  /* A model gets period / SPREAD_DIVISOR times its share of the replicas.
     With more, loads would queue at the weight store.  */
  SPREAD_DIVISOR = 2
};

static uint32_t
concurrent_loads (uint32_t replicas)
{
  uint32_t n
      = (replicas + CONCURRENT_LOADS_DIVISOR / 2) / CONCURRENT_LOADS_DIVISOR;

  return n ? n : 1;
}

/* The number of replicas that hold a model: its share of all replicas, or more
   if each of them loads only one version in PERIOD, so that models can use
   each other's idle slots.  */
static uint32_t
group_size (const struct wy_weight_loading_options *o, uint32_t models,
            uint32_t period)
{
  uint32_t share = (o->replicas + models - 1) / models;
  uint32_t n = (o->replicas * period / SPREAD_DIVISOR + models - 1) / models;

  if (o->counts)
    {
      share = o->counts[o->model];
      n = share * period / SPREAD_DIVISOR;
    }
  return MIN (MAX (n, share), o->replicas);
}

/* The rank of the first replica of O->model's range.  */
uint32_t
wy_weight_loading_first (const struct wy_weight_loading_options *o)
{
  uint32_t first = 0;

  if (!o->counts)
    return o->model * o->replicas / (o->models ? o->models : 1);
  for (uint32_t i = 0; i < o->model; i++)
    first += o->counts[i];
  return first;
}

/* Whether and when one replica loads a version.  If there are several models,
   the replicas are divided among them, since a load is wasted on a replica
   that gets no samples of the model.  If jobs accept weights that are LAG
   versions old, a replica is always of use if it loads one version in LAG + 1.
   With a lag of one, half of the replicas load the even versions and half the
   odd ones, and the half that doesn't load can run a step as soon as it is
   submitted.

   If the shares are unequal, boundaries move when demands change.  The version
   that a replica loads then depends on its rank instead of its place in the
   range; otherwise all replicas behind a boundary that moves by one would
   change to the other versions and none would have the one in use.  */
struct wy_weight_loading
wy_weight_loading (const struct wy_weight_loading_options *o)
{
  struct wy_weight_loading t = { 0 };
  uint32_t models = o->models ? o->models : 1;
  uint32_t period = o->lag + 1;
  uint32_t group = group_size (o, models, period);
  uint32_t own = o->counts ? o->counts[o->model] : group;
  uint32_t first = wy_weight_loading_first (o);
  uint32_t index;

  if (o->replicas == 0)
    return t;
  index = (o->rank + o->replicas - first) % o->replicas;
  if (index >= group)
    return t;
  /* With fewer replicas than PERIOD, each loads one version in that many.  */
  if (period > own)
    period = own;
  if (period == 0)
    return t;
  if ((o->counts ? o->rank : index) % period != (uint64_t)o->version % period)
    return t;
  t.loads = true;
  t.delay_ms = index / period / concurrent_loads (o->replicas) * o->load_ms;
  return t;
}
