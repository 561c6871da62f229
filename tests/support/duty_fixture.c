/* Entries that elect a leader for the duties, with stand-ins of the
   platform.  */
#include "duty_fixture.h"

#include <criterion/criterion.h>
#include <stdio.h>

#include "base/clock.h"

struct platform_fixture duty_fixture;
struct wy_platform_duties *duty_platform;

static void
entry_monotonic (const struct wy_clock *clock, struct timespec *out)
{
  wy_clock_system ()->monotonic (clock, out);
}

static void
entry_wall (const struct wy_clock *clock, struct timespec *out)
{
  wy_clock_system ()->wall (clock, out);
}

static void
entry_boottime (const struct wy_clock *clock, struct timespec *out)
{
  const struct duty_entry *e = (const struct duty_entry *)clock;

  wy_clock_system ()->monotonic (clock, out);
  *out = wy_timespec_from_ms (wy_timespec_ms (out) + e->suspended_ms);
}

/* Start the store and the platform, without an entry.  */
void
duty_fixture_start (void)
{
  platform_fixture_init (&duty_fixture);
  duty_platform = wy_platform_duties_new (&duty_fixture.loop, 0);
  cr_assert_not_null (duty_platform);
}

/* Free everything.  */
void
duty_fixture_stop (void)
{
  wy_platform_duties_free (duty_platform);
  platform_fixture_free (&duty_fixture);
}

static bool
may_be_leader (void *ctx)
{
  return ((struct duty_entry *)ctx)->is_candidate;
}

static void
on_acquired (void *ctx)
{
  wy_usage_on_elected (((struct duty_entry *)ctx)->usage);
}

static void
on_lost (void *ctx)
{
  wy_duty_calls_stop (((struct duty_entry *)ctx)->calls);
}

static int64_t
epoch_ms (void *ctx)
{
  return 1;
}

static int64_t
window_complete_on_all (void *ctx)
{
  const struct duty_entry *e = ctx;

  return e->peer->alive
             ? MIN (e->newest_complete_window, e->peer->newest_complete_window)
             : e->newest_complete_window;
}

static void
on_complete (void *ctx, int64_t window)
{
  ((struct duty_entry *)ctx)->newest_complete_window = window;
}

/* Start the entry NODE.  E is zero except for the members that control it.  */
void
duty_entry_start (struct duty_entry *e, const char *node)
{
  struct wy_h1_client_options h = { .loop = &duty_fixture.loop,
                                    .connect_timeout_ms = 300,
                                    .idle_timeout_ms = 5000 };
  struct wy_rows_options r
      = { .loop = &duty_fixture.loop,
          .clock = &e->clock,
          .seed = 1,
          .address
          = platform_loopback (wy_platform_store_port (duty_fixture.store)) };
  struct wy_election_options d = { .loop = &duty_fixture.loop,
                                   .clock = &e->clock,
                                   .subject = "s",
                                   .holder = e->holder,
                                   .seed = (uint64_t)(uintptr_t)e,
                                   .ttl_ms = DUTY_LEASE_MS,
                                   .is_candidate = may_be_leader,
                                   .on_acquired = on_acquired,
                                   .on_lost = on_lost,
                                   .ctx = e };
  struct wy_duty_calls_options c = { .loop = &duty_fixture.loop,
                                     .clock = &e->clock,
                                     .address = e->platform,
                                     .node = node };
  struct wy_usage_options u
      = { .loop = &duty_fixture.loop,
          .clock = &e->clock,
          .counts_row_key = e->holder,
          .window_ms = DUTY_WINDOW_MS,
          .report_deadline_ms = DUTY_REPORT_DEADLINE_MS,
          .epoch_ms = epoch_ms,
          .newest_complete_window = window_complete_on_all,
          .on_complete = on_complete,
          .ctx = e };
  static int starts;

  e->clock.monotonic = entry_monotonic;
  e->clock.wall = entry_wall;
  e->clock.boottime = entry_boottime;
  e->alive = true;
  snprintf (e->holder, sizeof e->holder, "%s/%03d", node, starts++);
  snprintf (e->platform, sizeof e->platform, "127.0.0.1:%u",
            wy_platform_duties_port (duty_platform));
  e->http = wy_h1_client_new (&h);
  r.http = e->http;
  e->rows = wy_rows_new (&r);
  d.rows = e->rows;
  e->election = wy_election_new (&d);
  c.http = e->http;
  c.election = e->election;
  cr_assert_eq (wy_duty_calls_new (&e->calls, &c), 0);
  u.rows = e->rows;
  u.election = e->election;
  u.calls = e->calls;
  e->usage = wy_usage_new (&u);
}

/* Stop the entry without releasing its lease.  */
void
duty_entry_kill (struct duty_entry *e)
{
  if (!e->alive)
    return;
  e->alive = false;
  wy_duty_calls_stop (e->calls);
  wy_usage_free (e->usage);
  wy_duty_calls_free (e->calls);
  wy_election_free (e->election);
  wy_rows_free (e->rows);
  wy_h1_client_close (e->http);
}

/* Whether the entry is the leader.  */
bool
duty_entry_is_leader (void *entry)
{
  return wy_election_is_leader (((struct duty_entry *)entry)->election);
}
