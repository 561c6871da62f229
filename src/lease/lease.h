/* Leases in the table service, with fencing tokens.

   A lease has two rows: "lease/NAME" is written at each renewal,
   "lease/NAME/fence" only when the holder changes.  A transaction that may
   only succeed for the holder has as one of its conditions that the row
   wy_lease_token_key is at revision wy_lease_token_rev.  */
#ifndef WY_LEASE_LEASE_H
#define WY_LEASE_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

#include "base/clock.h"
#include "store/client.h"
#include "trace/trace.h"

struct wy_lease;

struct wy_lease_options
{
  uv_loop_t *loop;
  const struct wy_clock *clock;
  struct wy_trace *trace;
  struct wy_store *store;
  const char *name;   /* such as "sampler/claims-survey/levels" */
  const char *holder; /* process and incarnation */
  uint64_t seed;
  uint32_t ttl_ms; /* 0: default */
  void (*on_acquired) (void *ctx, int64_t fencing_token);
  void (*on_lost) (void *ctx);
  void *ctx;
};

struct wy_lease *wy_lease_new (const struct wy_lease_options *o);
void wy_lease_release (struct wy_lease *l);
void wy_lease_free (struct wy_lease *l);
bool wy_lease_valid (const struct wy_lease *l);
int64_t wy_lease_fencing_token (const struct wy_lease *l);
const char *wy_lease_name (const struct wy_lease *l);
const char *wy_lease_token_key (const struct wy_lease *l);
int64_t wy_lease_token_rev (const struct wy_lease *l);

#endif
