/* Time, usage and load as reported between entries.  */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "base/id.h"
#include "gate/members.h"
#include "support/platform_fixture.h"

enum
{
  EPOCH_MS = 1000000,
  STEP_MS = 4000,
  ENTRIES = 7
};

static struct platform_fixture w;
static struct wy_members *members;

static void
report (int entry, int64_t epoch_ms, int64_t window, double busy_slots)
{
  char node[16];
  char value[256];
  char key[WY_MEMBERS_KEY_SIZE_BYTES];

  snprintf (node, sizeof node, "e%d", entry);
  snprintf (value, sizeof value,
            "{\"holder\":\"%s/1\",\"address\":\"127.0.0.1:1\","
            "\"epoch_ms\":%lld}",
            node, (long long)epoch_ms);
  wy_platform_store_put (w.store, WY_MEMBERS_TABLE, "0", node, value);
  snprintf (value, sizeof value,
            "{\"holder\":\"%s/1\",\"beat\":1,\"usage_complete\":%lld,"
            "\"busy\":{\"svc/z1\":%.2f}}",
            node, (long long)window, busy_slots);
  wy_members_key (wy_hash64 (node, strlen (node), 0), key);
  wy_platform_store_put (w.store, WY_HEARTBEATS_TABLE, "0", key, value);
}

static bool
knows_all (void *ctx)
{
  return wy_members_count_alive (members) > ENTRIES
         && wy_members_epoch_ms (members) != 0;
}

static bool
knows_load (void *ctx)
{
  return wy_members_load_is_known (members);
}

static void
start (void)
{
  struct wy_members_options o = { .env = &w.env, .address = "127.0.0.1:2" };

  platform_fixture_init (&w);
  platform_fixture_add_env (&w, "own");
  platform_fixture_set_routing (&w, WY_ROUTE_IDEMPOTENT, 1);
  members = wy_members_new (&o);
}

static void
stop (void)
{
  wy_members_free (members);
  platform_fixture_free (&w);
}

/* The clocks of two entries have stepped.  Guards against usage windows that
   shift with them.  */
Test (members_time, stepped_clocks)
{
  start ();
  for (int i = 0; i < ENTRIES; i++)
    report (i, EPOCH_MS + (i < 2 ? STEP_MS : i), 7, 0);
  cr_assert (platform_fixture_run_until (&w, knows_all, NULL));
  platform_fixture_run_ms (&w, 300);
  cr_expect_geq (wy_members_epoch_ms (members), EPOCH_MS);
  cr_expect_leq (wy_members_epoch_ms (members), EPOCH_MS + ENTRIES);
  stop ();
}

/* A usage window is complete when it is complete at each entry that is alive
   and counts usage; busy slots are summed over the entries.  */
Test (members_time, usage_complete)
{
  start ();
  wy_members_publish_usage (members, 9);
  cr_expect_eq (wy_members_usage_complete (members), -1);
  wy_members_watch_load (members, true);
  for (int i = 0; i < ENTRIES; i++)
    report (i, EPOCH_MS, i == 3 ? 6 : i == 4 ? -1 : 8, 0.5);
  cr_assert (platform_fixture_run_until (&w, knows_all, NULL));
  cr_assert (platform_fixture_run_until (&w, knows_load, NULL));
  cr_expect_eq (wy_members_usage_complete (members), 6);
  cr_expect_float_eq (wy_members_busy_slots (members, "svc", "z1"), 3.5,
                      0.001);
  cr_expect_eq (wy_members_busy_slots (members, "svc", "z2"), 0);
  stop ();
}
