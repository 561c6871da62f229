/* Membership: the entries that are alive.

   The directory in the store has a row for each entry, which changes when the
   entry starts, drains, leaves, fails or recovers; every entry watches it.
   Heartbeats are kept in a separate table.  Each is read by only a few other
   entries, which mark the directory row of an entry that has failed.  */
#ifndef WY_GATE_MEMBERS_H
#define WY_GATE_MEMBERS_H

#include <stdbool.h>
#include <stdint.h>

#include <netinet/in.h>

#include "gate/env.h"

#define WY_MEMBERS_TABLE "wy-members"
#define WY_HEARTBEATS_TABLE "wy-beats"
#define WY_ADDRESSES_TABLE "wy-addresses"

enum
{
  /* Partitions of the directory and of the addresses.  A partition serializes
     its transactions, a few hundred per second; a starting entry reads every
     partition of the directory.  */
  WY_MEMBERS_PARTITIONS = 8,
  WY_MEMBERS_PARTITION_SIZE_BYTES = 8,
  /* Keys of addresses and heartbeats.  */
  WY_MEMBERS_KEY_SIZE_BYTES = 17,
  /* Entries to which one sends what all are to hear.  */
  WY_MEMBERS_FAN_OUT_MAX = 16
};

struct wy_members;

struct wy_members_options
{
  struct wy_gate_env *env;
  const char *address; /* "IP:PORT" on which this entry serves peers */
  uint64_t seed;
  double cpu_share; /* of this entry, in cores */
  void (*on_change) (void *ctx);
  void *ctx;
};

/* One entry, as known here.  */
struct wy_member_view
{
  const char *node;
  const char *holder;
  const char *state; /* alive, draining, leaving, gone */
  int64_t silent_ms; /* -1: not monitored by this entry */
};

/* An entry that is alive.  */
struct wy_member_peer
{
  struct sockaddr_in address;
  bool is_self;
};

struct wy_members *wy_members_new (const struct wy_members_options *o);
void wy_members_free (struct wy_members *m);
void wy_members_set_leaving (struct wy_members *m);
void wy_members_publish_usage (struct wy_members *m, int64_t window);
void wy_members_watch_load (struct wy_members *m, bool enable);
double wy_members_busy_slots (const struct wy_members *m, const char *service,
                              const char *availability_zone);
bool wy_members_load_is_known (const struct wy_members *m);
int64_t wy_members_epoch_ms (const struct wy_members *m);
int64_t wy_members_usage_complete (const struct wy_members *m);
uint32_t wy_members_count_alive (const struct wy_members *m);
bool wy_members_holder_is_gone (struct wy_members *m, const char *holder);
void wy_members_publish_suspects (struct wy_members *m);
void wy_members_set_draining (struct wy_members *m);
bool wy_members_choose_holder (const struct wy_members *m, const char *key,
                               const char **holder,
                               struct sockaddr_in *address);
size_t wy_members_first_for (const struct wy_members *m, uint64_t key,
                             struct wy_member_peer *out, size_t max);
uint32_t wy_members_rank_for (const struct wy_members *m, uint64_t key);
bool wy_members_are_known (const struct wy_members *m);
size_t wy_members_fan_out (const struct wy_members *m, struct sockaddr_in *out,
                           bool *is_complete);
uint32_t wy_members_rank (const struct wy_members *m, const char *key);
size_t wy_members_peer_addresses (const struct wy_members *m,
                                  struct sockaddr_in *out, size_t max);
void wy_members_partition (uint64_t position,
                           char out[WY_MEMBERS_PARTITION_SIZE_BYTES]);
void wy_members_key (uint64_t position, char out[WY_MEMBERS_KEY_SIZE_BYTES]);
bool wy_member_parse_address (const struct wy_row *row,
                              struct sockaddr_in *out);
void wy_members_each (const struct wy_members *m,
                      void (*fn) (void *ctx, const struct wy_member_view *v),
                      void *ctx);
int64_t wy_members_age_ms (const struct wy_members *m);

#endif
