/* Membership of many entries on one store.  */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "gate/members_state.h"
#include "support/platform_fixture.h"

enum
{
  ENTRIES_MAX = 128,
  MEASURED_MS = 1500,
  EPOCH_MS = 1000000,
  /* Factor by which the entries' clocks are slowed down, so that heartbeats
     are in time on a busy machine.  */
  SLOWDOWN = 20
};

struct entry
{
  struct wy_clock clock; /* must stay first */
  struct wy_gate_env env;
  struct wy_members *members;
  char node[16];
  char holder[24];
  char address[32];
};

static struct platform_fixture w;
static struct entry entries[ENTRIES_MAX];
static uint32_t n_entries;
static uint32_t expected_alive;
static uint32_t slowdown; /* factor, of the entries' clocks */

static void
entry_mono (const struct wy_clock *clock, struct timespec *out)
{
  *out
      = wy_timespec_from_ms (wy_clock_mono_ms (wy_clock_system ()) / slowdown);
}

/* Wall-clock time: the store's clock plus EPOCH_MS.  */
static void
entry_wall (const struct wy_clock *clock, struct timespec *out)
{
  const struct entry *e = (const struct entry *)clock;

  *out = wy_timespec_from_ms (
      EPOCH_MS + (e->env.rows ? wy_rows_store_now_ms (e->env.rows) : 0));
}

static void
start_entry (struct entry *e, int incarnation)
{
  struct wy_h1_client_options h = { .loop = &w.loop,
                                    .connect_timeout_ms = 500,
                                    .idle_timeout_ms = 5000 };
  struct wy_rows_options r
      = { .loop = &w.loop, .clock = &e->clock, .seed = 7 };
  struct wy_members_options m
      = { .env = &e->env, .address = e->address, .cpu_share = 1 };

  snprintf (e->holder, sizeof e->holder, "%s/%d", e->node, incarnation);
  e->env.loop = &w.loop;
  e->clock = (struct wy_clock){ entry_mono, entry_wall, entry_mono };
  e->env.clock = &e->clock;
  e->env.node = e->node;
  e->env.holder = e->holder;
  e->env.http = wy_h1_client_new (&h);
  r.http = e->env.http;
  r.address = platform_loopback (wy_platform_store_port (w.store));
  e->env.rows = wy_rows_new (&r);
  e->members = wy_members_new (&m);
}

/* End E without marking it as leaving.  */
static void
kill_entry (struct entry *e)
{
  wy_members_free (e->members);
  wy_rows_free (e->env.rows);
  wy_h1_client_close (e->env.http);
  e->members = NULL;
}

static bool
all_agree (void *ctx)
{
  for (uint32_t i = 0; i < n_entries; i++)
    if (entries[i].members
        && wy_members_count_alive (entries[i].members) != expected_alive)
      return false;
  return true;
}

static void
start_fleet (uint32_t n, uint32_t clock_slowdown)
{
  slowdown = clock_slowdown;
  platform_fixture_init (&w);
  n_entries = n;
  expected_alive = n;
  for (uint32_t i = 0; i < n; i++)
    {
      struct entry *e = &entries[i];

      memset (e, 0, sizeof *e);
      snprintf (e->node, sizeof e->node, "e%u", i);
      snprintf (e->address, sizeof e->address, "127.0.0.1:%u", 1000 + i);
      start_entry (e, 1);
    }
  cr_assert (platform_fixture_run_until (&w, all_agree, NULL));
}

static void
stop_fleet (void)
{
  for (uint32_t i = 0; i < n_entries; i++)
    if (entries[i].members)
      kill_entry (&entries[i]);
  platform_fixture_free (&w);
}

static uint64_t
rows_read (void)
{
  uint64_t rows = 0;

  for (uint32_t i = 0; i < n_entries; i++)
    {
      struct wy_rows_stats s;

      wy_rows_stats (entries[i].env.rows, &s);
      rows += wy_traffic_counters (&s.traffic, WY_HEARTBEATS_TABLE)->rows_read
              + wy_traffic_counters (&s.traffic, WY_MEMBERS_TABLE)->rows_read;
    }
  return rows;
}

static uint64_t
polls (void)
{
  uint64_t n = 0;

  for (uint32_t i = 0; i < n_entries; i++)
    n += entries[i].members->polls;
  return n;
}

/* The mean number of rows read per poll with N entries.  */
static double
rows_per_poll (uint32_t n)
{
  uint64_t rows;
  uint64_t n_polls;

  start_fleet (n, SLOWDOWN);
  platform_fixture_run_ms (&w, MEASURED_MS);
  rows = rows_read ();
  n_polls = polls ();
  platform_fixture_run_ms (&w, MEASURED_MS);
  rows = rows_read () - rows;
  n_polls = polls () - n_polls;
  stop_fleet ();
  cr_assert_gt (n_polls, 0);
  return (double)rows / (double)n_polls;
}

/* Guards against reads per entry that grow with the number of entries.  */
Test (members_fleet, rows_read_do_not_grow, .timeout = 60)
{
  double smallest = rows_per_poll (8);

  cr_expect_gt (smallest, 0);
  cr_expect_leq (rows_per_poll (32), 1.2 * smallest);
  cr_expect_leq (rows_per_poll (ENTRIES_MAX), 1.2 * smallest);
}

static bool
knows_holder (void *ctx)
{
  return !wy_members_holder_is_gone (entries[0].members, entries[3].holder);
}

/* Guards against failures and restarts that only the monitoring entries
   observe.  */
Test (members_fleet, failures_and_restarts_reach_all)
{
  start_fleet (32, 1);
  for (int i = 3; i < 7; i++)
    kill_entry (&entries[i]);
  expected_alive = 28;
  cr_assert (platform_fixture_run_until (&w, all_agree, NULL));
  cr_expect (wy_members_holder_is_gone (entries[0].members, "e3/1"));
  for (int i = 3; i < 7; i++)
    start_entry (&entries[i], 2);
  expected_alive = 32;
  cr_assert (platform_fixture_run_until (&w, all_agree, NULL));
  cr_expect (platform_fixture_run_until (&w, knows_holder, NULL));
  cr_expect (wy_members_holder_is_gone (entries[0].members, "e3/1"));
  stop_fleet ();
}

static bool
has_rewritten (void *part)
{
  char *row = wy_platform_store_value (w.store, WY_MEMBERS_TABLE, part,
                                       entries[3].node);
  bool alive = row && !strstr (row, "failed");

  g_free (row);
  return alive;
}

/* Guards against an entry that is alive but stays marked as failed.  */
Test (members_fleet, wrongly_marked_entry_recovers)
{
  char part[WY_MEMBERS_PARTITION_SIZE_BYTES];

  start_fleet (8, 1);
  wy_members_partition (entries[3].members->position, part);
  wy_platform_store_put (w.store, WY_MEMBERS_TABLE, part, entries[3].node,
                         "{\"holder\":\"e3/1\",\"failed\":true}");
  cr_assert (platform_fixture_run_until (&w, has_rewritten, part));
  cr_assert (platform_fixture_run_until (&w, all_agree, NULL));
  cr_expect (platform_fixture_run_until (&w, knows_holder, NULL));
  stop_fleet ();
}

/* Guards against all entries relaying through the same few entries.  */
Test (members_fleet, relays_spread)
{
  uint32_t uses[ENTRIES_MAX] = { 0 };
  uint32_t most = 0;

  start_fleet (64, 1);
  for (uint32_t i = 0; i < n_entries; i++)
    {
      struct sockaddr_in a[4];
      size_t n = wy_members_peer_addresses (entries[i].members, a, 4);

      cr_assert_eq (n, 4);
      for (size_t k = 0; k < n; k++)
        {
          uint32_t times = ++uses[ntohs (a[k].sin_port) - 1000];

          most = MAX (most, times);
        }
    }
  cr_expect_eq (most, 4);
  stop_fleet ();
}
