/* Settings of wyorderd.  */
#include "orders/settings.h"

#include "jobs/model_shares.h"

#define FIELD(f) offsetof (struct wy_orders_settings, f)

const struct wy_setting wy_orders_settings_table[] = {
  { .key = "name",
    .kind = WY_SETTING_STRING,
    .offset = FIELD (name),
    .help = "Name of this instance, the holder in its orders" },
  { .key = "target_address",
    .kind = WY_SETTING_STRING,
    .offset = FIELD (target),
    .help = "IP:PORT of the replica on this machine" },
  { .key = "service",
    .kind = WY_SETTING_STRING,
    .offset = FIELD (service),
    .help = "Service that the replica belongs to" },
  { .key = "metrics_address",
    .kind = WY_SETTING_STRING,
    .offset = FIELD (metrics),
    .default_value = "",
    .help = "IP:PORT of the metrics; empty: not served" },
  { .key = "metrics_connections",
    .kind = WY_SETTING_INTEGER,
    .offset = FIELD (metrics_connections),
    .default_value = "64",
    .min = 1,
    .max = 65536,
    .help = "Most connections to the metrics; a further one takes the place of"
            " the one that is missed least, or waits" },
  { .key = "store_address",
    .kind = WY_SETTING_STRING,
    .offset = FIELD (store),
    .help = "IP:PORT of the store of rows" },
  { .key = "seeds",
    .kind = WY_SETTING_LIST,
    .offset = FIELD (seeds),
    .help = "peers_address of some entries, used until the store has told"
            " of all" },
  { .key = "replica_shares",
    .kind = WY_SETTING_CHOICE,
    .offset = FIELD (replica_shares),
    .default_value = "equal",
    .choices = wy_replica_shares_choices,
    .help = "Replicas of each model of a service: equal ranges, or by what the"
            " models' jobs need if one lacks them; the same at entries and"
            " orderers" }
};

const size_t wy_orders_settings_count
    = G_N_ELEMENTS (wy_orders_settings_table);
