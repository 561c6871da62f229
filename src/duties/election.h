/* Leader election among the entries.

   Only the leader performs the duties: usage reports and scaling.  The leader
   holds a lease in a row of the store, whose generation increases whenever
   the holder changes and serves as the fencing token of its calls.  */
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
  const char *subject; /* name of the lease: partition of its row */
  const char *holder;  /* identifies one start of the instance */
  uint64_t seed;
  uint32_t ttl_ms;
  /* Asked before each step while not leader.  */
  bool (*is_candidate) (void *ctx);
  void (*on_acquired) (void *ctx);
  void (*on_lost) (void *ctx);
  void *ctx;
};

/* The lease as this instance last read or wrote it.  */
struct wy_election_status
{
  const char *holder; /* "": unknown */
  int64_t generation;
  bool held_here;
};

struct wy_election *wy_election_new (const struct wy_election_options *o);
void wy_election_free (struct wy_election *e);
bool wy_election_is_leader (const struct wy_election *e);
int64_t wy_election_remaining_ms (const struct wy_election *e);
int64_t wy_election_held_ms (const struct wy_election *e);
int64_t wy_election_generation (const struct wy_election *e);
void wy_election_resign (struct wy_election *e, uint32_t pause_ms,
                         const char *reason);
void wy_election_status (const struct wy_election *e,
                         struct wy_election_status *out);

#endif
