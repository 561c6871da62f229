/* A lease in the table service: the rows, the calls and the timer around
   the state in state.c.  */
#include "lease/rows.h"

#include <string.h>

#include <glib.h>

#include "trace/log.h"

enum
{
  /* A holder that dies is waited for this long and a little more, while its
     trainer idles.  */
  TTL_MS = 6000,
  /* A renewal must be answered before the one before it ends, so with a slow
     store the lease is made longer: 2.4 times what the last write took, 12 s
     when each answer takes 5 s.  */
  SLOW_TENTHS = 24,
  TENTHS = 10,
  TTL_MAX_MS = WY_LEASE_TTL_MAX_MS,
  /* Looks at the clock in one lease; a tick that is late by a quarter of the
     lease counts as a pause.  */
  TICKS_PER_LEASE = 48,
  TICK_MIN_MS = 10,
  /* Wait after a failed call, and the spread of reads of those who wait.  */
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
  if (!l->timer_closed || l->state.busy)
    return;
  g_free (l->name);
  g_free (l->holder);
  g_free (l->key);
  g_free (l->fence_key);
  g_free (l);
}

static uint32_t
jitter (struct wy_lease *l)
{
  uint32_t spread = l->state.ttl_ms / TICKS_PER_LEASE;

  return RETRY_MS < spread ? RETRY_MS + wy_rng_below (&l->rng, RETRY_MS)
                           : spread + wy_rng_below (&l->rng, spread + 1);
}

/* A lease is looked at this often in its time by one that waits for it.  */
#define LOOKS_PER_LEASE 3

/* Where hundreds wait for a lease, each may look seldom: that one of them
   looks soon is enough to have it taken over.  */
static uint32_t
patience (struct wy_lease *l)
{
  uint32_t base = l->state.ttl_ms / LOOKS_PER_LEASE;
  uint32_t longest = wy_store_poll_ms (l->o.store, base) - base;

  return wy_rng_below (&l->rng, 2 * longest + 1);
}

static void
announce_lost (struct wy_lease *l)
{
  if (!l->announced)
    return;
  l->announced = false;
  wy_trace_event (l->o.trace, "lease.lost", "{s:s, s:I}", "lease", l->name,
                  "fence", (json_int_t)l->state.row.fence);
  if (l->o.on_lost)
    l->o.on_lost (l->o.ctx);
}

static void
announce_acquired (struct wy_lease *l)
{
  json_int_t until_ms
      = wy_clock_wall_ms (l->o.clock) + l->state.until_ms - now_ms (l);

  l->announced = true;
  wy_trace_event (l->o.trace, "lease.acquired", "{s:s, s:I, s:I}", "lease",
                  l->name, "fence", (json_int_t)l->state.row.fence, "until_ms",
                  until_ms);
  if (l->o.on_acquired)
    l->o.on_acquired (l->o.ctx, l->state.row.fence);
}

static void
on_read (void *ctx, const struct wy_store_result *r)
{
  struct wy_lease *l = ctx;
  struct wy_lease_row seen;

  l->state.busy = false;
  if (l->closing)
    {
      destroy (l);
      return;
    }
  if (r->err)
    {
      wy_lease_refused (&l->state, now_ms (l), false, jitter (l));
      return;
    }
  wy_lease_rows_parse (l, r, &seen);
  wy_lease_seen (&l->state, now_ms (l), &seen, jitter (l) + patience (l));
}

static void
on_released (void *ctx, const struct wy_store_result *r)
{
  struct wy_lease *l = ctx;

  l->state.busy = false;
  if (l->closing)
    destroy (l);
}

/* Mark the row of revision REV as released.  */
static void
give_back (struct wy_lease *l, int64_t rev)
{
  l->state.row.rev = rev;
  l->state.busy = true;
  wy_lease_rows_write (l, false, true, on_released);
}

/* A write took TOOK_MS: hold the lease long enough for that.  */
static void
adapt (struct wy_lease *l, int64_t took_ms)
{
  int64_t ttl_ms = took_ms * SLOW_TENTHS / TENTHS;

  if (ttl_ms > TTL_MAX_MS)
    ttl_ms = TTL_MAX_MS;
  if (ttl_ms < l->o.ttl_ms)
    ttl_ms = l->o.ttl_ms;
  wy_lease_ttl (&l->state, (uint32_t)ttl_ms);
}

static void
on_written (void *ctx, const struct wy_store_result *r)
{
  struct wy_lease *l = ctx;
  int64_t now = now_ms (l);
  struct wy_lease_row row = l->state.row;

  l->state.busy = false;
  if (l->closing)
    {
      destroy (l);
      return;
    }
  if (l->releasing)
    {
      l->releasing = false;
      if (!r->err)
        give_back (l, r->rev);
      return;
    }
  if (r->err)
    {
      wy_lease_refused (&l->state, now, r->err == WY_STORE_ECONFLICT,
                        jitter (l));
      return;
    }
  if (l->step == WY_LEASE_RENEW)
    {
      wy_lease_renewed (&l->state, l->sent_ms, now, r->rev);
      adapt (l, now - l->sent_ms);
      return;
    }
  row.rev = r->rev;
  row.fence_rev = r->rev;
  row.fence++;
  row.ttl_ms = l->state.ttl_ms;
  row.released = false;
  row.own = true;
  wy_lease_taken (&l->state, l->sent_ms, now, &row);
  adapt (l, now - l->sent_ms);
  if (l->state.held)
    announce_acquired (l);
}

static void
on_tick (uv_timer_t *t)
{
  struct wy_lease *l = t->data;
  enum wy_lease_step step = wy_lease_next (&l->state, now_ms (l));

  switch (step)
    {
    case WY_LEASE_WAIT:
      return;
    case WY_LEASE_STOP:
      announce_lost (l);
      return;
    case WY_LEASE_READ:
    case WY_LEASE_TAKE:
    case WY_LEASE_RENEW:
      break;
    }
  l->step = step;
  l->sent_ms = now_ms (l);
  wy_lease_sent (&l->state);
  if (step == WY_LEASE_READ)
    wy_lease_rows_read (l, on_read);
  else
    wy_lease_rows_write (l, step == WY_LEASE_TAKE, false, on_written);
}

/* Try to hold the lease that O names, from now on and again whenever it is
   lost.  */
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
  l->fence_key = g_strdup_printf ("lease/%s/fence", o->name);
  wy_rng_seed (&l->rng, o->seed);
  wy_lease_state_init (&l->state, ttl_ms, now_ms (l));
  uv_timer_init (o->loop, &l->timer);
  l->timer.data = l;
  uv_timer_start (&l->timer, on_tick, 0,
                  tick_ms > TICK_MIN_MS ? tick_ms : TICK_MIN_MS);
  return l;
}

/* Give the lease back, so that another need not wait for its end, and don't
   try for it again.  on_lost does not come.  What was done under the lease
   must have ended.  */
void
wy_lease_release (struct wy_lease *l)
{
  bool held = wy_lease_holds (&l->state, now_ms (l));

  uv_timer_stop (&l->timer);
  l->state.held = false;
  if (!l->announced)
    return;
  l->announced = false;
  wy_trace_event (l->o.trace, "lease.released", "{s:s, s:I}", "lease", l->name,
                  "fence", (json_int_t)l->state.row.fence);
  l->releasing = held && l->state.busy;
  if (held && !l->state.busy)
    give_back (l, l->state.row.rev);
}

static void
on_timer_closed (uv_handle_t *h)
{
  struct wy_lease *l = h->data;

  l->timer_closed = true;
  destroy (l);
}

/* Free L; no callback comes after this.  The memory goes when the last answer
   has come, so this must be called before the store is freed.  */
void
wy_lease_free (struct wy_lease *l)
{
  if (!l)
    return;
  l->closing = true;
  l->announced = false;
  uv_close ((uv_handle_t *)&l->timer, on_timer_closed);
}

/* Whether the lease is held now.  To be asked before each effect: after a
   pause this is the first to know.  */
bool
wy_lease_valid (const struct wy_lease *l)
{
  return l->announced && wy_lease_holds (&l->state, now_ms (l));
}

/* The fencing number of the lease as last held.  */
int64_t
wy_lease_fencing_token (const struct wy_lease *l)
{
  return l->state.row.fence;
}

/* Its name.  */
const char *
wy_lease_name (const struct wy_lease *l)
{
  return l->name;
}

/* Key of the row that changes only when the lease changes hands.  */
const char *
wy_lease_token_key (const struct wy_lease *l)
{
  return l->fence_key;
}

/* The rev of that row while the lease is held.  */
int64_t
wy_lease_token_rev (const struct wy_lease *l)
{
  return l->state.row.fence_rev;
}
