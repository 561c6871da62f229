/* Leases: the state machine with a simulated clock, and the rows.  */
#include <criterion/criterion.h>
#include <string.h>

#include "lease/lease.h"
#include "base/rng.h"
#include "lease/state.h"
#include "support/fake_table.h"

static const int64_t TTL_MS = 12000;

static const struct wy_lease_row no_row = { 0 };

static void
acquire (struct wy_lease_state *s, int64_t now)
{
  struct wy_lease_row row = { .rev = 2,
                              .token_rev = 2,
                              .fencing_token = 1,
                              .ttl_ms = (uint32_t)TTL_MS,
                              .own = true };

  cr_assert_eq (wy_lease_next_step (s, now), WY_LEASE_READ);
  wy_lease_on_sent (s);
  wy_lease_on_read (s, now, &no_row, 0);
  cr_assert_eq (wy_lease_next_step (s, now), WY_LEASE_ACQUIRE);
  wy_lease_on_sent (s);
  wy_lease_on_acquired (s, now, now, &row);
  cr_assert (wy_lease_holds (s, now));
}

/* Step S every 100 ms from FROM to TO.  Returns the first step other than
   waiting and stores its time in AT.  */
static enum wy_lease_step
run_ticks (struct wy_lease_state *s, int64_t from, int64_t to, int64_t *at)
{
  for (*at = from; *at <= to; *at += 100)
    {
      enum wy_lease_step step = wy_lease_next_step (s, *at);
      if (step != WY_LEASE_WAIT)
        return step;
    }
  return WY_LEASE_WAIT;
}

Test (lease_state, renews_before_it_ends)
{
  struct wy_lease_state s;
  int64_t at;

  wy_lease_state_init (&s, (uint32_t)TTL_MS, 0);
  acquire (&s, 0);
  cr_assert_eq (run_ticks (&s, 0, TTL_MS, &at), WY_LEASE_RENEW);
  cr_assert_lt (at, TTL_MS / 2);
  wy_lease_on_sent (&s);
  wy_lease_on_renewed (&s, at, at + 50, 3);
  cr_assert_eq (s.row.rev, 3);
  cr_assert (wy_lease_holds (&s, at + 50));
}

/* The store does not respond to renewals.  The holder must stop by its own
   clock before another process may acquire the lease.  */
Test (lease_state, holder_stops_before_others_may_acquire)
{
  struct wy_lease_state holder;
  struct wy_lease_state other;
  struct wy_lease_row row
      = { .rev = 2, .fencing_token = 1, .ttl_ms = (uint32_t)TTL_MS };
  int64_t stopped;
  int64_t acquired_ms;

  wy_lease_state_init (&holder, (uint32_t)TTL_MS, 0);
  wy_lease_state_init (&other, (uint32_t)TTL_MS, 0);
  acquire (&holder, 0);
  cr_assert_eq (run_ticks (&holder, 0, TTL_MS, &stopped), WY_LEASE_RENEW);
  wy_lease_on_sent (&holder);
  cr_assert_eq (run_ticks (&holder, stopped, TTL_MS, &stopped), WY_LEASE_LOST);
  cr_assert_lt (stopped, TTL_MS);
  cr_assert_not (wy_lease_holds (&holder, stopped));
  for (acquired_ms = 0; acquired_ms < 3 * TTL_MS; acquired_ms += 100)
    {
      enum wy_lease_step step = wy_lease_next_step (&other, acquired_ms);
      if (step == WY_LEASE_ACQUIRE)
        break;
      if (step != WY_LEASE_READ)
        continue;
      wy_lease_on_sent (&other);
      wy_lease_on_read (&other, acquired_ms, &row, 0);
    }
  cr_assert_geq (acquired_ms, TTL_MS);
  cr_assert_lt (acquired_ms, 2 * TTL_MS);
}

/* The process was paused and continues.  Its clock may not have counted the
   pause, so it holds nothing until it has read the rows.  */
Test (lease_state, gap_in_the_clock_ends_the_lease)
{
  struct wy_lease_state s;

  wy_lease_state_init (&s, (uint32_t)TTL_MS, 0);
  acquire (&s, 0);
  cr_assert_eq (wy_lease_next_step (&s, 100), WY_LEASE_WAIT);
  cr_assert_not (wy_lease_holds (&s, 100 + TTL_MS / 3));
  cr_assert_eq (wy_lease_next_step (&s, 100 + TTL_MS / 3), WY_LEASE_LOST);
  cr_assert_eq (wy_lease_next_step (&s, 100 + TTL_MS / 3), WY_LEASE_READ);
}

/* The response to a renewal arrives after the lease has ended.  The holder has
   stopped already and must not hold the lease again.  */
Test (lease_state, late_response_does_not_restore_the_lease)
{
  struct wy_lease_state s;
  int64_t at;

  wy_lease_state_init (&s, (uint32_t)TTL_MS, 0);
  acquire (&s, 0);
  cr_assert_eq (run_ticks (&s, 0, TTL_MS, &at), WY_LEASE_RENEW);
  wy_lease_on_sent (&s);
  cr_assert_eq (run_ticks (&s, at, TTL_MS, &at), WY_LEASE_LOST);
  wy_lease_on_renewed (&s, 4000, at, 3);
  cr_assert_not (wy_lease_holds (&s, at));
}

/* The response to a renewal is lost.  The rows show who holds the lease.  */
Test (lease_state, unknown_renewal_is_read)
{
  struct wy_lease_state s;
  struct wy_lease_row row = { .rev = 5,
                              .token_rev = 2,
                              .fencing_token = 1,
                              .ttl_ms = (uint32_t)TTL_MS,
                              .own = true };
  int64_t at;

  wy_lease_state_init (&s, (uint32_t)TTL_MS, 0);
  acquire (&s, 0);
  cr_assert_eq (run_ticks (&s, 0, TTL_MS, &at), WY_LEASE_RENEW);
  wy_lease_on_sent (&s);
  wy_lease_on_failed (&s, at, false, 0);
  cr_assert_eq (wy_lease_next_step (&s, at), WY_LEASE_READ);
  wy_lease_on_sent (&s);
  wy_lease_on_read (&s, at, &row, 0);
  cr_assert (wy_lease_holds (&s, at));
  cr_assert_eq (wy_lease_next_step (&s, at), WY_LEASE_RENEW);
  row.own = false;
  row.fencing_token = 2;
  wy_lease_on_sent (&s);
  wy_lease_on_failed (&s, at, false, 0);
  cr_assert_eq (wy_lease_next_step (&s, at), WY_LEASE_READ);
  wy_lease_on_sent (&s);
  wy_lease_on_read (&s, at, &row, 0);
  cr_assert_not (wy_lease_holds (&s, at));
}

/* The holder dies and the store becomes unreachable.  When it is reachable
   again, a process that has read the row before must not wait for a full
   lease again.  */
Test (lease_state, outage_does_not_restart_the_wait)
{
  struct wy_lease_state s;
  struct wy_lease_row row
      = { .rev = 2, .fencing_token = 1, .ttl_ms = (uint32_t)TTL_MS };

  wy_lease_state_init (&s, (uint32_t)TTL_MS, 0);
  cr_assert_eq (wy_lease_next_step (&s, 0), WY_LEASE_READ);
  wy_lease_on_sent (&s);
  wy_lease_on_read (&s, 0, &row, 0);
  for (int64_t now = 5000; now < 60000; now += 5000)
    if (wy_lease_next_step (&s, now) != WY_LEASE_WAIT)
      {
        wy_lease_on_sent (&s);
        wy_lease_on_failed (&s, now, false, 0);
      }
  cr_assert_eq (wy_lease_next_step (&s, 60000), WY_LEASE_READ);
  wy_lease_on_sent (&s);
  wy_lease_on_read (&s, 60000, &row, 0);
  cr_assert_eq (wy_lease_next_step (&s, 60000), WY_LEASE_ACQUIRE);
}

/* Random schedules of two processes with pauses and lost responses.  The
   holder must have stopped when the other process acquires the lease, or be
   paused and detect the loss before it does anything.  */
Test (lease_state, random_schedules_have_one_holder)
{
  struct wy_rng rng;
  uint32_t n_acquired = 0;

  wy_rng_seed (&rng, 11);
  for (int schedule = 0; schedule < 2000; schedule++)
    {
      struct wy_lease_state s[2];
      struct wy_lease_row row = { 0 };
      int owner = -1;
      int64_t paused_until[2] = { 0, 0 };

      wy_lease_state_init (&s[0], (uint32_t)TTL_MS, 0);
      wy_lease_state_init (&s[1], (uint32_t)TTL_MS, 0);
      for (int64_t now = 0; now < 6 * TTL_MS; now += 200)
        for (int i = 0; i < 2; i++)
          {
            enum wy_lease_step step;
            struct wy_lease_row seen = row;

            if (now < paused_until[i])
              continue;
            if (wy_rng_below (&rng, 100) == 0)
              {
                paused_until[i]
                    = now + wy_rng_below (&rng, 2 * (uint32_t)TTL_MS);
                continue;
              }
            if (wy_lease_holds (&s[i], now))
              cr_assert_eq (owner, i, "two holders in schedule %d", schedule);
            step = wy_lease_next_step (&s[i], now);
            seen.own = owner == i;
            if (step != WY_LEASE_READ && step != WY_LEASE_ACQUIRE
                && step != WY_LEASE_RENEW)
              continue;
            wy_lease_on_sent (&s[i]);
            if (wy_rng_below (&rng, 4) == 0)
              wy_lease_on_failed (&s[i], now, false, 0);
            else if (step == WY_LEASE_READ)
              wy_lease_on_read (&s[i], now, &seen, 0);
            else if (s[i].row.rev != row.rev)
              wy_lease_on_failed (&s[i], now, true, 0);
            else if (step == WY_LEASE_RENEW)
              wy_lease_on_renewed (&s[i], now, now, ++row.rev);
            else
              {
                n_acquired++;
                row.rev++;
                row.token_rev = row.rev;
                row.fencing_token++;
                row.ttl_ms = (uint32_t)TTL_MS;
                owner = i;
                seen = row;
                seen.own = true;
                wy_lease_on_acquired (&s[i], now, now, &seen);
              }
          }
    }
  cr_assert_gt (n_acquired, 2000);
}

struct holder
{
  struct wy_store *store;
  struct wy_lease *lease;
  uint32_t acquired;
  uint32_t lost;
};

struct fixture
{
  uv_loop_t loop;
  struct fake_table *table;
  struct holder h[2];
  uint32_t ttl_ms;
};

static void
on_acquired (void *ctx, int64_t fencing_token)
{
  ((struct holder *)ctx)->acquired++;
}

static void
on_lost (void *ctx)
{
  ((struct holder *)ctx)->lost++;
}

static void
start (struct fixture *w, int i)
{
  struct holder *h = &w->h[i];
  char name[16];
  struct wy_store_options s = { .loop = &w->loop,
                                .clock = wy_clock_system (),
                                .table = w->table->address,
                                .objects = w->table->address,
                                .seed = (uint64_t)i + 1 };
  struct wy_lease_options o = { .loop = &w->loop,
                                .clock = wy_clock_system (),
                                .name = "x",
                                .holder = name,
                                .seed = (uint64_t)i + 1,
                                .ttl_ms = w->ttl_ms,
                                .on_acquired = on_acquired,
                                .on_lost = on_lost,
                                .ctx = h };

  g_snprintf (name, sizeof name, "holder-%d", i);
  cr_assert_eq (wy_store_new (&h->store, &s), 0);
  o.store = h->store;
  h->lease = wy_lease_new (&o);
}

static void
stop (struct fixture *w, int i)
{
  wy_lease_free (w->h[i].lease);
  wy_store_free (w->h[i].store);
}

static bool
first_holds (void *ctx)
{
  return wy_lease_valid (((struct fixture *)ctx)->h[0].lease);
}

static bool
second_holds (void *ctx)
{
  return wy_lease_valid (((struct fixture *)ctx)->h[1].lease);
}

static void
fixture_init (struct fixture *w, uint32_t ttl_ms)
{
  memset (w, 0, sizeof *w);
  w->ttl_ms = ttl_ms;
  uv_loop_init (&w->loop);
  w->table = fake_table_new (&w->loop);
  start (w, 0);
  cr_assert (run_until (&w->loop, first_holds, w));
  start (w, 1);
}

static void
fixture_free (struct fixture *w)
{
  stop (w, 0);
  stop (w, 1);
  drain_loop (&w->loop);
  fake_table_free (w->table);
}

Test (lease, stays_with_one_holder_and_is_handed_over_when_released)
{
  struct fixture w;

  fixture_init (&w, 3000);
  run_for (&w.loop, 1500);
  cr_assert_eq (w.h[0].acquired, 1);
  cr_assert_eq (w.h[0].lost, 0);
  cr_assert_eq (w.h[1].acquired, 0);
  wy_lease_release (w.h[0].lease);
  cr_assert (run_until (&w.loop, second_holds, &w));
  cr_assert_eq (wy_lease_fencing_token (w.h[1].lease), 2);
  cr_assert_eq (w.h[0].lost, 0);
  fixture_free (&w);
}

static bool
is_released (void *ctx)
{
  return json_is_true (json_object_get (
      fake_table_get (((struct fixture *)ctx)->table, "lease/x"), "released"));
}

/* The holder is stopped while a renewal is in progress.  Guards against a
   lease that is not released then, for whose end the next holder must wait. */
Test (lease, released_during_a_renewal)
{
  struct fixture w;
  uint32_t txns;

  fixture_init (&w, 3000);
  w.table->delay_ms = 200;
  txns = w.table->txns;
  while (w.table->txns == txns)
    run_for (&w.loop, 5);
  wy_lease_release (w.h[0].lease);
  cr_assert (run_until (&w.loop, is_released, &w));
  w.table->delay_ms = 0;
  cr_assert (run_until (&w.loop, second_holds, &w));
  run_for (&w.loop, 300);
  fixture_free (&w);
}

/* A store outage is longer than the lease.  The holder stops, and later one
   process holds the lease, with a higher fencing token.  */
Test (lease, outage_longer_than_the_lease)
{
  struct fixture w;
  int64_t token;

  fixture_init (&w, 400);
  token = wy_lease_fencing_token (w.h[0].lease);
  w.table->down = true;
  run_for (&w.loop, 600);
  cr_assert_geq (w.h[0].lost, 1);
  cr_assert_not (wy_lease_valid (w.h[0].lease));
  w.table->down = false;
  while (!first_holds (&w) && !second_holds (&w))
    run_for (&w.loop, 10);
  cr_assert_neq (first_holds (&w), second_holds (&w));
  cr_assert_gt (wy_lease_fencing_token (w.h[first_holds (&w) ? 0 : 1].lease),
                token);
  fixture_free (&w);
}

/* The response to acquiring the lease is lost.  The row shows the holder.  */
Test (lease, lost_response_to_acquiring)
{
  struct fixture w;

  memset (&w, 0, sizeof w);
  w.ttl_ms = 3000;
  uv_loop_init (&w.loop);
  w.table = fake_table_new (&w.loop);
  w.table->lose_responses = 1;
  start (&w, 0);
  start (&w, 1);
  cr_assert (run_until (&w.loop, first_holds, &w));
  cr_assert_not (second_holds (&w));
  fixture_free (&w);
}
