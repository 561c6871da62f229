/* The lease of the duties.

   The decisions are those of src/lease/state.c.  They are fed with the time
   since boot, which goes on while a machine is suspended: a holder that wakes
   up must not count the time that it slept as time that it still has.

   A process that has just started is no candidate for as long as a lease
   lasts, and neither is one that has given the lease up.  So two acts of one
   instance, with another's between them, lie further apart than a lease.  */
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
  /* Spread of the candidates' looks at the row.  */
  JITTER_MS = 100,
  NAME_SIZE_BYTES = 160
};

struct wy_election
{
  struct wy_election_options o;
  struct wy_lease_state state;
  struct wy_rng rng;
  uv_timer_t tick;
  char seen_holder[NAME_SIZE_BYTES];
  int64_t seen_generation;
  int64_t sent_ms; /* the step under way */
  int64_t taking;  /* generation that is being written */
  int64_t acquired_ms;
  int64_t candidate_from_ms;
  bool told; /* on_acquired was called and on_lost was not */
  bool freed;
};

static int64_t
now_of (const struct wy_election *h)
{
  return wy_clock_boot_ms (h->o.clock);
}

static uint32_t
jitter_ms (struct wy_election *h)
{
  return (uint32_t)wy_rng_below (&h->rng, JITTER_MS);
}

static void
read_row (struct wy_election *h, const struct wy_row *row,
          struct wy_lease_row *out)
{
  json_t *doc = row ? json_loadb (row->value, row->size_bytes, 0, NULL) : NULL;
  const char *holder = json_string_value (json_object_get (doc, "holder"));

  memset (out, 0, sizeof *out);
  out->rev = row ? row->version : 0;
  out->fence_rev = out->rev;
  out->fence = json_integer_value (json_object_get (doc, "generation"));
  out->ttl_ms = (uint32_t)json_integer_value (json_object_get (doc, "ttl_ms"));
  out->released = json_is_true (json_object_get (doc, "released"));
  out->own = holder && !strcmp (holder, h->o.holder);
  g_strlcpy (h->seen_holder, holder ? holder : "", sizeof h->seen_holder);
  h->seen_generation = out->fence;
  json_decref (doc);
}

static void
on_read (void *ctx, const struct wy_rows_result *r)
{
  struct wy_election *h = ctx;
  struct wy_lease_row row;

  if (h->freed)
    return;
  if (r->err)
    {
      wy_lease_refused (&h->state, now_of (h), false, jitter_ms (h));
      return;
    }
  read_row (h, r->n ? &r->rows[0] : NULL, &row);
  wy_lease_seen (&h->state, now_of (h), &row, jitter_ms (h));
}

static void
read_lease (struct wy_election *h)
{
  struct wy_rows_range range = { .table = TABLE, .partition = h->o.subject };

  wy_lease_sent (&h->state);
  wy_rows_get (h->o.rows, &range, on_read, h);
}

static void
write_lease (struct wy_election *h, int64_t generation, bool released,
             wy_rows_cb *cb)
{
  json_t *doc = json_pack ("{s:s, s:I, s:I, s:b}", "holder", h->o.holder,
                           "generation", (json_int_t)generation, "ttl_ms",
                           (json_int_t)h->state.ttl_ms, "released", released);
  char *value = json_dumps (doc, JSON_COMPACT);
  struct wy_row_ref condition
      = { .table = TABLE, .key = row_key, .version = h->state.row.rev };
  struct wy_row_write w = { .table = TABLE,
                            .key = row_key,
                            .value = value,
                            .size_bytes = strlen (value) };
  struct wy_rows_tx tx = { .partition = h->o.subject,
                           .conditions = &condition,
                           .n_conditions = 1,
                           .writes = &w,
                           .n_writes = 1 };

  wy_rows_tx (h->o.rows, &tx, cb, h);
  free (value);
  json_decref (doc);
}

static void
on_taken (void *ctx, const struct wy_rows_result *r)
{
  struct wy_election *h = ctx;
  struct wy_lease_row row = { .rev = r->version,
                              .fence_rev = r->version,
                              .fence = h->taking,
                              .ttl_ms = h->state.ttl_ms,
                              .own = true };

  if (h->freed)
    return;
  if (r->err)
    {
      wy_lease_refused (&h->state, now_of (h), r->err == WY_ROWS_ECONFLICT,
                        jitter_ms (h));
      return;
    }
  wy_lease_taken (&h->state, h->sent_ms, now_of (h), &row);
  g_strlcpy (h->seen_holder, h->o.holder, sizeof h->seen_holder);
  h->seen_generation = h->taking;
  if (!wy_election_is_leader (h))
    return;
  h->acquired_ms = now_of (h);
  wy_json_log ("duties.acquired", "subject=%s generation=%lld version=%lld",
               h->o.subject, (long long)h->taking, (long long)r->version);
  h->told = true;
  h->o.on_acquired (h->o.ctx);
}

static void
on_renewed (void *ctx, const struct wy_rows_result *r)
{
  struct wy_election *h = ctx;

  if (h->freed)
    return;
  if (r->err)
    wy_lease_refused (&h->state, now_of (h), r->err == WY_ROWS_ECONFLICT,
                      jitter_ms (h));
  else
    wy_lease_renewed (&h->state, h->sent_ms, now_of (h), r->version);
}

static void
stop (struct wy_election *h, const char *reason)
{
  if (!h->told)
    return;
  h->told = false;
  wy_json_log ("duties.lost",
               "subject=%s generation=%lld reason=%s held_ms=%lld",
               h->o.subject, (long long)h->state.row.fence, reason,
               (long long)(now_of (h) - h->acquired_ms));
  h->o.on_lost (h->o.ctx);
}

static void
on_tick (uv_timer_t *t)
{
  struct wy_election *h = t->data;
  int64_t now_ms = now_of (h);

  if (!h->state.held
      && (now_ms < h->candidate_from_ms || !h->o.is_candidate (h->o.ctx)))
    return;
  switch (wy_lease_next (&h->state, now_ms))
    {
    case WY_LEASE_WAIT:
      break;
    case WY_LEASE_STOP:
      stop (h, "lapsed");
      break;
    case WY_LEASE_READ:
      read_lease (h);
      break;
    case WY_LEASE_TAKE:
      wy_lease_sent (&h->state);
      h->sent_ms = now_ms;
      h->taking = h->state.row.fence + 1;
      write_lease (h, h->taking, false, on_taken);
      break;
    case WY_LEASE_RENEW:
      wy_lease_sent (&h->state);
      h->sent_ms = now_ms;
      write_lease (h, h->state.row.fence, false, on_renewed);
      break;
    }
}

/* Follow the lease as O says, and hold it where nobody else does.  */
struct wy_election *
wy_election_new (const struct wy_election_options *o)
{
  struct wy_election *h = g_new0 (struct wy_election, 1);

  h->o = *o;
  wy_rng_seed (&h->rng, o->seed);
  h->candidate_from_ms = now_of (h) + o->ttl_ms;
  wy_lease_state_init (&h->state, o->ttl_ms, now_of (h));
  uv_timer_init (o->loop, &h->tick);
  h->tick.data = h;
  uv_timer_start (&h->tick, on_tick, TICK_MS, TICK_MS);
  return h;
}

/* Stop.  The memory of H stays, since a call of it may be under way.  */
void
wy_election_free (struct wy_election *h)
{
  h->freed = true;
  uv_close ((uv_handle_t *)&h->tick, NULL);
}

/* Whether this instance holds the lease now.  To be asked before each act.  */
bool
wy_election_is_leader (const struct wy_election *h)
{
  return wy_lease_holds (&h->state, now_of (h));
}

/* For how long the lease is still held if it is not renewed.  */
int64_t
wy_election_remaining_ms (const struct wy_election *h)
{
  return wy_election_is_leader (h) ? h->state.until_ms - now_of (h) : 0;
}

/* For how long the lease has been held.  */
int64_t
wy_election_held_ms (const struct wy_election *h)
{
  return wy_election_is_leader (h) ? now_of (h) - h->acquired_ms : 0;
}

/* The generation under which the lease is held.  */
int64_t
wy_election_generation (const struct wy_election *h)
{
  return h->state.row.fence;
}

static void
on_released (void *ctx, const struct wy_rows_result *r)
{
}

/* Let another instance take the lease, and be no candidate for PAUSE_MS, or
   for as long as a lease lasts.  */
void
wy_election_resign (struct wy_election *h, uint32_t pause_ms,
                    const char *reason)
{
  int64_t now_ms = now_of (h);
  bool held = wy_election_is_leader (h);

  h->candidate_from_ms = now_ms + MAX (pause_ms, h->o.ttl_ms);
  if (!held)
    return;
  h->state.until_ms = now_ms;
  wy_lease_next (&h->state, now_ms);
  stop (h, reason);
  /* With a renewal under way the row's version is not known: it lapses.  */
  if (!h->state.busy)
    write_lease (h, h->state.row.fence, true, on_released);
}

/* Tell what is known of the lease.  */
void
wy_election_status (const struct wy_election *h,
                    struct wy_election_status *out)
{
  out->holder = h->seen_holder;
  out->generation = h->seen_generation;
  out->held_here = wy_election_is_leader (h);
}
