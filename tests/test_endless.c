/* Servers that send bytes without end which are no answer, in a head or a
   body.  Each client of ours must close the connection after a bounded time
   and number of bytes, and go on.  */
#include <criterion/criterion.h>
#include <string.h>

#include "duties/calls.h"
#include "gate/peer_call.h"
#include "gate/proxy.h"
#include "gate/sse.h"
#include "orders/orderer.h"
#include "platform/replica_wire.h"
#include "standin/endless.h"
#include "support/duty_fixture.h"
#include "support/job_fixture.h"

enum
{
  /* In buffers of the two sockets, whatever the client reads.  */
  BUFFERED_BYTES = 12 << 20,
  /* The longest response to a request that is kept.  */
  RESPONSE_BYTES = 16 << 20,
  REQUESTS = 8,
  ANSWERED_MS = 1000,
  JOB_MS = 15000
};

static struct wy_endless endless;
static struct platform_fixture w;
static struct wy_h1_server *server;

static int64_t
now_ms (void)
{
  return wy_clock_mono_ms (wy_clock_system ());
}

/* List a replica of SERVICE, with MODEL unless it is NULL, which never stops
   sending.  */
static void
add_endless (struct platform_fixture *f, const char *service,
             const char *model)
{
  struct wy_replica info = { .id = "i-endless",
                             .address = platform_loopback (endless.port),
                             .slots = 12 };

  g_strlcpy (info.service, service, sizeof info.service);
  if (model)
    {
      info.n_models = 1;
      g_strlcpy (info.models[0].model, model, sizeof info.models[0].model);
      info.models[0].version = 1;
    }
  wy_targets_set (f->env.targets, &info);
}

static bool
is_closed (void *ctx)
{
  return endless.open == 0;
}

/* Expect that all connections to the server are closed, and that none took
   more than LIMIT_BYTES.  */
static void
expect_closed (struct platform_fixture *f, uint64_t limit_bytes)
{
  cr_expect_gt (endless.opened, 0, "kind %d", endless.kind);
  cr_expect (platform_fixture_run_until (f, is_closed, NULL),
             "kind %d: %u open", endless.kind, endless.open);
  cr_expect_leq (endless.sent_max_bytes, limit_bytes + BUFFERED_BYTES,
                 "kind %d: %llu bytes", endless.kind,
                 (unsigned long long)endless.sent_max_bytes);
}

static void
on_request (void *ctx, struct wy_h1_request *r)
{
  wy_proxy_start (&w.env, r,
                  wy_routing_match (w.env.routing, "h", wy_h1_target (r)),
                  NULL);
}

static void
send_requests (void)
{
  for (int i = 0; i < REQUESTS; i++)
    {
      struct wy_h1_header fields[] = { { "Host", "h" },
                                       { "Attempt-Id", "a-1" },
                                       { "Deadline-Milliseconds", "4000" } };
      int64_t sent_ms = now_ms ();
      struct platform_response *a;

      /* The other replica gets the request then.  */
      wy_platform_replica_faults (w.replicas[0])->respond_not_run = 1;
      a = platform_fixture_call (&w, wy_h1_server_port (server), "POST",
                                 "/p/x", fields, 3, "good");
      cr_assert (platform_fixture_run_until (&w, platform_response_done, a));
      cr_expect_eq (a->status, 200, "kind %d: %d", endless.kind, a->status);
      cr_expect_str_eq (a->body->str, "good");
      cr_expect_leq (now_ms () - sent_ms, ANSWERED_MS, "kind %d",
                     endless.kind);
      platform_response_free (a);
    }
}

/* Guards against a caller that gets such bytes, or waits for their end, where
   another replica is sound.  */
Test (endless, requests)
{
  for (int kind = 0; kind < WY_ENDLESS_KINDS; kind++)
    {
      struct wy_h1_server_options o
          = { .loop = &w.loop,
              .host = "127.0.0.1",
              .limits = { 65536, 1 << 20, 1000, 10000, 1 << 24 },
              .on_request = on_request };

      platform_fixture_init (&w);
      platform_fixture_add_env (&w, "n1");
      platform_fixture_set_routing (&w, WY_ROUTE_IDEMPOTENT, 2);
      cr_assert_eq (wy_h1_server_new (&server, &o), 0);
      platform_fixture_add_replica (&w, NULL, 0);
      cr_assert (wy_endless_start (&endless, &w.loop, kind));
      add_endless (&w, "svc", NULL);
      send_requests ();
      expect_closed (&w, RESPONSE_BYTES);
      wy_endless_stop (&endless);
      wy_h1_server_free (server);
      platform_fixture_free (&w);
    }
}

/* Guards against items that are held by such a replica, and against memory
   that grows with what it sends.  */
Test (endless, items)
{
  for (int kind = 0; kind < WY_ENDLESS_KINDS; kind++)
    {
      int64_t begin_ms;

      job_fixture_start (1);
      cr_assert (wy_endless_start (&endless, &job_fixture.loop, kind));
      add_endless (&job_fixture, "svc", "m");
      begin_ms = now_ms ();
      cr_expect_eq (job_fixture_submit ("j1", 1), 202);
      for (int i = 0; i < JOB_ITEMS; i++)
        json_decref (job_fixture_await_result ("j1", (uint32_t)i));
      cr_expect_leq (now_ms () - begin_ms, JOB_MS, "kind %d: %d ms", kind,
                     (int)(now_ms () - begin_ms));
      job_fixture_check_results ("j1");
      expect_closed (&job_fixture, WY_SSE_EVENT_MAX_BYTES);
      wy_endless_stop (&endless);
      job_fixture_stop ();
    }
}

/* The same for calls that score texts.  */
Test (endless, scores)
{
  for (int kind = 0; kind < WY_ENDLESS_KINDS; kind++)
    {
      char *body = job_fixture_scored_body ("h", "c2NvcmU=");

      job_fixture_start (1);
      platform_fixture_add_scorer (&job_fixture, "h");
      cr_assert (wy_endless_start (&endless, &job_fixture.loop, kind));
      add_endless (&job_fixture, "desk", NULL);
      cr_expect_eq (job_fixture_submit_body ("j1", body), 202);
      for (int i = 0; i < JOB_ITEMS; i++)
        json_decref (job_fixture_await_result ("j1", (uint32_t)i));
      job_fixture_check_results ("j1");
      expect_closed (&job_fixture, 1 << 20);
      wy_endless_stop (&endless);
      job_fixture_stop ();
      g_free (body);
    }
}

static bool
is_set (void *ctx)
{
  return *(bool *)ctx;
}

static void
on_rows (void *ctx, const struct wy_rows_result *r)
{
  cr_expect_neq (r->err, 0);
  *(bool *)ctx = true;
}

/* The store, or an entry that relays calls to it, sends such bytes.  Guards
   against calls without end and objects without end.  */
Test (endless, store)
{
  for (int kind = 0; kind < WY_ENDLESS_KINDS; kind++)
    for (int object = 0; object <= 1; object++)
      {
        struct wy_rows_options o = { .loop = &w.loop,
                                     .clock = wy_clock_system (),
                                     .object_bytes = 1 << 20 };
        struct wy_rows_range range = { .table = "t", .partition = "" };
        struct wy_rows *rows;
        bool done = false;

        platform_fixture_init (&w);
        platform_fixture_add_env (&w, "n1");
        cr_assert (wy_endless_start (&endless, &w.loop, kind));
        o.http = w.env.http;
        o.address = platform_loopback (endless.port);
        rows = wy_rows_new (&o);
        if (object)
          wy_rows_get_object (rows, "o", on_rows, &done);
        else
          wy_rows_get (rows, &range, on_rows, &done);
        cr_expect (platform_fixture_run_until (&w, is_set, &done), "kind %d",
                   kind);
        expect_closed (&w, 4 << 20);
        wy_endless_stop (&endless);
        wy_rows_free (rows);
        platform_fixture_free (&w);
      }
}

static void
on_peer (void *ctx, const json_t *doc)
{
  cr_expect_null (doc);
  *(bool *)ctx = true;
}

/* The same of another entry.  */
Test (endless, peers)
{
  for (int kind = 0; kind < WY_ENDLESS_KINDS; kind++)
    {
      json_t *doc = json_object ();
      bool done = false;
      struct wy_peer_call_options o = { .env = &w.env,
                                        .target = "/x",
                                        .doc = doc,
                                        .timeout_ms = 400,
                                        .on_end = on_peer,
                                        .ctx = &done };

      platform_fixture_init (&w);
      platform_fixture_add_env (&w, "n1");
      cr_assert (wy_endless_start (&endless, &w.loop, kind));
      o.address = platform_loopback (endless.port);
      wy_peer_call_start (&o);
      cr_expect (platform_fixture_run_until (&w, is_set, &done));
      expect_closed (&w, 1 << 20);
      wy_endless_stop (&endless);
      json_decref (doc);
      platform_fixture_free (&w);
    }
}

/* The same of the replica that an orderer asks for its state.  Guards against
   a report that grows without end.  */
Test (endless, orderer)
{
  for (int kind = 0; kind < WY_ENDLESS_KINDS; kind++)
    {
      struct wy_orders_settings settings = { .name = "side-1",
                                             .service = "svc",
                                             .metrics = "",
                                             .seeds = g_ptr_array_new () };
      struct wy_orderer_daemon_options o = { .loop = &w.loop,
                                             .clock = wy_clock_system (),
                                             .settings = &settings };
      struct wy_orderer_daemon *d;
      char target[32];
      char store[32];
      char *row;

      platform_fixture_init (&w);
      platform_fixture_add_env (&w, "unused");
      cr_assert (wy_endless_start (&endless, &w.loop, kind));
      row = g_strdup_printf ("{\"service\":\"svc\",\"address\":\"127.0.0.1:%u"
                             "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":"
                             "1,\"state\":\"ready\",\"models\":[],\"born\":1}",
                             endless.port);
      wy_platform_store_put (w.store, WY_REPLICA_TABLE, "", "i-1", row);
      g_free (row);
      snprintf (target, sizeof target, "127.0.0.1:%u", endless.port);
      snprintf (store, sizeof store, "127.0.0.1:%u",
                wy_platform_store_port (w.store));
      settings.target = target;
      settings.store = store;
      cr_assert_eq (wy_orderer_daemon_new (&d, &o), 0);
      platform_fixture_run_ms (&w, 1000);
      wy_orderer_daemon_free (d);
      expect_closed (&w, 1 << 20);
      wy_endless_stop (&endless);
      g_ptr_array_free (settings.seeds, TRUE);
      platform_fixture_free (&w);
    }
}

static void
on_duty (void *ctx, enum wy_duty_outcome outcome, int status)
{
  *(bool *)ctx = true;
}

/* The same of the platform that the leader calls.  */
Test (endless, duties)
{
  for (int kind = 0; kind < WY_ENDLESS_KINDS; kind++)
    {
      struct duty_entry e = { .is_candidate = true };
      struct wy_duty_calls_options o
          = { .clock = wy_clock_system (), .node = "n1" };
      struct wy_duty_calls *calls;
      char address[32];
      bool done = false;

      duty_fixture_start ();
      duty_entry_start (&e, "n1");
      cr_assert (platform_fixture_run_until (&duty_fixture,
                                             duty_entry_is_leader, &e));
      cr_assert (wy_endless_start (&endless, &duty_fixture.loop, kind));
      snprintf (address, sizeof address, "127.0.0.1:%u", endless.port);
      o.loop = &duty_fixture.loop;
      o.http = e.http;
      o.election = e.election;
      o.address = address;
      cr_assert_eq (wy_duty_calls_new (&calls, &o), 0);
      cr_assert (wy_duty_call (calls, "/x", "{}", 2, on_duty, &done));
      cr_expect (platform_fixture_run_until (&duty_fixture, is_set, &done));
      expect_closed (&duty_fixture, 1 << 20);
      wy_endless_stop (&endless);
      wy_duty_calls_free (calls);
      duty_entry_kill (&e);
      duty_fixture_stop ();
    }
}
