/* Internals of the orderer, shared by the files of src/orders.  */
#ifndef WY_ORDERS_ORDERER_STATE_H
#define WY_ORDERS_ORDERER_STATE_H

#include "base/id.h"
#include "gate/replica.h"
#include "gate/routing.h"
#include "h1/client.h"
#include "jobs/model_shares.h"
#include "orders/order_metrics.h"
#include "orders/orderer.h"
#include "platform/config_wire.h"
#include "rows/watch.h"

enum
{
  WY_ORDERER_NAME_SIZE_BYTES = 128,
  WY_ORDERER_RELAYS_MAX = 16
};

struct wy_orderer_version
{
  struct wy_requested_version v;
  int64_t seen_ms; /* when this orderer first saw it */
  int64_t due_ms;  /* when to load it; 0: not scheduled yet */
  bool selected;   /* this replica is to load it */
  bool single;
};

/* State of a paged read of the replica list.  */
struct wy_replica_list
{
  char *next_key; /* start of the next page; NULL: first page */
  uint32_t rank;
  uint32_t replicas;
  bool found;      /* this orderer's replica is listed */
  uint32_t misses; /* consecutive reads without it */
};

struct wy_orderer_daemon
{
  struct wy_orderer_daemon_options o;
  char incarnation[WY_ID_SIZE_BYTES];
  struct wy_order_metrics metrics;
  struct sockaddr_in target;
  struct wy_h1_client *http;
  struct wy_rows *rows;
  struct wy_watch *operator_rows;
  struct wy_routing *routing;
  GArray *seeds;
  uv_timer_t tick;
  struct wy_orderer_version versions[WY_REPLICA_MODELS_MAX];
  uint32_t n_versions;
  char id[WY_ORDERER_NAME_SIZE_BYTES]; /* of the replica; "": unknown */
  struct wy_replica_report report;
  int64_t reported_ms; /* 0: never */
  int64_t report_due_ms;
  int64_t generation; /* 0: none yet; negative: being written */
  bool generation_pending;
  bool list_pending;
  struct wy_replica_list list;
  int64_t rank_read_ms; /* 0: never */
  uint32_t rank;        /* of the replica in its service, by address */
  uint32_t replicas;
  int64_t list_due_ms;
  /* Demands of the service's models as last read; unused if the setting
     replica_shares is "equal".  */
  struct wy_demand_rows demands;
  int64_t demands_read_ms;  /* 0: never */
  int64_t demands_store_ms; /* the store's clock at that read */
  struct wy_model_shares shares;
  /* Whose allowed staleness is being read.  */
  char staleness_model[WY_ORDERER_NAME_SIZE_BYTES];
  int64_t staleness_version;
  struct sockaddr_in relays[WY_ORDERER_RELAYS_MAX]; /* addresses read so far */
  size_t n_relays;
  uint64_t relay_position;   /* hash at which reads of addresses start */
  uint32_t relay_partitions; /* partitions read so far */
  bool reading_relays;
  int64_t relays_due_ms;
  struct wy_h1_call *call; /* to the replica, one at a time */
  bool call_is_order;
  int64_t call_deadline_ms;
  int call_status;
  GString *response;
  struct wy_orderer_version *ordered; /* the load in progress, or NULL */
  int64_t ordered_version;
  int64_t ordered_ms;
  int64_t order_due_ms;
  uint32_t loads_interrupted; /* by restarts of the replica, in a row */
  double load_ms;             /* smoothed duration of a load */
};

int64_t wy_orderer_now_ms (const struct wy_orderer_daemon *d);
void wy_orderer_address_failed (const struct wy_orderer_daemon *d,
                                const char *setting, const char *address,
                                int err);
int64_t wy_orderer_loaded_version (const struct wy_orderer_daemon *d,
                                   const char *model);
void wy_orderer_init_relays (struct wy_orderer_daemon *d);
void wy_orderer_read_relays (struct wy_orderer_daemon *d, int64_t now_ms);
void wy_orderer_on_operator_row (void *ctx, const struct wy_row *row);
void wy_orderer_read_list (struct wy_orderer_daemon *d);
bool wy_orderer_wants_single_version (const struct wy_orderer_daemon *d);

#endif
