/* Metrics of an orderer, served on a separate address.  */
#ifndef WY_ORDERS_ORDER_METRICS_H
#define WY_ORDERS_ORDER_METRICS_H

#include "h1/server.h"
#include "trace/metrics.h"

struct wy_orderer_daemon;

struct wy_order_metrics
{
  struct wy_metrics *all;
  struct wy_h1_server *server;         /* NULL: not served */
  struct wy_h1_overload *overload;     /* of it */
  uint64_t *gave_way;                  /* connections to the metrics */
  struct wy_metrics_family *orders;    /* by outcome */
  struct wy_metrics_family *malformed; /* responses, by reason */
  struct wy_metrics_family *need;      /* by model */
  struct wy_metrics_family *share;     /* by model */
  struct wy_hist *load_us;
  int64_t *requested; /* newest version requested of any model */
  int64_t *loaded;    /* version of that model that the replica has loaded */
  int64_t *due;       /* 1: a load is due and not done */
  int64_t *report_age_ms;
  int64_t *generation;
  int64_t *store_calls;
  int64_t *store_direct;
  int64_t *log_dropped;
};

int wy_order_metrics_start (struct wy_orderer_daemon *d);
void wy_order_metrics_stop (struct wy_orderer_daemon *d);
void wy_order_metrics_outcome (struct wy_order_metrics *m,
                               const char *outcome);

#endif
