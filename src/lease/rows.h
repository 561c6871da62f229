/* The two rows of a lease, and the lease itself.  Internal to src/lease.  */
#ifndef WY_LEASE_ROWS_H
#define WY_LEASE_ROWS_H

#include <glib.h>

#include "base/id.h"
#include "base/rng.h"
#include "lease/lease.h"
#include "lease/state.h"

#define WY_LEASE_TTL_MAX_MS 20000

struct wy_lease
{
  struct wy_lease_options o;
  struct wy_lease_state state;
  struct wy_rng rng;
  uv_timer_t timer;
  char *name;
  char *holder;
  char *key;
  char *token_key;
  char op[WY_ID_SIZE_BYTES];
  int64_t sent_ms;
  enum wy_lease_step step;
  bool notified;  /* on_acquired was called, on_lost not yet */
  bool releasing; /* to be released after the pending response */
  bool closing;
  bool timer_closed;
};

void wy_lease_rows_parse (const struct wy_lease *l,
                          const struct wy_store_result *r,
                          struct wy_lease_row *out);
void wy_lease_rows_write (struct wy_lease *l, bool acquire, bool released,
                          void (*on_done) (void *ctx,
                                           const struct wy_store_result *r));
void wy_lease_rows_read (struct wy_lease *l,
                         void (*on_done) (void *ctx,
                                          const struct wy_store_result *r));

#endif
