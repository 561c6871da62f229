/* State of the yards.  Internal to this module.  */
#ifndef WY_YARD_YARD_STATE_H
#define WY_YARD_YARD_STATE_H

#include "yard/rollout.h"
#include "yard/sampler.h"

/* One yard.  It is kept after the configuration has dropped it, because
   pending calls refer to it.  */
struct wy_one_yard
{
  struct wy_yard *owner;
  char *name;
  char *current_key;
  struct wy_scorer *scorer;
  struct wy_yard_version version;
  GHashTable *samplers; /* trainer -> struct wy_sampler */
  int64_t next_read_ms; /* of the newest version */
  bool reading;
  uint32_t bound; /* staleness, in versions */
  char *model;
  bool configured; /* in the configuration in force */
};

struct wy_yard
{
  struct wy_yard_env env; /* must be first */
  struct wy_http_client *own_http;
  uv_timer_t timer;
  GHashTable *yards;    /* name -> struct wy_one_yard */
  GHashTable *rollouts; /* model -> struct wy_rollout */
  bool stopped;
  bool closing;
  bool timer_closed;
};

void wy_yard_set_version (void *ctx, int64_t current, int64_t rev);
void wy_yard_free_sampler (gpointer p);

#endif
