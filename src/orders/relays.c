/* Selection of the entries that relay this orderer's store calls.

   Each orderer reads a few entry addresses, starting at a position derived
   from its name.  If each read all of them, the number of rows read would be
   the product of entries and orderers.  If all started at the same position,
   the same few entries would relay for all orderers.  */
#include "orders/orderer_state.h"

#include <string.h>

#include "gate/members.h"
#include "platform/replica_wire.h"

enum
{
  REFRESH_MS = 5000,
  /* Further partitions are read until this many addresses are known.  */
  RELAYS_MIN = 4
};

static void read_partition (struct wy_orderer_daemon *d, const char *from);

static void
on_addresses (void *ctx, const struct wy_rows_result *r)
{
  struct wy_orderer_daemon *d = ctx;

  if (r->err)
    {
      d->reading_relays = false;
      return;
    }
  for (size_t i = 0; i < r->n && d->n_relays < WY_ORDERER_RELAYS_MAX; i++)
    d->n_relays
        += wy_member_parse_address (&r->rows[i], &d->relays[d->n_relays]);
  if (d->n_relays < RELAYS_MIN
      && ++d->relay_partitions < WY_MEMBERS_PARTITIONS)
    {
      read_partition (d, NULL);
      return;
    }
  d->reading_relays = false;
  if (d->n_relays)
    wy_rows_set_relays (d->rows, d->relays, d->n_relays);
}

static void
read_partition (struct wy_orderer_daemon *d, const char *from)
{
  char partition[WY_MEMBERS_PARTITION_SIZE_BYTES];
  struct wy_rows_range range = { .table = WY_ADDRESSES_TABLE,
                                 .partition = partition,
                                 .from = from,
                                 .limit = WY_ORDERER_RELAYS_MAX };

  wy_members_partition (d->relay_position + d->relay_partitions, partition);
  wy_rows_get (d->rows, &range, on_addresses, d);
}

/* Start a read of addresses if one is due at NOW_MS.  */
void
wy_orderer_read_relays (struct wy_orderer_daemon *d, int64_t now_ms)
{
  char from[WY_MEMBERS_KEY_SIZE_BYTES];

  if (d->reading_relays || now_ms < d->relays_due_ms)
    return;
  d->relays_due_ms = now_ms + REFRESH_MS;
  d->reading_relays = true;
  d->n_relays = 0;
  d->relay_partitions = 0;
  wy_members_key (d->relay_position, from);
  read_partition (d, from);
}

/* Use the seeds in the settings as relays until addresses have been read.  */
void
wy_orderer_init_relays (struct wy_orderer_daemon *d)
{
  const char *name = d->o.settings->name;
  struct sockaddr_in a[WY_ORDERER_RELAYS_MAX];
  size_t n = 0;

  d->relay_position = wy_hash64 (name, strlen (name), 0);
  for (guint i = 0; i < d->o.settings->seeds->len && n < WY_ORDERER_RELAYS_MAX;
       i++)
    n += wy_address_parse (g_ptr_array_index (d->o.settings->seeds, i), &a[n]);
  wy_rows_set_relays (d->rows, a, n);
}
