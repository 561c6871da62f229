/* Whose turn it is to load a new version of a model's weights.

   Made for trainers that name a version every few seconds while its
   predecessor may still be used.  Loading everywhere at once would leave no
   replica to run samples, and loads slow each other down; so the replicas
   take turns, a few at a time, and each knows its turn from its place in the
   list alone, with nobody to coordinate them.  */
#include "decide/load_turn.h"

enum
{
  /* At most one replica in this many loads at a time: the platform's engines
     slow down beyond about a fifth of them.  */
  LOADING_DIVISOR = 5
};

/* The turn of one replica.  Where trainers have a model each, replicas are
   dealt out between the models, since a load empties a replica's cache and is
   wasted on one that the model's samples do not reach.  The order turns round
   with each version: who was last for one is first for the next, and if that
   comes early, skips a version rather than fall behind.  */
struct wy_load_turn
wy_load_turn (const struct wy_load_turn_options *o)
{
  struct wy_load_turn t = { 0 };
  uint32_t models = o->models ? o->models : 1;
  uint32_t at_once;
  uint32_t place;
  uint32_t n;

  t.loads = o->replicas <= models || o->rank % models == o->model;
  n = (o->replicas + models - 1) / models;
  place = o->rank / models;
  if (o->version % 2 && place < n)
    place = n - 1 - place;
  at_once = (o->replicas + LOADING_DIVISOR - 1) / LOADING_DIVISOR;
  at_once = (at_once + models - 1) / models;
  t.delay_ms = place / at_once * o->load_ms;
  return t;
}
