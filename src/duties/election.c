/* Leader election by a lease in the store.

   The state machine is src/lease/state.c.  Its clock is the time since boot,
   which includes time spent suspended: a leader that resumes must not
   consider its lease still valid.

   A process that has just started, or has resigned, is no candidate for the
   duration of one lease.  So if another instance acts as leader between two
   calls of this one, the two calls are more than a lease apart.  */
#include "duties/election.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "base/rng.h"
#include "lease/state.h"
#include "trace/json_log.h"

#define TABLE "wy-duties"

static const char row_key[] = "lease";

enum
{
  TICK_MS = 100,
  /* Bound of the random delay added to the time of the next read.  */
  JITTER_MS = 100,
  NAME_SIZE_BYTES = 160
};

struct wy_election
{
  struct wy_election_options o;
  struct wy_lease_state state;
  struct wy_rng rng;
  uv_timer_t tick;
  char observed_holder[NAME_SIZE_BYTES];
  int64_t observed_generation;
  int64_t sent_ms;        /* when the step in progress was sent */
  int64_t new_generation; /* in the write in progress */
  int64_t acquired_ms;
  int64_t candidate_from_ms;
  bool notified; /* on_acquired was called, on_lost not yet */
  bool freed;
};

static int64_t
boot_now_ms (const struct wy_election *e)
{
  return wy_clock_boot_ms (e->o.clock);
}

static uint32_t
jitter_ms (struct wy_election *e)
{
  return (uint32_t)wy_rng_below (&e->rng, JITTER_MS);
}

static void
parse_row (struct wy_election *e, const struct wy_row *row,
           struct wy_lease_row *out)
{
  json_t *doc = row ? json_loadb (row->value, row->size_bytes, 0, NULL) : NULL;
  const char *holder = json_string_value (json_object_get (doc, "holder"));

  memset (out, 0, sizeof *out);
  out->rev = row ? row->version : 0;
  out->token_rev = out->rev;
  out->fencing_token
      = json_integer_value (json_object_get (doc, "generation"));
  out->ttl_ms = (uint32_t)json_integer_value (json_object_get (doc, "ttl_ms"));
  out->released = json_is_true (json_object_get (doc, "released"));
  out->own = holder && !strcmp (holder, e->o.holder);
  g_strlcpy (e->observed_holder, holder ? holder : "",
             sizeof e->observed_holder);
  e->observed_generation = out->fencing_token;
  json_decref (doc);
}

static void
on_lease_read (void *ctx, const struct wy_rows_result *r)
{
  struct wy_election *e = ctx;
  struct wy_lease_row row;

  if (e->freed)
    return;
  if (r->err)
    {
      wy_lease_on_failed (&e->state, boot_now_ms (e), false, jitter_ms (e));
      return;
    }
  parse_row (e, r->n ? &r->rows[0] : NULL, &row);
  wy_lease_on_read (&e->state, boot_now_ms (e), &row, jitter_ms (e));
}

static void
read_lease (struct wy_election *e)
{
  struct wy_rows_range range = { .table = TABLE, .partition = e->o.subject };

  wy_lease_on_sent (&e->state);
  wy_rows_get (e->o.rows, &range, on_lease_read, e);
}

static void
write_lease (struct wy_election *e, int64_t generation, bool released,
             wy_rows_cb *cb)
{
  json_t *doc = json_pack ("{s:s, s:I, s:I, s:b}", "holder", e->o.holder,
                           "generation", (json_int_t)generation, "ttl_ms",
                           (json_int_t)e->state.ttl_ms, "released", released);
  char *value = json_dumps (doc, JSON_COMPACT);
  struct wy_row_ref condition
      = { .table = TABLE, .key = row_key, .version = e->state.row.rev };
  struct wy_row_write w = { .table = TABLE,
                            .key = row_key,
                            .value = value,
                            .size_bytes = strlen (value) };
  struct wy_rows_tx tx = { .partition = e->o.subject,
                           .conditions = &condition,
                           .n_conditions = 1,
                           .writes = &w,
                           .n_writes = 1 };

  wy_rows_tx (e->o.rows, &tx, cb, e);
  free (value);
  json_decref (doc);
}

static void
on_acquire_written (void *ctx, const struct wy_rows_result *r)
{
  struct wy_election *e = ctx;
  struct wy_lease_row row = { .rev = r->version,
                              .token_rev = r->version,
                              .fencing_token = e->new_generation,
                              .ttl_ms = e->state.ttl_ms,
                              .own = true };

  if (e->freed)
    return;
  if (r->err)
    {
      wy_lease_on_failed (&e->state, boot_now_ms (e),
                          r->err == WY_ROWS_ECONFLICT, jitter_ms (e));
      return;
    }
  wy_lease_on_acquired (&e->state, e->sent_ms, boot_now_ms (e), &row);
  g_strlcpy (e->observed_holder, e->o.holder, sizeof e->observed_holder);
  e->observed_generation = e->new_generation;
  if (!wy_election_is_leader (e))
    return;
  e->acquired_ms = boot_now_ms (e);
  wy_json_log ("duties.acquired", "subject=%s generation=%lld version=%lld",
               e->o.subject, (long long)e->new_generation,
               (long long)r->version);
  e->notified = true;
  e->o.on_acquired (e->o.ctx);
}

static void
on_renew_written (void *ctx, const struct wy_rows_result *r)
{
  struct wy_election *e = ctx;

  if (e->freed)
    return;
  if (r->err)
    wy_lease_on_failed (&e->state, boot_now_ms (e),
                        r->err == WY_ROWS_ECONFLICT, jitter_ms (e));
  else
    wy_lease_on_renewed (&e->state, e->sent_ms, boot_now_ms (e), r->version);
}

static void
notify_lost (struct wy_election *e, const char *reason)
{
  if (!e->notified)
    return;
  e->notified = false;
  wy_json_log ("duties.lost",
               "subject=%s generation=%lld reason=%s held_ms=%lld",
               e->o.subject, (long long)e->state.row.fencing_token, reason,
               (long long)(boot_now_ms (e) - e->acquired_ms));
  e->o.on_lost (e->o.ctx);
}

static void
on_tick (uv_timer_t *t)
{
  struct wy_election *e = t->data;
  int64_t now_ms = boot_now_ms (e);

  if (!e->state.held
      && (now_ms < e->candidate_from_ms || !e->o.is_candidate (e->o.ctx)))
    return;
  switch (wy_lease_next_step (&e->state, now_ms))
    {
    case WY_LEASE_WAIT:
      break;
    case WY_LEASE_LOST:
      notify_lost (e, "lapsed");
      break;
    case WY_LEASE_READ:
      read_lease (e);
      break;
    case WY_LEASE_ACQUIRE:
      wy_lease_on_sent (&e->state);
      e->sent_ms = now_ms;
      e->new_generation = e->state.row.fencing_token + 1;
      write_lease (e, e->new_generation, false, on_acquire_written);
      break;
    case WY_LEASE_RENEW:
      wy_lease_on_sent (&e->state);
      e->sent_ms = now_ms;
      write_lease (e, e->state.row.fencing_token, false, on_renew_written);
      break;
    }
}

/* Take part in the election with options O.  */
struct wy_election *
wy_election_new (const struct wy_election_options *o)
{
  struct wy_election *e = g_new0 (struct wy_election, 1);

  e->o = *o;
  wy_rng_seed (&e->rng, o->seed);
  e->candidate_from_ms = boot_now_ms (e) + o->ttl_ms;
  wy_lease_state_init (&e->state, o->ttl_ms, boot_now_ms (e));
  uv_timer_init (o->loop, &e->tick);
  e->tick.data = e;
  uv_timer_start (&e->tick, on_tick, TICK_MS, TICK_MS);
  return e;
}

/* Stop.  E itself is not freed, since a store call may be in progress.  */
void
wy_election_free (struct wy_election *e)
{
  e->freed = true;
  uv_close ((uv_handle_t *)&e->tick, NULL);
}

/* Whether this instance is the leader now.  Check before each duty call.  */
bool
wy_election_is_leader (const struct wy_election *e)
{
  return wy_lease_holds (&e->state, boot_now_ms (e));
}

/* Remaining time of the lease if it is not renewed; 0: not held.  */
int64_t
wy_election_remaining_ms (const struct wy_election *e)
{
  return wy_election_is_leader (e) ? e->state.until_ms - boot_now_ms (e) : 0;
}

/* Time since the lease was acquired; 0: not held.  */
int64_t
wy_election_held_ms (const struct wy_election *e)
{
  return wy_election_is_leader (e) ? boot_now_ms (e) - e->acquired_ms : 0;
}

/* Generation of the lease, last read or written.  */
int64_t
wy_election_generation (const struct wy_election *e)
{
  return e->state.row.fencing_token;
}

static void
on_released (void *ctx, const struct wy_rows_result *r)
{
}

/* Release the lease, if held, and be no candidate for PAUSE_MS or the duration
   of one lease, whichever is longer.  REASON is for the log.  */
void
wy_election_resign (struct wy_election *e, uint32_t pause_ms,
                    const char *reason)
{
  int64_t now_ms = boot_now_ms (e);
  bool held = wy_election_is_leader (e);

  e->candidate_from_ms = now_ms + MAX (pause_ms, e->o.ttl_ms);
  if (!held)
    return;
  e->state.until_ms = now_ms;
  wy_lease_next_step (&e->state, now_ms);
  notify_lost (e, reason);
  /* While a renewal is in progress the row's version is unknown, so the row
     can't be written and the lease expires instead.  */
  if (!e->state.pending)
    write_lease (e, e->state.row.fencing_token, true, on_released);
}

/* Store the last known state of the lease in OUT.  */
void
wy_election_status (const struct wy_election *e,
                    struct wy_election_status *out)
{
  out->holder = e->observed_holder;
  out->generation = e->observed_generation;
  out->held_here = wy_election_is_leader (e);
}
