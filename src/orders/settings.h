/* Settings of wyorderd.  */
#ifndef WY_ORDERS_SETTINGS_H
#define WY_ORDERS_SETTINGS_H

#include "config/settings.h"

struct wy_orders_settings
{
  char *name;
  char *target;  /* IP:PORT of the replica on this machine */
  char *service; /* that the replica belongs to */
  char *store;
  int64_t metrics_connections;
  char *metrics;
  GPtrArray *seeds;
  int64_t replica_shares; /* enum wy_replica_shares_mode */
};

extern const struct wy_setting wy_orders_settings_table[];
extern const size_t wy_orders_settings_count;

#endif
