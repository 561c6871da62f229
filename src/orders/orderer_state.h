/* Inside of src/orders: one orderer.  */
#ifndef WY_ORDERS_ORDERER_STATE_H
#define WY_ORDERS_ORDERER_STATE_H

#include "base/id.h"
#include "gate/replica.h"
#include "gate/routing.h"
#include "h1/client.h"
#include "orders/order_metrics.h"
#include "orders/orderer.h"
#include "platform/config_wire.h"
#include "rows/watch.h"

enum
{
  WY_ORDERER_NAME_SIZE_BYTES = 128,
  WY_ORDERER_RELAYS_MAX = 16
};

struct wy_named
{
  struct wy_requested_version v;
  int64_t seen_ms; /* when it was learned here */
  int64_t due_ms;  /* 0: the list must be read for it first */
  bool loads;      /* this replica is to load it */
  bool single;
};

/* State of a paged read of the list of replicas.  */
struct wy_replica_list
{
  char *next_key; /* start of the next page; NULL: first page */
  uint32_t rank;
  uint32_t replicas;
  bool found;      /* own replica is listed */
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
  struct wy_named named[WY_REPLICA_MODELS_MAX];
  uint32_t n_named;
  char id[WY_ORDERER_NAME_SIZE_BYTES]; /* of the replica; "": not known */
  struct wy_replica_report report;
  int64_t reported_ms; /* 0: never */
  int64_t report_due_ms;
  int64_t generation; /* 0: not drawn yet */
  bool drawing;
  bool listing;
  struct wy_replica_list list;
  int64_t rank_read_ms; /* when rank and replicas were read; 0: never */
  uint32_t rank;        /* of the replica among those of its service */
  uint32_t replicas;
  int64_t list_due_ms;
  char lag_model[WY_ORDERER_NAME_SIZE_BYTES]; /* whose lag is being read */
  int64_t lag_version;
  struct sockaddr_in relays[WY_ORDERER_RELAYS_MAX]; /* read so far */
  size_t n_relays;
  uint64_t relay_position; /* where reads of addresses start */
  uint32_t relay_parts;    /* parts completed by the current read */
  bool reading_relays;
  int64_t relays_due_ms;
  struct wy_h1_call *call; /* to the replica, one at a time */
  bool call_is_order;
  int64_t call_deadline_ms;
  int call_status;
  GString *answer;
  struct wy_named *ordered; /* the load under way, or NULL */
  int64_t ordered_version;
  int64_t ordered_ms;
  int64_t order_due_ms;
  double load_ms;
};

int64_t wy_orderer_now_ms (const struct wy_orderer_daemon *d);
int64_t wy_orderer_held_version (const struct wy_orderer_daemon *d,
                                 const char *model);
void wy_orderer_init_relays (struct wy_orderer_daemon *d);
void wy_orderer_read_relays (struct wy_orderer_daemon *d, int64_t now_ms);
void wy_orderer_on_operator_row (void *ctx, const struct wy_row *row);
void wy_orderer_read_list (struct wy_orderer_daemon *d);
bool wy_orderer_wants_single_version (const struct wy_orderer_daemon *d);

#endif
