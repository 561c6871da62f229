/* Weight rollout of one model, performed by one entry at a time.  Internal to
   this module.  */
#ifndef WY_YARD_ROLLOUT_H
#define WY_YARD_ROLLOUT_H

#include "lease/lease.h"
#include "yard/env.h"

struct wy_rollout;

struct wy_rollout_options
{
  struct wy_yard_env *env;
  const char *model;
};

struct wy_rollout *wy_rollout_new (const struct wy_rollout_options *o);
void wy_rollout_set_goal (struct wy_rollout *r, int64_t version);
bool wy_rollout_active (const struct wy_rollout *r);
void wy_rollout_stop (struct wy_rollout *r);
void wy_rollout_free (struct wy_rollout *r);

#endif
