/* Division of the replicas of a service among its models by need.  */
#ifndef WY_DECIDE_REPLICA_SHARES_H
#define WY_DECIDE_REPLICA_SHARES_H

#include <stdbool.h>
#include <stdint.h>

struct wy_model_demand
{
  double slots;      /* average number of busy slots that its jobs need */
  uint32_t priority; /* 0 is the highest */
};

struct wy_replica_shares_options
{
  const struct wy_model_demand *demand; /* one per model */
  uint32_t models;
  uint32_t replicas; /* of the service that accept work */
  uint32_t slots;    /* of one replica */
  uint32_t min_replicas;
};

bool wy_replica_shares (const struct wy_replica_shares_options *o,
                        uint32_t *counts);

#endif
