/* Entries that share the duties, against stand-ins of the platform.  */
#include "duty_world.h"

#include <criterion/criterion.h>
#include <stdio.h>

#include "base/clock.h"

struct platform_world duty_world;
struct wy_platform_duties *duty_platform;

static void
own_monotonic (const struct wy_clock *clock, struct timespec *out)
{
  wy_clock_system ()->monotonic (clock, out);
}

static void
own_wall (const struct wy_clock *clock, struct timespec *out)
{
  wy_clock_system ()->wall (clock, out);
}

static void
own_boottime (const struct wy_clock *clock, struct timespec *out)
{
  const struct duty_entry *e = (const struct duty_entry *)clock;

  wy_clock_system ()->monotonic (clock, out);
  *out = wy_timespec_from_ms (wy_timespec_ms (out) + e->slept_ms);
}

/* A store and the platform, no entry.  */
void
duty_world_start (void)
{
  platform_world_init (&duty_world);
  duty_platform = wy_platform_duties_new (&duty_world.loop, 0);
  cr_assert_not_null (duty_platform);
}

/* Close all.  */
void
duty_world_stop (void)
{
  wy_platform_duties_free (duty_platform);
  platform_world_free (&duty_world);
}

static bool
may_hold (void *ctx)
{
  return ((struct duty_entry *)ctx)->may_hold;
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
complete_everywhere (void *ctx)
{
  const struct duty_entry *e = ctx;

  return e->peer->alive ? MIN (e->complete, e->peer->complete) : e->complete;
}

static void
on_complete (void *ctx, int64_t window)
{
  ((struct duty_entry *)ctx)->complete = window;
}

/* Start the entry NODE; E is zeroed but for its switches.  */
void
duty_entry_start (struct duty_entry *e, const char *node)
{
  struct wy_h1_client_options h = { .loop = &duty_world.loop,
                                    .connect_timeout_ms = 300,
                                    .idle_timeout_ms = 5000 };
  struct wy_rows_options r
      = { .loop = &duty_world.loop,
          .clock = &e->clock,
          .seed = 1,
          .address
          = platform_loopback (wy_platform_store_port (duty_world.store)) };
  struct wy_election_options d = { .loop = &duty_world.loop,
                                   .clock = &e->clock,
                                   .subject = "s",
                                   .holder = e->holder,
                                   .seed = (uint64_t)(uintptr_t)e,
                                   .ttl_ms = DUTY_LEASE_MS,
                                   .is_candidate = may_hold,
                                   .on_acquired = on_acquired,
                                   .on_lost = on_lost,
                                   .ctx = e };
  struct wy_duty_calls_options c = { .loop = &duty_world.loop,
                                     .clock = &e->clock,
                                     .address = e->platform,
                                     .node = node };
  struct wy_usage_options u = { .loop = &duty_world.loop,
                                .clock = &e->clock,
                                .counts_row_key = e->holder,
                                .window_ms = DUTY_WINDOW_MS,
                                .report_deadline_ms = DUTY_LATE_MS,
                                .epoch_ms = epoch_ms,
                                .newest_complete_window = complete_everywhere,
                                .on_complete = on_complete,
                                .ctx = e };
  static int starts;

  e->clock.monotonic = own_monotonic;
  e->clock.wall = own_wall;
  e->clock.boottime = own_boottime;
  e->alive = true;
  snprintf (e->holder, sizeof e->holder, "%s/%03d", node, starts++);
  snprintf (e->platform, sizeof e->platform, "127.0.0.1:%u",
            wy_platform_duties_port (duty_platform));
  e->http = wy_h1_client_new (&h);
  r.http = e->http;
  e->rows = wy_rows_new (&r);
  d.rows = e->rows;
  e->duties = wy_election_new (&d);
  c.http = e->http;
  c.election = e->duties;
  cr_assert_eq (wy_duty_calls_new (&e->calls, &c), 0);
  u.rows = e->rows;
  u.election = e->duties;
  u.calls = e->calls;
  e->usage = wy_usage_new (&u);
}

/* The entry ends without a word.  */
void
duty_entry_kill (struct duty_entry *e)
{
  if (!e->alive)
    return;
  e->alive = false;
  wy_duty_calls_stop (e->calls);
  wy_usage_free (e->usage);
  wy_duty_calls_free (e->calls);
  wy_election_free (e->duties);
  wy_rows_free (e->rows);
  wy_h1_client_free (e->http);
}

/* Whether the entry holds the duties.  */
bool
duty_entry_holds (void *entry)
{
  return wy_election_is_leader (((struct duty_entry *)entry)->duties);
}
