/* Demands of the models whose jobs run on this entry: measured here, published
   in the store, and read there to know the replicas of each model.  */
#ifndef WY_JOBS_DEMAND_H
#define WY_JOBS_DEMAND_H

#include "gate/env.h"
#include "jobs/active_job.h"
#include "jobs/model_shares.h"

struct wy_demand;

/* One model of a service, for metrics.  */
struct wy_demand_view
{
  const char *service;
  const char *model;
  double need;       /* slots, as published; 0: none */
  uint32_t replicas; /* its share */
};

struct wy_demand *wy_demand_new (struct wy_gate_env *env, uint64_t seed);
void wy_demand_free (struct wy_demand *d);
void wy_demand_job_started (struct wy_demand *d, const struct wy_active_job *o,
                            uint32_t priority);
void wy_demand_item_ended (struct wy_demand *d, const char *service,
                           const struct wy_item *i);
const struct wy_target_range *wy_demand_range (const struct wy_demand *d,
                                               const char *service,
                                               const char *model);
void wy_demand_update_shares (struct wy_demand *d);
void wy_demand_each (const struct wy_demand *d,
                     void (*fn) (void *ctx, const struct wy_demand_view *v),
                     void *ctx);

#endif
