/* Orders the replica on the same machine to load new versions of weights.

   Replicas do not check which process an order comes from.  With one elected
   orderer for all, a former leader that was paused could send orders at the
   same time as its successor.  An orderer for each replica, on the replica's
   machine, needs no election.  */
#ifndef WY_ORDERS_ORDERER_H
#define WY_ORDERS_ORDERER_H

#include <glib.h>
#include <uv.h>

#include "base/clock.h"
#include "orders/settings.h"

struct wy_orderer_daemon;

struct wy_orderer_daemon_options
{
  uv_loop_t *loop;
  const struct wy_clock *clock;
  const struct wy_orders_settings *settings;
  GString *reason; /* gets why the orderer can't start; may be NULL */
};

int wy_orderer_daemon_new (struct wy_orderer_daemon **out,
                           const struct wy_orderer_daemon_options *o);
void wy_orderer_daemon_free (struct wy_orderer_daemon *d);

#endif
