/* Whose turn it is to load a new version of a model's weights.

   Made for trainers that name a version every few seconds while its
   predecessor may still be used.  The store of weights feeds few loads at a
   time: beyond about a fifth of the replicas each takes longer in proportion,
   so that loading every version on every replica falls behind for good, and
   a replica that loads runs nothing.  Each replica knows its turn from its
   place in the list alone, with nobody to coordinate them.  */
#include "decide/weight_loading.h"

#include <glib.h>

enum
{
  /* Loads at a time, one for this many replicas: what the engines' store of
     weights feeds at full speed.  */
  LOADING_DIVISOR = 5,
  /* Replicas of a model beyond its share, as the share times the period over
     this.  With more, loads queue at the store of weights.  */
  SPREAD_DIVISOR = 2
};

static uint32_t
at_once (uint32_t replicas)
{
  uint32_t n = (replicas + LOADING_DIVISOR / 2) / LOADING_DIVISOR;

  return n ? n : 1;
}

/* Replicas that hold a model: its share of them, and where a replica loads
   few of the versions a larger one, so that models can use each other's idle
   slots.  More than this and loads would queue at the store of weights.  */
static uint32_t
group_size (const struct wy_weight_loading_options *o, uint32_t models,
            uint32_t period)
{
  uint32_t share = (o->replicas + models - 1) / models;
  uint32_t n = (o->replicas * period / SPREAD_DIVISOR + models - 1) / models;

  return MIN (MAX (n, share), o->replicas);
}

/* The turn of one replica.  Where trainers have a model each, replicas are
   dealt out between the models, since each load is wasted on a replica that
   the model's samples do not reach.  Where jobs may lie LAG versions behind,
   a replica needs only each LAG + 1st version to be always of use; so with a
   lag of one, half of the replicas load the even versions and half the odd
   ones, and the half that does not load serves a step from the moment it is
   asked for.  */
struct wy_weight_loading
wy_weight_loading (const struct wy_weight_loading_options *o)
{
  struct wy_weight_loading t = { 0 };
  uint32_t models = o->models ? o->models : 1;
  uint32_t period = o->lag + 1;
  uint32_t group = group_size (o, models, period);
  uint32_t first = o->model * o->replicas / models;
  uint32_t place;

  if (o->replicas == 0)
    return t;
  place = (o->rank + o->replicas - first) % o->replicas;
  if (place >= group)
    return t;
  /* With fewer replicas than turns, each loads all.  */
  if (period > group)
    period = group;
  if (place % period != (uint64_t)o->version % period)
    return t;
  t.loads = true;
  t.delay_ms = place / period / at_once (o->replicas) * o->load_ms;
  return t;
}
