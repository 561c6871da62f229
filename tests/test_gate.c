/* A complete gate: its listeners, and its responses when its configuration may
   be out of date.  */
#include <criterion/criterion.h>
#include <string.h>

#include <jansson.h>

#include "gate/gate_state.h"
#include "platform/config_wire.h"
#include "support/platform_fixture.h"

static struct platform_fixture w;
static struct wy_gate_settings settings;
static struct wy_gate *gate;
static char addresses[4][32];
static char store[32];

enum
{
  CALLERS,
  READY,
  PEERS,
  METRICS
};

static void
on_stopped (void *ctx)
{
}

static void
choose_addresses (void)
{
  for (int i = 0; i < 4; i++)
    snprintf (addresses[i], sizeof addresses[i], "127.0.0.1:%u",
              platform_fixture_free_port (&w));
}

static bool
is_ready (void *ctx)
{
  return gate->env.routing && wy_watch_is_synced (gate->replica_watch);
}

static void
start (void)
{
  struct wy_gate_options o = { .loop = &w.loop,
                               .clock = wy_clock_system (),
                               .settings = &settings,
                               .on_stopped = on_stopped };

  platform_fixture_init (&w);
  platform_fixture_add_env (&w, "unused");
  platform_fixture_add_replica (&w, NULL, 0);
  choose_addresses ();
  snprintf (store, sizeof store, "127.0.0.1:%u",
            wy_platform_store_port (w.store));
  settings = (struct wy_gate_settings){ .name = "gate-1",
                                        .availability_zone = "z1",
                                        .callers = addresses[CALLERS],
                                        .ready = addresses[READY],
                                        .peers = addresses[PEERS],
                                        .metrics = addresses[METRICS],
                                        .store = store,
                                        .platform = "",
                                        .seeds = g_ptr_array_new (),
                                        .object_bytes = 1 << 20,
                                        .row_bytes = 1 << 16,
                                        .memory_mb = 64,
                                        .cpu_share = 1,
                                        .keep_s = 60,
                                        .grace_s = 2 };
  wy_platform_store_put (
      w.store, WY_OPERATOR_TABLE, "", "config",
      "{\"version\":1,\"routes\":[{\"name\":\"desk\",\"host\":\"h\","
      "\"prefix\":\"/p/\",\"kind\":\"safe\",\"service\":\"svc\","
      "\"attempts\":2,\"timeoutMs\":2000,\"targetLatencyMs\":150}],"
      "\"services\":[{\"name\":\"svc\",\"connectionLimit\":100}],"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,"
      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
  cr_assert_eq (wy_gate_new (&gate, &o), 0);
  cr_assert (platform_fixture_run_until (&w, is_ready, NULL));
}

static void
stop (void)
{
  wy_gate_free (gate);
  platform_fixture_run_ms (&w, 50);
  platform_fixture_free (&w);
}

static struct platform_response *
send_request (int listener, const char *target)
{
  struct wy_h1_header fields[] = { { "Host", "h" }, { "Attempt-Id", "a-1" } };
  uint16_t port = (uint16_t)atoi (strchr (addresses[listener], ':') + 1);
  struct platform_response *a
      = platform_fixture_call (&w, port, "GET", target, fields, 2, NULL);

  cr_assert (platform_fixture_run_until (&w, platform_response_done, a));
  return a;
}

static int
status_of (const char *target)
{
  struct platform_response *a = send_request (CALLERS, target);
  int status = a->status;

  cr_expect_eq (a->retry_after != NULL, status == 503);
  platform_response_free (a);
  return status;
}

/* A route is added while the entry is paused or can't reach the store.  Its
   callers must not get 404, after which they would not retry, but 503 with
   Retry-After.  Known routes are still served.  */
Test (gate, unknown_route_while_store_unreachable)
{
  start ();
  cr_expect_eq (status_of ("/p/x"), 200);
  cr_expect_eq (status_of ("/new/x"), 404);
  wy_platform_store_faults (w.store)->silent = true;
  platform_fixture_run_ms (&w, 2600);
  cr_expect_eq (status_of ("/p/x"), 200);
  cr_expect_eq (status_of ("/new/x"), 503);
  wy_platform_store_faults (w.store)->silent = false;
  platform_fixture_run_ms (&w, 1500);
  cr_expect_eq (status_of ("/new/x"), 404);
  stop ();
}

/* The metrics count requests by route and outcome, and store calls by
   outcome.  */
Test (gate, metrics)
{
  struct platform_response *a;
  const char *text;

  start ();
  cr_expect_eq (status_of ("/p/x"), 200);
  a = send_request (METRICS, "/metrics");
  text = a->body->str;
  cr_expect_not_null (strstr (text,
                              "wy_gate_requests_ended_total{route=\"desk\","
                              "outcome=\"answered\",reason=\"replica\"} 1\n"),
                      "%s", text);
  cr_expect_not_null (strstr (text,
                              "wy_gate_request_us_count{route=\"desk\","
                              "service=\"svc\",outcome=\"answered\"} 1\n"));
  cr_expect_not_null (strstr (text, "wy_gate_store_calls_ended_total{"));
  cr_expect_not_null (strstr (text, "\nwy_gate_jobs_oldest_ms 0\n"));
  platform_response_free (a);
  stop ();
}

/* The status shows the configuration, entries and replicas, and their age.  */
Test (gate, status)
{
  struct platform_response *a;
  json_t *doc;

  start ();
  cr_expect_eq (status_of ("/p/x"), 200);
  platform_fixture_run_ms (&w, 800);
  a = send_request (METRICS, "/v1/status");
  doc = json_loads (a->body->str, 0, NULL);
  cr_assert_not_null (doc, "%s", a->body->str);
  cr_expect_eq (json_integer_value (json_object_get (
                    json_object_get (doc, "config"), "version")),
                1);
  cr_expect_eq (json_array_size (json_object_get (doc, "entries")), 1);
  cr_expect_eq (json_array_size (json_object_get (doc, "replicas")), 1);
  cr_expect_str_eq (
      json_string_value (json_object_get (
          json_array_get (json_object_get (doc, "replicas"), 0), "state")),
      "ready");
  cr_expect_lt (json_integer_value (json_object_get (doc, "replicas_age_ms")),
                2000);
  /* No job runs here, so no need is known.  */
  cr_expect (json_is_array (json_object_get (doc, "models")));
  json_decref (doc);
  platform_response_free (a);
  stop ();
}
