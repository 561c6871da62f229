/* A lease in the table service: store calls and the timer that drives the
   state machine in state.c.  */
#include "lease/rows.h"

#include <string.h>

#include <glib.h>

#include "trace/log.h"

enum
{
  /* The lease of a holder that dies is taken over after this and a margin, and
     its trainer is idle until then.  */
  TTL_MS = 6000,
  /* A renewal must be confirmed before the lease ends.  So with a slow store
     the lease is extended to 2.4 times the duration of the last write: 12 s
     when each response takes 5 s.  */
  TTL_PER_WRITE_TENTHS = 24,
  TENTHS = 10,
  TTL_MAX_MS = WY_LEASE_TTL_MAX_MS,
  /* A tick that is late by a quarter of the lease counts as a pause of the
     process.  */
  TICKS_PER_LEASE = 48,
  TICK_MIN_MS = 10,
  /* Delay after a failed call, and bound of the random part of delays.  */
  RETRY_MS = 500
};

static int64_t
now_ms (const struct wy_lease *l)
{
  return wy_clock_mono_ms (l->o.clock);
}

static void
destroy (struct wy_lease *l)
{
  if (!l->timer_closed || l->state.pending)
    return;
  g_free (l->name);
  g_free (l->holder);
  g_free (l->key);
  g_free (l->token_key);
  g_free (l);
}

static uint32_t
retry_jitter_ms (struct wy_lease *l)
{
  uint32_t spread = l->state.ttl_ms / TICKS_PER_LEASE;

  return RETRY_MS < spread ? RETRY_MS + wy_rng_below (&l->rng, RETRY_MS)
                           : spread + wy_rng_below (&l->rng, spread + 1);
}

/* Reads during one lease by a process that waits for it.  */
#define READS_PER_LEASE 3

/* Additional random delay between reads, by the polling interval that the
   store client sets for the number of pollers.  With hundreds of processes
   waiting, each may read rarely, since one early read is enough for a
   takeover.  */
static uint32_t
extra_wait_ms (struct wy_lease *l)
{
  uint32_t base = l->state.ttl_ms / READS_PER_LEASE;
  uint32_t longest = wy_store_poll_interval_ms (l->o.store, base) - base;

  return wy_rng_below (&l->rng, 2 * longest + 1);
}

static void
notify_lost (struct wy_lease *l)
{
  if (!l->notified)
    return;
  l->notified = false;
  wy_trace_event (l->o.trace, "lease.lost", "{s:s, s:I}", "lease", l->name,
                  "fence", (json_int_t)l->state.row.fencing_token);
  if (l->o.on_lost)
    l->o.on_lost (l->o.ctx);
}

static void
notify_acquired (struct wy_lease *l)
{
  json_int_t until_ms
      = wy_clock_wall_ms (l->o.clock) + l->state.until_ms - now_ms (l);

  l->notified = true;
  wy_trace_event (l->o.trace, "lease.acquired", "{s:s, s:I, s:I}", "lease",
                  l->name, "fence", (json_int_t)l->state.row.fencing_token,
                  "until_ms", until_ms);
  if (l->o.on_acquired)
    l->o.on_acquired (l->o.ctx, l->state.row.fencing_token);
}

static void
on_read (void *ctx, const struct wy_store_result *r)
{
  struct wy_lease *l = ctx;
  struct wy_lease_row seen;

  l->state.pending = false;
  if (l->closing)
    {
      destroy (l);
      return;
    }
  if (r->err)
    {
      wy_lease_on_failed (&l->state, now_ms (l), false, retry_jitter_ms (l));
      return;
    }
  wy_lease_rows_parse (l, r, &seen);
  wy_lease_on_read (&l->state, now_ms (l), &seen,
                    retry_jitter_ms (l) + extra_wait_ms (l));
}

static void
on_released (void *ctx, const struct wy_store_result *r)
{
  struct wy_lease *l = ctx;

  l->state.pending = false;
  if (l->closing)
    destroy (l);
}

/* Mark the lease row, at revision REV, as released.  */
static void
write_released (struct wy_lease *l, int64_t rev)
{
  l->state.row.rev = rev;
  l->state.pending = true;
  wy_lease_rows_write (l, false, true, on_released);
}

/* Adapt the duration of the lease to a write that took TOOK_MS.  */
static void
adapt_ttl (struct wy_lease *l, int64_t took_ms)
{
  int64_t ttl_ms = took_ms * TTL_PER_WRITE_TENTHS / TENTHS;

  if (ttl_ms > TTL_MAX_MS)
    ttl_ms = TTL_MAX_MS;
  if (ttl_ms < l->o.ttl_ms)
    ttl_ms = l->o.ttl_ms;
  wy_lease_set_ttl (&l->state, (uint32_t)ttl_ms);
}

static void
on_written (void *ctx, const struct wy_store_result *r)
{
  struct wy_lease *l = ctx;
  int64_t now = now_ms (l);
  struct wy_lease_row row = l->state.row;

  l->state.pending = false;
  if (l->closing)
    {
      destroy (l);
      return;
    }
  if (l->releasing)
    {
      l->releasing = false;
      if (!r->err)
        write_released (l, r->rev);
      return;
    }
  if (r->err)
    {
      wy_lease_on_failed (&l->state, now, r->err == WY_STORE_ECONFLICT,
                          retry_jitter_ms (l));
      return;
    }
  if (l->step == WY_LEASE_RENEW)
    {
      wy_lease_on_renewed (&l->state, l->sent_ms, now, r->rev);
      adapt_ttl (l, now - l->sent_ms);
      return;
    }
  row.rev = r->rev;
  row.token_rev = r->rev;
  row.fencing_token++;
  row.ttl_ms = l->state.ttl_ms;
  row.released = false;
  row.own = true;
  wy_lease_on_acquired (&l->state, l->sent_ms, now, &row);
  adapt_ttl (l, now - l->sent_ms);
  if (l->state.held)
    notify_acquired (l);
}

static void
on_tick (uv_timer_t *t)
{
  struct wy_lease *l = t->data;
  enum wy_lease_step step = wy_lease_next_step (&l->state, now_ms (l));

  switch (step)
    {
    case WY_LEASE_WAIT:
      return;
    case WY_LEASE_LOST:
      notify_lost (l);
      return;
    case WY_LEASE_READ:
    case WY_LEASE_ACQUIRE:
    case WY_LEASE_RENEW:
      break;
    }
  l->step = step;
  l->sent_ms = now_ms (l);
  wy_lease_on_sent (&l->state);
  if (step == WY_LEASE_READ)
    wy_lease_rows_read (l, on_read);
  else
    wy_lease_rows_write (l, step == WY_LEASE_ACQUIRE, false, on_written);
}

/* Try to acquire the lease with options O, and again whenever it is lost.  */
struct wy_lease *
wy_lease_new (const struct wy_lease_options *o)
{
  struct wy_lease *l = g_malloc0 (sizeof *l);
  uint32_t ttl_ms = o->ttl_ms ? o->ttl_ms : TTL_MS;
  uint32_t tick_ms = ttl_ms / TICKS_PER_LEASE;

  l->o = *o;
  l->o.ttl_ms = ttl_ms;
  l->name = g_strdup (o->name);
  l->holder = g_strdup (o->holder);
  l->key = g_strdup_printf ("lease/%s", o->name);
  l->token_key = g_strdup_printf ("lease/%s/fence", o->name);
  wy_rng_seed (&l->rng, o->seed);
  wy_lease_state_init (&l->state, ttl_ms, now_ms (l));
  uv_timer_init (o->loop, &l->timer);
  l->timer.data = l;
  uv_timer_start (&l->timer, on_tick, 0,
                  tick_ms > TICK_MIN_MS ? tick_ms : TICK_MIN_MS);
  return l;
}

/* Release the lease, so that others need not wait for its end, and don't
   acquire it again.  on_lost is not called.  All work under the lease must
   have ended.  */
void
wy_lease_release (struct wy_lease *l)
{
  bool held = wy_lease_holds (&l->state, now_ms (l));

  uv_timer_stop (&l->timer);
  l->state.held = false;
  if (!l->notified)
    return;
  l->notified = false;
  wy_trace_event (l->o.trace, "lease.released", "{s:s, s:I}", "lease", l->name,
                  "fence", (json_int_t)l->state.row.fencing_token);
  l->releasing = held && l->state.pending;
  if (held && !l->state.pending)
    write_released (l, l->state.row.rev);
}

static void
on_timer_closed (uv_handle_t *h)
{
  struct wy_lease *l = h->data;

  l->timer_closed = true;
  destroy (l);
}

/* Free L.  No callback is called after this.  The memory is freed after the
   last response, so call this before the store is freed.  */
void
wy_lease_free (struct wy_lease *l)
{
  if (!l)
    return;
  l->closing = true;
  l->notified = false;
  uv_close ((uv_handle_t *)&l->timer, on_timer_closed);
}

/* Whether the lease is held now.  Check before each side effect: after a pause
   of the process, on_lost comes later than this turns false.  */
bool
wy_lease_valid (const struct wy_lease *l)
{
  return l->notified && wy_lease_holds (&l->state, now_ms (l));
}

/* Fencing token of the lease, last read or written.  */
int64_t
wy_lease_fencing_token (const struct wy_lease *l)
{
  return l->state.row.fencing_token;
}

/* Name of the lease, as in its options.  */
const char *
wy_lease_name (const struct wy_lease *l)
{
  return l->name;
}

/* Key of the row that changes only when the holder changes.  */
const char *
wy_lease_token_key (const struct wy_lease *l)
{
  return l->token_key;
}

/* Revision of that row while the lease is held.  */
int64_t
wy_lease_token_rev (const struct wy_lease *l)
{
  return l->state.row.token_rev;
}
