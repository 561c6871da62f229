/* The entries that are alive, as their heartbeats in the store tell.  */
#ifndef WY_GATE_MEMBERS_H
#define WY_GATE_MEMBERS_H

#include <stdbool.h>
#include <stdint.h>

#include <netinet/in.h>

#include "gate/env.h"

/* Heartbeats lie in a part of their own for each entry: a part performs its
   transactions one after another, and the empty part is the operator's and
   the replicas'.  Addresses lie there too, but are written once a start.  */
#define WY_MEMBERS_TABLE "wy-members"
#define WY_ADDRESSES_TABLE "wy-addresses"

struct wy_members;

struct wy_members_options
{
  struct wy_gate_env *env;
  const char *address; /* "IP:PORT" where peers' store calls are taken */
  uint64_t seed;
  double cpu_share; /* of this entry, in cores */
  void (*on_change) (void *ctx);
  void *ctx;
};

/* One entry as it is believed to be.  */
struct wy_member_view
{
  const char *node;
  const char *holder;
  const char *state; /* alive, draining, leaving, gone */
  int64_t silent_ms;
};

struct wy_members *wy_members_new (const struct wy_members_options *o);
void wy_members_free (struct wy_members *m);
void wy_members_leave (struct wy_members *m);
void wy_members_tell_usage (struct wy_members *m, int64_t window);
double wy_members_busy (const struct wy_members *m, const char *service,
                        const char *availability_zone);
int64_t wy_members_epoch_ms (const struct wy_members *m);
int64_t wy_members_usage_complete (const struct wy_members *m);
uint32_t wy_members_alive (const struct wy_members *m);
bool wy_members_is_gone (struct wy_members *m, const char *holder);
void wy_members_drain (struct wy_members *m);
bool wy_members_choose (const struct wy_members *m, const char *key,
                        const char **holder, struct sockaddr_in *address);
uint32_t wy_members_rank (const struct wy_members *m, const char *key);
size_t wy_members_addresses (const struct wy_members *m,
                             struct sockaddr_in *out, size_t max);
bool wy_member_address (const struct wy_row *row, struct sockaddr_in *out);
void wy_members_each (const struct wy_members *m,
                      void (*fn) (void *ctx, const struct wy_member_view *v),
                      void *ctx);
int64_t wy_members_age_ms (const struct wy_members *m);

#endif
