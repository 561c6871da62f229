/* Forwarding of callers' requests to replicas.  */
#include <criterion/criterion.h>
#include <string.h>

#include "gate/proxy.h"
#include "platform/replica_wire.h"
#include "support/platform_fixture.h"
#include "support/stream_replica.h"

static struct platform_fixture w;
static struct wy_h1_server *server;

static void
on_request (void *ctx, struct wy_h1_request *r)
{
  wy_proxy_start (&w.env, r,
                  wy_routing_match (w.env.routing, "h", wy_h1_target (r)),
                  NULL);
}

static void
start (enum wy_route_kind kind, uint32_t attempts)
{
  struct wy_h1_server_options o
      = { .loop = &w.loop,
          .host = "127.0.0.1",
          .limits = { 65536, 1 << 20, 1000, 10000, 1 << 24 },
          .on_request = on_request };

  platform_fixture_init (&w);
  platform_fixture_add_env (&w, "n1");
  platform_fixture_set_routing (&w, kind, attempts);
  cr_assert_eq (wy_h1_server_new (&server, &o), 0);
}

static void
stop (void)
{
  wy_h1_server_free (server);
  platform_fixture_free (&w);
}

static struct platform_response *
start_request (const char *time_left_ms)
{
  struct wy_h1_header fields[] = { { "Host", "h" },
                                   { "Attempt-Id", "a-1" },
                                   { "Deadline-Milliseconds", time_left_ms } };

  return platform_fixture_call (&w, wy_h1_server_port (server), "POST", "/p/x",
                                fields, 3, "hello");
}

static struct platform_response *
send_request (const char *time_left_ms)
{
  struct platform_response *a = start_request (time_left_ms);

  cr_assert (platform_fixture_run_until (&w, platform_response_done, a));
  return a;
}

static uint32_t
total_runs (void)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < w.n_replicas; i++)
    n += wy_platform_replica_runs (w.replicas[i]);
  return n;
}

/* Each row: a fault of the first replica, the kind of route, and the expected
   status and number of runs.  */
enum fault
{
  NONE,
  REFUSE,
  FAIL,
  LOSE,
  FOREIGN,
  UNSTAMPED,
  RAN_503
};

static const struct
{
  enum fault fault;
  enum wy_route_kind kind;
  int status;
  uint32_t runs;
} rows[] = {
  { NONE, WY_ROUTE_IDEMPOTENT, 200, 1 },
  { NONE, WY_ROUTE_NON_IDEMPOTENT, 200, 1 },
  { REFUSE, WY_ROUTE_IDEMPOTENT, 200, 1 },
  { REFUSE, WY_ROUTE_NON_IDEMPOTENT, 200, 1 },
  { FAIL, WY_ROUTE_IDEMPOTENT, 200, 2 },
  { FAIL, WY_ROUTE_NON_IDEMPOTENT, 500, 1 },
  { LOSE, WY_ROUTE_IDEMPOTENT, 200, 2 },
  { LOSE, WY_ROUTE_NON_IDEMPOTENT, 502, 1 },
  { FOREIGN, WY_ROUTE_IDEMPOTENT, 200, 2 },
  { FOREIGN, WY_ROUTE_NON_IDEMPOTENT, 502, 1 },
  { UNSTAMPED, WY_ROUTE_IDEMPOTENT, 200, 2 },
  { UNSTAMPED, WY_ROUTE_NON_IDEMPOTENT, 502, 1 },
  { RAN_503, WY_ROUTE_IDEMPOTENT, 200, 2 },
  { RAN_503, WY_ROUTE_NON_IDEMPOTENT, 502, 1 },
};

static void
inject (struct wy_platform_replica_faults *f, enum fault fault)
{
  switch (fault)
    {
    case NONE:
      break;
    case REFUSE:
      f->respond_not_run = 1;
      break;
    case FAIL:
      f->respond_500 = 1;
      break;
    case LOSE:
      f->lose_response = 1;
      break;
    case FOREIGN:
      f->wrong_attempt_id = 1;
      break;
    case UNSTAMPED:
      f->omit_stamp = 1;
      break;
    case RAN_503:
      f->respond_503_after_run = 1;
      break;
    }
}

/* A replica has one of the faults.  The caller must get the complete response
   to its own request, from another replica if the request may run again.  A
   non-idempotent request must never run twice.  */
Test (proxy, replica_faults)
{
  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++)
    {
      struct platform_response *a;

      start (rows[i].kind, 2);
      inject (wy_platform_replica_faults (
                  platform_fixture_add_replica (&w, NULL, 0)),
              rows[i].fault);
      /* The second replica is in another availability zone, so that the faulty
         one is chosen first.  */
      a = NULL;
      if (rows[i].fault != NONE)
        {
          struct wy_replica far = wy_targets_find (w.env.targets, "i-1")->info;

          platform_fixture_add_replica (&w, NULL, 0);
          far = wy_targets_find (w.env.targets, "i-2")->info;
          g_strlcpy (far.availability_zone, "far",
                     sizeof far.availability_zone);
          wy_targets_set (w.env.targets, &far);
        }
      a = send_request ("1500");
      cr_expect_eq (a->status, rows[i].status, "row %zu: %d", i, a->status);
      if (a->status == 200)
        cr_expect_str_eq (a->body->str, "hello", "row %zu", i);
      cr_expect_eq (total_runs (), rows[i].runs, "row %zu: %u runs", i,
                    total_runs ());
      platform_response_free (a);
      stop ();
    }
}

#define REJECTION                                                             \
  "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: a-1\r\n"                   \
  "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

/* Guards against a non-idempotent request that runs twice: a second copy of
   its rejection comes late, after it was sent to the same replica again.  */
Test (proxy, late_copy_of_a_rejection)
{
  static const struct stream_script scripts[]
      = { { { { .kind = STREAM_TEXT, .text = REJECTION },
              { .kind = STREAM_TEXT, .wait_ms = 130, .text = REJECTION } } },
          { { { .kind = STREAM_TEXT,
                .wait_ms = 300,
                .text = "HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\n"
                        "Response-Stamp: s\r\nContent-Length: 2\r\n\r\n"
                        "ok" } } } };
  struct stream_replica_options o
      = { .name = "A", .scripts = scripts, .n_scripts = 2 };
  struct wy_replica info = { .id = "A", .service = "svc", .slots = 4 };
  struct stream_replica *r;
  struct platform_response *a;

  start (WY_ROUTE_NON_IDEMPOTENT, 2);
  o.loop = &w.loop;
  r = stream_replica_new (&o);
  info.address = stream_replica_address (r);
  wy_targets_set (w.env.targets, &info);
  a = send_request ("1500");
  cr_expect_eq (a->status, 200, "%d", a->status);
  cr_expect_eq (stream_replica_runs (r), 2, "%u sends",
                stream_replica_runs (r));
  platform_response_free (a);
  stream_replica_free (r);
  stop ();
}

/* Without a replica the request must be rejected at once with Retry-After, not
   at its deadline.  */
Test (proxy, no_target_fails_at_once)
{
  struct platform_response *a;
  int64_t started_ms;

  start (WY_ROUTE_IDEMPOTENT, 2);
  started_ms = wy_clock_mono_ms (wy_clock_system ());
  a = send_request ("10000");
  cr_expect_eq (a->status, 503);
  cr_expect_not_null (a->retry_after);
  cr_expect_lt (wy_clock_mono_ms (wy_clock_system ()) - started_ms, 5000);
  platform_response_free (a);
  stop ();
}

/* Neither replica responds.  At its deadline the caller must get a response
   that does not claim that the request has not run.  */
Test (proxy, unresponsive_replicas_time_out)
{
  struct platform_response *a;

  start (WY_ROUTE_IDEMPOTENT, 2);
  for (int i = 0; i < 2; i++)
    wy_platform_replica_faults (platform_fixture_add_replica (&w, NULL, 0))
        ->silent
        = true;
  a = send_request ("500");
  cr_expect_eq (a->status, 504);
  cr_expect_null (a->response_stamp);
  platform_response_free (a);
  stop ();
}

/* The first replica does not respond.  An idempotent request must get the
   second replica's response long before the deadline.  */
Test (proxy, unresponsive_replica_is_hedged)
{
  struct platform_response *a;
  struct wy_replica far;

  start (WY_ROUTE_IDEMPOTENT, 2);
  wy_platform_replica_faults (platform_fixture_add_replica (&w, NULL, 0))
      ->silent
      = true;
  platform_fixture_add_replica (&w, NULL, 0);
  far = wy_targets_find (w.env.targets, "i-2")->info;
  g_strlcpy (far.availability_zone, "far", sizeof far.availability_zone);
  wy_targets_set (w.env.targets, &far);
  a = send_request ("1900");
  cr_expect_eq (a->status, 200);
  cr_expect_eq (*w.env.count.hedges, 1);
  platform_response_free (a);
  stop ();
}

/* Guards against an error that is passed on while a hedge, which took the last
   attempt, would still succeed.  */
Test (proxy, error_while_a_hedge_runs)
{
  struct platform_response *a;
  struct wy_platform_replica_faults *f;
  struct wy_replica far;

  start (WY_ROUTE_IDEMPOTENT, 2);
  f = wy_platform_replica_faults (platform_fixture_add_replica (&w, NULL, 0));
  f->response_ms = 200;
  f->respond_500 = 1;
  f = wy_platform_replica_faults (platform_fixture_add_replica (&w, NULL, 0));
  f->response_ms = 400;
  far = wy_targets_find (w.env.targets, "i-2")->info;
  g_strlcpy (far.availability_zone, "far", sizeof far.availability_zone);
  wy_targets_set (w.env.targets, &far);
  a = send_request ("1900");
  cr_expect_eq (a->status, 200, "%d", a->status);
  cr_expect_eq (*w.env.count.hedges, 1);
  platform_response_free (a);
  stop ();
}

/* A replica does not respond.  After the first request sent to it was hedged,
   the next ones must go to another replica at once, or each caller would wait
   for the hedge.  */
Test (proxy, unresponsive_replica_is_avoided)
{
  struct platform_response *a;
  struct wy_replica far;

  start (WY_ROUTE_IDEMPOTENT, 2);
  wy_platform_replica_faults (platform_fixture_add_replica (&w, NULL, 0))
      ->silent
      = true;
  platform_fixture_add_replica (&w, NULL, 0);
  far = wy_targets_find (w.env.targets, "i-2")->info;
  g_strlcpy (far.availability_zone, "far", sizeof far.availability_zone);
  wy_targets_set (w.env.targets, &far);
  a = send_request ("1900");
  platform_response_free (a);
  cr_assert_eq (*w.env.count.hedges, 1);
  a = send_request ("1900");
  cr_expect_eq (a->status, 200);
  cr_expect_eq (*w.env.count.hedges, 1);
  platform_response_free (a);
  stop ();
}

/* A stream is interrupted in the middle of an event.  The caller must get each
   event complete and once, from any replica, and a regular end.  */
Test (proxy, interrupted_stream_resumes_on_another_replica)
{
  struct platform_response *a;
  GString *want = g_string_new (NULL);
  char text[64];

  start (WY_ROUTE_STREAM, 3);
  for (int i = 0; i < 2; i++)
    {
      struct wy_platform_replica_faults *f = wy_platform_replica_faults (
          platform_fixture_add_replica (&w, "m", 8));

      f->abort_streams = 1;
      f->abort_after_events = 3;
    }
  a = send_request ("1900");
  for (uint32_t i = 1; i <= 8; i++)
    g_string_append_printf (
        want, "id: %u\ndata: %s\n\n", i,
        wy_platform_replica_event_data (i, text, sizeof text));
  cr_expect_eq (a->err, 0);
  cr_expect_eq (a->status, 200);
  cr_expect_str_eq (a->body->str, want->str);
  g_string_free (want, TRUE);
  platform_response_free (a);
  stop ();
}

static bool
nothing_runs (void *ctx)
{
  return wy_platform_replica_running (ctx) == 0;
}

static bool
something_runs (void *ctx)
{
  return wy_platform_replica_running (ctx) > 0;
}

/* When the caller hangs up, the run on the replica must be cancelled.  */
Test (proxy, hangup_reaches_the_replica)
{
  struct platform_response *a;
  struct wy_platform_replica *r;

  start (WY_ROUTE_STREAM, 2);
  r = platform_fixture_add_replica (&w, "m", 1000);
  a = start_request ("1900");
  cr_assert (platform_fixture_run_until (&w, something_runs, r));
  platform_response_free (a);
  cr_expect (platform_fixture_run_until (&w, nothing_runs, r));
  stop ();
}

/* Load: the only replica is full for longer than the time until a request
   would be hedged.  The request has not run anywhere, so its caller must get
   503, after which it can send it again, and not 502.  */
Test (proxy, full_service_is_reported_as_not_run)
{
  struct platform_response *a;

  start (WY_ROUTE_IDEMPOTENT, 2);
  wy_platform_replica_faults (platform_fixture_add_replica (&w, NULL, 0))
      ->respond_not_run
      = 1000000;
  a = send_request ("60000");
  cr_expect_eq (a->status, 503);
  cr_expect_not_null (a->retry_after);
  cr_expect_eq (*w.env.count.hedges, 0);
  platform_response_free (a);
  stop ();
}

static uint64_t
told_by_rate (void)
{
  return *wy_metrics_family_counter (w.env.count.told,
                                     "reason=\"full\",basis=\"rate\"");
}

/* Load: a burst of callers on a full service whose rate is known.  If all
   are told the same time, they return together and are rejected again.  Each
   must be told another time, and the metrics must say that those who
   returned were served.  */
Test (proxy, rejected_callers_are_told_different_times)
{
  enum
  {
    SAMPLES = 5,
    BURST = 8
  };
  struct platform_response *a[BURST];
  struct wy_platform_replica_faults *f;
  GHashTable *times = g_hash_table_new (g_str_hash, g_str_equal);
  GString *text = g_string_new (NULL);

  start (WY_ROUTE_IDEMPOTENT, 2);
  f = wy_platform_replica_faults (platform_fixture_add_replica (&w, NULL, 0));
  f->response_ms = 200;
  for (int i = 0; i < SAMPLES; i++)
    platform_response_free (send_request ("1900"));
  f->respond_not_run = 1000000;
  for (int i = 0; i < BURST; i++)
    a[i] = start_request ("60000");
  for (int i = 0; i < BURST; i++)
    {
      cr_assert (
          platform_fixture_run_until (&w, platform_response_done, a[i]));
      cr_expect_eq (a[i]->status, 503, "%d %s", a[i]->status, a[i]->body->str);
      cr_assert_not_null (a[i]->retry_after);
      g_hash_table_add (times, a[i]->retry_after);
    }
  cr_expect_eq (told_by_rate (), BURST);
  cr_expect_eq (g_hash_table_size (times), BURST);
  f->respond_not_run = 0;
  platform_fixture_run_ms (&w, 300);
  platform_response_free (send_request ("1900"));
  wy_metrics_print (w.metrics, text);
  cr_expect (g_regex_match_simple ("returned\\{work=\"request\",time=\"[a-z_]+"
                                   "\",outcome=\"answered\"\\} 1\n",
                                   text->str, 0, 0));
  for (int i = 0; i < BURST; i++)
    platform_response_free (a[i]);
  g_hash_table_destroy (times);
  g_string_free (text, TRUE);
  stop ();
}

/* Load: callers with less time left than a service takes.  One that runs
   occupies a slot for nothing and its caller waits until its deadline.  Once
   the service time is known, they must be rejected at once as not run, except
   for a probe; callers with enough time must be served.  */
Test (proxy, too_little_time_is_rejected_at_once)
{
  enum
  {
    SAMPLES = 20,
    SERVICE_MS = 100
  };
  struct platform_response *a[SAMPLES];
  uint32_t runs;

  start (WY_ROUTE_NON_IDEMPOTENT, 1);
  wy_platform_replica_faults (platform_fixture_add_replica (&w, NULL, 0))
      ->response_ms
      = SERVICE_MS;
  platform_response_free (send_request ("40"));
  cr_expect_eq (total_runs (), 1, "rejected without observations");
  for (int i = 0; i < SAMPLES; i++)
    a[i] = start_request ("1900");
  for (int i = 0; i < SAMPLES; i++)
    {
      cr_assert (
          platform_fixture_run_until (&w, platform_response_done, a[i]));
      cr_expect_eq (a[i]->status, 200);
      platform_response_free (a[i]);
    }
  runs = total_runs ();
  for (int i = 0; i < 3; i++)
    {
      a[i] = send_request ("40");
      cr_expect_eq (a[i]->status, i ? 503 : 504);
      platform_response_free (a[i]);
    }
  cr_expect_eq (total_runs (), runs + 1);
  a[0] = send_request ("1900");
  cr_expect_eq (a[0]->status, 200);
  platform_response_free (a[0]);
  stop ();
}

/* Memory is short.  A request with a body must be rejected as not run, with a
   time to retry after, and one without a body must still be served; under the
   highest level none is.  */
Test (proxy, rejects_new_work_while_memory_is_short)
{
  struct wy_h1_header fields[] = { { "Host", "h" }, { "Attempt-Id", "a-2" } };
  static const int64_t held_bytes[] = { 800, 950 };

  for (size_t i = 0; i < G_N_ELEMENTS (held_bytes); i++)
    {
      struct platform_response *a;

      start (WY_ROUTE_IDEMPOTENT, 2);
      platform_fixture_add_replica (&w, NULL, 0);
      wy_memory_account_init (&w.env.memory, 1000);
      wy_memory_account_add (&w.env.memory, WY_MEMORY_JOBS, held_bytes[i]);
      a = send_request ("1500");
      cr_expect_eq (a->status, 503);
      cr_expect_not_null (a->retry_after);
      cr_expect_eq (total_runs (), 0);
      platform_response_free (a);
      a = platform_fixture_call (&w, wy_h1_server_port (server), "GET", "/p/x",
                                 fields, 2, NULL);
      cr_assert (platform_fixture_run_until (&w, platform_response_done, a));
      cr_expect_eq (a->status, i ? 503 : 200);
      platform_response_free (a);
      stop ();
    }
}
