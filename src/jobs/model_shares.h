/* Shares of a service's replicas that its models have, computed alike by
   orderers and entries from the published demands.  */
#ifndef WY_JOBS_MODEL_SHARES_H
#define WY_JOBS_MODEL_SHARES_H

#include "decide/replica_shares.h"
#include "gate/replica.h"
#include "gate/routing.h"
#include "rows/rows.h"

#define WY_DEMAND_TABLE "wy-demand"

/* Values of the setting replica_shares.  */
enum wy_replica_shares_mode
{
  WY_REPLICA_SHARES_EQUAL,
  WY_REPLICA_SHARES_DEMAND
};

extern const char *const wy_replica_shares_choices[];

/* A row of the table of demands: the need of a model at one service.  */
struct wy_demand_row
{
  char model[WY_REPLICA_NAME_SIZE_BYTES];
  struct wy_model_demand demand;
  uint32_t lag;       /* that its jobs allow */
  double interval_ms; /* measured between its jobs; 0: unknown */
  int64_t at_ms;      /* time of the write by the store's clock */
};

/* The known rows of a service.  */
struct wy_demand_rows
{
  struct wy_demand_row rows[WY_REPLICA_MODELS_MAX];
  uint32_t n;
};

/* Models in the order of the service's configuration.  */
struct wy_model_shares
{
  uint32_t models; /* 0: no shares are known */
  uint32_t counts[WY_REPLICA_MODELS_MAX];
  struct wy_model_demand demand[WY_REPLICA_MODELS_MAX];
  bool by_need;   /* false: equal shares */
  int64_t age_ms; /* of the newest valid demand; -1: none */
};

void wy_demand_rows_set (struct wy_demand_rows *d, const struct wy_row *row);
void wy_demand_rows_put (struct wy_demand_rows *d,
                         const struct wy_demand_row *row);
const struct wy_demand_row *
wy_demand_rows_find (const struct wy_demand_rows *d, const char *model);
char *wy_demand_row_encode (const struct wy_demand_row *row);
uint32_t wy_model_index (const struct wy_service *s, const char *model);
void wy_model_shares_compute (const struct wy_demand_rows *d,
                              const struct wy_service *s, uint32_t replicas,
                              int64_t store_now_ms,
                              struct wy_model_shares *out);
bool wy_model_shares_differ (const struct wy_model_shares *a,
                             const struct wy_model_shares *b);
char *wy_model_shares_counts (const struct wy_model_shares *s);
void wy_model_shares_log (const struct wy_model_shares *s, const char *service,
                          uint32_t replicas);

#endif
