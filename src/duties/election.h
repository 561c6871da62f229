/* Who may act on the platform: one instance at a time holds a lease in the
   store's rows, with a generation that rises whenever the holder changes.  */
#ifndef WY_DUTIES_ELECTION_H
#define WY_DUTIES_ELECTION_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

#include "base/clock.h"
#include "rows/rows.h"

struct wy_election;

struct wy_election_options
{
  uv_loop_t *loop;
  const struct wy_clock *clock;
  struct wy_rows *rows;
  const char *subject; /* names the lease */
  const char *holder;  /* this start of the instance */
  uint64_t seed;
  uint32_t ttl_ms;
  bool (*is_candidate) (void *ctx); /* whether this instance is a candidate */
  void (*on_acquired) (void *ctx);
  void (*on_lost) (void *ctx);
  void *ctx;
};

/* The lease as this instance last saw it.  */
struct wy_election_status
{
  const char *holder; /* "": not known */
  int64_t generation;
  bool held_here;
};

struct wy_election *wy_election_new (const struct wy_election_options *o);
void wy_election_free (struct wy_election *h);
bool wy_election_is_leader (const struct wy_election *h);
int64_t wy_election_remaining_ms (const struct wy_election *h);
int64_t wy_election_held_ms (const struct wy_election *h);
int64_t wy_election_generation (const struct wy_election *h);
void wy_election_resign (struct wy_election *h, uint32_t pause_ms,
                         const char *reason);
void wy_election_status (const struct wy_election *h,
                         struct wy_election_status *out);

#endif
