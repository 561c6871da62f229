/* Orders to load weights, sent by the orderer on the replica's machine.  */
#include <criterion/criterion.h>
#include <string.h>

#include "gate/members.h"
#include "orders/orderer_state.h"
#include "platform/config_wire.h"
#include "platform/replica_wire.h"
#include "support/platform_fixture.h"

static struct platform_fixture w;
static struct wy_orders_settings settings;
static struct wy_orderer_daemon *d;
static char target[32];
static char store[32];

static void
request_version (int64_t version)
{
  char value[64];

  snprintf (value, sizeof value, "{\"model\":\"m\",\"version\":%lld}",
            (long long)version);
  wy_platform_store_put (w.store, WY_OPERATOR_TABLE, "", "version/m", value);
}

static void
start_daemon (void)
{
  struct wy_orderer_daemon_options o = { .loop = &w.loop,
                                         .clock = wy_clock_system (),
                                         .settings = &settings };

  cr_assert_eq (wy_orderer_daemon_new (&d, &o), 0);
}

static void
start (void)
{
  struct wy_platform_replica *r;

  platform_fixture_init (&w);
  platform_fixture_add_env (&w, "unused");
  r = platform_fixture_add_replica (&w, "m", 1);
  wy_platform_replica_faults (r)->order_load_ms = 30;
  snprintf (target, sizeof target, "127.0.0.1:%u",
            wy_platform_replica_port (r));
  snprintf (store, sizeof store, "127.0.0.1:%u",
            wy_platform_store_port (w.store));
  settings = (struct wy_orders_settings){ .name = "side-1",
                                          .target = target,
                                          .service = "svc",
                                          .store = store,
                                          .metrics = "",
                                          .seeds = g_ptr_array_new () };
  start_daemon ();
}

static void
stop (void)
{
  wy_orderer_daemon_free (d);
  platform_fixture_free (&w);
}

static bool
has_version (void *ctx)
{
  return wy_platform_replica_version (w.replicas[0]) == *(int64_t *)ctx;
}

static int64_t ordered_ms;

static bool
has_ordered (void *ctx)
{
  ordered_ms = d->ordered_ms;
  return d->ordered && wy_platform_replica_orders (w.replicas[0]) == 1;
}

static bool
has_cleared_order (void *ctx)
{
  return !d->ordered || d->ordered_ms != ordered_ms;
}

static bool
gets_loaded (int64_t version)
{
  return platform_fixture_run_until (&w, has_version, &version);
}

Test (orders, requested_version_is_loaded_once)
{
  start ();
  request_version (2);
  cr_expect (gets_loaded (2));
  platform_fixture_run_ms (&w, 300);
  cr_expect_eq (wy_platform_replica_orders (w.replicas[0]), 1);
  request_version (3);
  cr_expect (gets_loaded (3));
  cr_expect_eq (wy_platform_replica_orders (w.replicas[0]), 2);
  stop ();
}

/* The replica accepts an order and the response is lost.  It must not receive
   a second order for the version, since each load empties its cache.  */
Test (orders, lost_response)
{
  start ();
  wy_platform_replica_faults (w.replicas[0])->lose_order_response = 1;
  request_version (2);
  cr_expect (gets_loaded (2));
  platform_fixture_run_ms (&w, 300);
  cr_expect_eq (wy_platform_replica_orders (w.replicas[0]), 1);
  stop ();
}

/* The orderer is killed and restarted.  Its orders must carry a higher
   generation than before, independent of clocks.  */
Test (orders, generation_increases_with_each_start)
{
  char *before;
  char *after;

  start ();
  request_version (2);
  cr_expect (gets_loaded (2));
  before
      = wy_platform_store_value (w.store, "wy-orderers", target, "generation");
  wy_orderer_daemon_free (d);
  platform_fixture_run_ms (&w, 20);
  start_daemon ();
  request_version (3);
  cr_expect (gets_loaded (3));
  after
      = wy_platform_store_value (w.store, "wy-orderers", target, "generation");
  cr_expect_gt (atoll (after), atoll (before));
  g_free (before);
  g_free (after);
  stop ();
}

/* The replica has restarted with an old version: it must receive a new
   order.  */
Test (orders, restarted_replica_is_ordered_again)
{
  start ();
  request_version (2);
  cr_expect (gets_loaded (2));
  wy_platform_replica_set_version (w.replicas[0], 1);
  cr_expect (gets_loaded (2));
  stop ();
}

/* The replica accepts an order and restarts before it has loaded, under the
   same id and with the count of orders that the orderer last saw.  The version
   must be ordered again at once and not after the order's retry interval.  */
Test (orders, restart_clears_order_in_progress)
{
  start ();
  wy_platform_replica_faults (w.replicas[0])->order_load_ms = 60000;
  request_version (2);
  cr_assert (platform_fixture_run_until (&w, has_ordered, NULL));
  wy_platform_replica_faults (w.replicas[0])->order_load_ms = 0;
  wy_platform_replica_restart (w.replicas[0]);
  cr_assert (platform_fixture_run_until (&w, has_cleared_order, NULL));
  cr_expect_lt (wy_orderer_now_ms (d) - ordered_ms, 1500);
  cr_expect (gets_loaded (2));
  stop ();
}

/* Restart the replica whenever it has accepted an order, for MS, and return
   how many there were.  */
static uint32_t
count_crashing_loads (int64_t ms)
{
  int64_t until_ms = wy_orderer_now_ms (d) + ms;
  uint32_t n = 0;

  while (wy_orderer_now_ms (d) < until_ms)
    {
      platform_fixture_run_ms (&w, 20);
      if (wy_platform_replica_orders (w.replicas[0]) == 0)
        continue;
      n++;
      wy_platform_replica_restart (w.replicas[0]);
    }
  return n;
}

/* Each load of a version crashes the replica.  Guards against a replica that
   is ordered to crash as often as it starts.  */
Test (orders, loads_that_crash_the_replica)
{
  start ();
  wy_platform_replica_faults (w.replicas[0])->order_load_ms = 60000;
  request_version (2);
  cr_expect_geq (count_crashing_loads (3000), 3);
  cr_expect_leq (count_crashing_loads (6000), 3);
  wy_platform_replica_faults (w.replicas[0])->order_load_ms = 0;
  cr_expect (gets_loaded (2));
  stop ();
}

/* Each load of a version crashes the replica, and the orderer starts again
   after each.  Guards against an orderer that forgets the crashes.  */
Test (orders, interrupted_loads_outlive_the_orderer)
{
  uint32_t crashes = 0;

  start ();
  wy_platform_replica_faults (w.replicas[0])->order_load_ms = 60000;
  request_version (2);
  cr_expect_geq (count_crashing_loads (3000), 3);
  platform_fixture_run_ms (&w, 300);
  for (int i = 0; i < 6; i++)
    {
      wy_orderer_daemon_free (d);
      platform_fixture_run_ms (&w, 20);
      start_daemon ();
      crashes += count_crashing_loads (1000);
    }
  cr_expect_leq (crashes, 3, "%u", crashes);
  wy_platform_replica_faults (w.replicas[0])->order_load_ms = 0;
  cr_expect (gets_loaded (2));
  stop ();
}

/* The store is unreachable when the orderer starts.  Without a generation it
   must not send orders; once the store is reachable, it must.  */
Test (orders, no_order_without_a_generation)
{
  platform_fixture_init (&w);
  platform_fixture_free (&w);
  start ();
  wy_platform_store_faults (w.store)->respond_503 = 1000000;
  request_version (2);
  platform_fixture_run_ms (&w, 300);
  cr_expect_eq (wy_platform_replica_orders (w.replicas[0]), 0);
  wy_platform_store_faults (w.store)->respond_503 = 0;
  cr_expect (gets_loaded (2));
  stop ();
}

/* The orderer's metrics show its orders.  */
Test (orders, metrics)
{
  char metrics[32];
  struct platform_response *a;
  struct wy_h1_header host = { "Host", "m" };

  start ();
  wy_orderer_daemon_free (d);
  platform_fixture_run_ms (&w, 50);
  snprintf (metrics, sizeof metrics, "127.0.0.1:%u",
            platform_fixture_free_port (&w));
  settings.metrics = metrics;
  start_daemon ();
  request_version (2);
  cr_expect (gets_loaded (2));
  platform_fixture_run_ms (&w, 300);
  a = platform_fixture_call (&w, wy_h1_server_port (d->metrics.server), "GET",
                             "/metrics", &host, 1, NULL);
  cr_assert (platform_fixture_run_until (&w, platform_response_done, a));
  cr_expect_eq (a->status, 200);
  cr_expect_not_null (strstr (a->body->str, "\nwy_orderer_version_held 2\n"),
                      "%s", a->body->str);
  cr_expect_not_null (
      strstr (a->body->str, "wy_orderer_orders_total{outcome=\"accepted\"}"));
  platform_response_free (a);
  stop ();
}

/* The replica of a machine that has just started is not listed yet.  No call
   may be sent to it until it is listed.  */
Test (orders, no_call_before_it_is_listed)
{
  char *entry;

  start ();
  wy_orderer_daemon_free (d);
  platform_fixture_run_ms (&w, 50);
  entry = wy_platform_replica_row_value (w.replicas[0], "svc", "ready", NULL);
  wy_platform_store_delete (w.store, WY_REPLICA_TABLE, "", "i-1");
  start_daemon ();
  request_version (2);
  platform_fixture_run_ms (&w, 700);
  cr_expect_eq (wy_platform_replica_connections (w.replicas[0]), 0);
  wy_platform_store_put (w.store, WY_REPLICA_TABLE, "", "i-1", entry);
  cr_expect (gets_loaded (2));
  g_free (entry);
  stop ();
}

enum
{
  OTHERS = 1100
};

/* List OTHERS replicas at the address IP.  */
static void
list_others (const char *ip)
{
  for (int i = 0; i < OTHERS; i++)
    {
      char id[16];
      char value[192];

      snprintf (id, sizeof id, "a-%04d", i);
      snprintf (value, sizeof value,
                "{\"service\":\"svc\",\"address\":\"%s:%d\","
                "\"zone\":\"z1\",\"slots\":4,\"state\":\"ready\"}",
                ip, 1 + i);
      wy_platform_store_put (w.store, WY_REPLICA_TABLE, "", id, value);
    }
}

/* Guards against a replica beyond the first page of the list that never
   receives orders.  */
Test (orders, long_list_of_replicas)
{
  start ();
  wy_orderer_daemon_free (d);
  platform_fixture_run_ms (&w, 50);
  list_others ("127.0.0.1");
  start_daemon ();
  platform_fixture_run_ms (&w, 500);
  cr_assert_not_null (d);
  cr_expect_str_eq (d->id, "i-1");
  cr_expect_eq (d->replicas, OTHERS + 1);
  cr_expect_eq (d->rank, OTHERS);
  stop ();
}

static uint64_t
list_rows_read (void)
{
  struct wy_rows_stats s;

  wy_rows_stats (d->rows, &s);
  return wy_traffic_counters (&s.traffic, WY_REPLICA_TABLE)->rows_read;
}

/* Guards against reading the list of replicas for each version.  */
Test (orders, list_is_not_read_for_each_version)
{
  uint64_t rows;

  start ();
  list_others ("127.0.0.2");
  request_version (2);
  cr_expect (gets_loaded (2));
  rows = list_rows_read ();
  for (int64_t version = 3; version < 6; version++)
    {
      request_version (version);
      cr_expect (gets_loaded (version));
    }
  cr_expect_eq (list_rows_read (), rows);
  stop ();
}

static bool
has_relays (void *ctx)
{
  return d->relays_due_ms && !d->reading_relays;
}

/* Guards against orderers that read the addresses of all entries.  */
Test (orders, few_addresses_are_read)
{
  enum
  {
    ENTRIES = 400
  };
  struct wy_rows_stats s;

  start ();
  wy_orderer_daemon_free (d);
  platform_fixture_run_ms (&w, 50);
  for (uint64_t i = 0; i < ENTRIES; i++)
    {
      uint64_t position = wy_hash64 (&i, sizeof i, 0);
      char part[WY_MEMBERS_PARTITION_SIZE_BYTES];
      char key[WY_MEMBERS_KEY_SIZE_BYTES];

      wy_members_partition (position, part);
      wy_members_key (position, key);
      wy_platform_store_put (w.store, WY_ADDRESSES_TABLE, part, key,
                             "127.0.0.1:9");
    }
  start_daemon ();
  cr_assert (platform_fixture_run_until (&w, has_relays, NULL));
  wy_rows_stats (d->rows, &s);
  cr_expect_geq (d->n_relays, 4);
  cr_expect_leq (
      wy_traffic_counters (&s.traffic, WY_ADDRESSES_TABLE)->rows_read,
      2 * (uint64_t)WY_ORDERER_RELAYS_MAX);
  stop ();
}

/* Add COUNT replicas at the address IP to the list.  */
static void
list_at (const char *ip, int count)
{
  for (int i = 0; i < count; i++)
    {
      char id[32];
      char value[192];

      snprintf (id, sizeof id, "%s-%d", ip, i);
      snprintf (value, sizeof value,
                "{\"service\":\"svc\",\"address\":\"%s:%d\","
                "\"zone\":\"z1\",\"slots\":4,\"state\":\"ready\"}",
                ip, 1 + i);
      wy_platform_store_put (w.store, WY_REPLICA_TABLE, "", id, value);
    }
}

/* Let the service have the models "o" and "m".  */
static void
set_models (void)
{
  struct wy_service *s;

  d->routing = wy_routing_new ();
  s = wy_routing_add_service (d->routing);
  s->name = g_strdup ("svc");
  s->slots = 4;
  g_ptr_array_add (s->models, g_strdup ("o"));
  g_ptr_array_add (s->models, g_strdup ("m"));
}

static bool
is_scheduled (void *ctx)
{
  return d->n_versions && d->versions[0].due_ms;
}

/* The replica is the sixth of nine.  By equal shares it belongs to "m"; but
   the jobs of "o" need 20 slots, and "m" has none.  Guards against loads for a
   model without jobs while another lacks replicas.  */
Test (orders, replicas_are_divided_by_demand)
{
  start ();
  wy_platform_store_put (
      w.store, WY_DEMAND_TABLE, "svc", "o",
      "{\"slots\":20,\"priority\":0,\"at_ms\":4000000000000}");
  list_at ("127.0.0.0", 5);
  list_at ("127.0.0.2", 3);
  settings.replica_shares = WY_REPLICA_SHARES_DEMAND;
  set_models ();
  request_version (2);
  cr_assert (platform_fixture_run_until (&w, is_scheduled, NULL));
  cr_expect_eq (d->replicas, 9);
  cr_expect_eq (d->rank, 5);
  cr_expect (d->shares.by_need);
  cr_expect_eq (d->shares.counts[0], 8);
  cr_expect_eq (d->shares.counts[1], 1);
  cr_expect_not (d->versions[0].selected);
  stop ();
}

/* The same with the setting "equal": the demands change nothing.  */
Test (orders, equal_shares_ignore_demands)
{
  start ();
  wy_platform_store_put (
      w.store, WY_DEMAND_TABLE, "svc", "o",
      "{\"slots\":20,\"priority\":0,\"at_ms\":4000000000000}");
  list_at ("127.0.0.0", 5);
  list_at ("127.0.0.2", 3);
  set_models ();
  request_version (2);
  cr_assert (platform_fixture_run_until (&w, is_scheduled, NULL));
  cr_expect_not (d->shares.by_need);
  cr_expect (d->versions[0].selected);
  stop ();
}
