/* Requests that crash the replicas that run them are blocked.  */
#include <criterion/criterion.h>
#include <string.h>

#include "base/id.h"
#include "gate/crash_watch.h"
#include "gate/proxy.h"
#include "gate/suspect_list.h"
#include "standin/scripted.h"
#include "support/job_fixture.h"

enum
{
  FINGERPRINT = 77
};

static const int64_t s_ms = 1000;
static const int64_t ttl_ms = 1800000; /* of a suspicion */

/* The same request may lose its connection several times by network faults and
   must not be blocked for that: only a target that is removed from the list,
   or restarts, has crashed.  */
Test (crashes, lost_connections_do_not_count)
{
  static struct wy_crash_tracker w;

  wy_crash_tracker_init (&w);
  wy_crash_tracker_run_interrupted (&w, FINGERPRINT, 1, 0);
  wy_crash_tracker_run_interrupted (&w, FINGERPRINT, 2, 10);
  wy_crash_tracker_run_interrupted (&w, FINGERPRINT, 3, 20);
  cr_expect_not (wy_crash_tracker_is_blocked (&w, FINGERPRINT, 30));
  cr_expect_eq (wy_crash_tracker_target_crashed (&w, 9, 40).blocked, 0);
  cr_expect_not (wy_crash_tracker_is_blocked (&w, FINGERPRINT, 50));
  /* Too late for the lost connections to be the cause.  */
  cr_expect_eq (wy_crash_tracker_target_crashed (&w, 1, 60 * s_ms).blocked, 0);
  cr_expect_eq (wy_crash_tracker_target_crashed (&w, 2, 60 * s_ms).blocked, 0);
  cr_expect_not (wy_crash_tracker_is_blocked (&w, FINGERPRINT, 60 * s_ms));
}

/* A request crashes each replica that runs it and is sent again.  After the
   second crash it must be blocked; another request that was running during one
   of the crashes must not be.  */
Test (crashes, second_crash_blocks)
{
  static struct wy_crash_tracker w;

  wy_crash_tracker_init (&w);
  wy_crash_tracker_run_interrupted (&w, FINGERPRINT, 1, 0);
  wy_crash_tracker_run_interrupted (&w, FINGERPRINT + 1, 1, 0);
  cr_expect_eq (wy_crash_tracker_target_crashed (&w, 1, 4 * s_ms).blocked, 0);
  cr_expect_not (wy_crash_tracker_is_blocked (&w, FINGERPRINT, 4 * s_ms));
  wy_crash_tracker_run_interrupted (&w, FINGERPRINT, 2, 5 * s_ms);
  cr_expect_eq (wy_crash_tracker_target_crashed (&w, 2, 6 * s_ms).blocked, 1);
  cr_expect (wy_crash_tracker_is_blocked (&w, FINGERPRINT, 7 * s_ms));
  cr_expect_not (wy_crash_tracker_is_blocked (&w, FINGERPRINT + 1, 7 * s_ms));
  wy_crash_tracker_clear (&w, FINGERPRINT);
  cr_expect_not (wy_crash_tracker_is_blocked (&w, FINGERPRINT, 7 * s_ms));
}

/* A replica with more requests than any platform allows crashes under all of
   them.  Guards against runs whose record is overwritten before it is known
   that the replica has crashed.  */
Test (crashes, many_runs_at_once)
{
  enum
  {
    RUNS = 500
  };
  static struct wy_crash_tracker w;

  wy_crash_tracker_init (&w);
  for (uint64_t crash = 1; crash <= 2; crash++)
    {
      wy_crash_tracker_run_interrupted (&w, FINGERPRINT, crash, 0);
      for (uint64_t i = 1; i < RUNS; i++)
        wy_crash_tracker_run_interrupted (&w, FINGERPRINT + RUNS * crash + i,
                                          crash, 0);
      cr_expect_eq (wy_crash_tracker_target_crashed (&w, crash, 1).counted,
                    RUNS);
    }
  cr_expect (wy_crash_tracker_is_blocked (&w, FINGERPRINT, 2));
}

static bool
is_even (const void *ctx, uint64_t incarnation)
{
  return incarnation % 2 == 0;
}

/* Connections to two replicas are refused by the network, and the list goes on
   to show one of them.  Guards against a request that stays blocked although
   nothing crashed under it.  */
Test (crashes, refuted_by_the_list)
{
  static struct wy_crash_tracker w;

  wy_crash_tracker_init (&w);
  for (uint64_t incarnation = 1; incarnation <= 2; incarnation++)
    {
      wy_crash_tracker_run_interrupted (&w, FINGERPRINT, incarnation, 0);
      cr_expect_eq (
          wy_crash_tracker_target_crashed (&w, incarnation, 0).counted, 1);
    }
  cr_expect (wy_crash_tracker_is_blocked (&w, FINGERPRINT, 1));
  wy_crash_tracker_verify (&w, is_even, NULL, WY_CRASH_CONFIRM_MS - 1);
  cr_expect (wy_crash_tracker_is_blocked (&w, FINGERPRINT, s_ms));
  wy_crash_tracker_verify (&w, is_even, NULL, WY_CRASH_CONFIRM_MS);
  cr_expect_not (wy_crash_tracker_is_blocked (&w, FINGERPRINT, s_ms));
  cr_expect (wy_crash_tracker_has_suspects (&w));
}

/* The request is sent to two entries, each of which observes one crash.  The
   crashes in the lists that they exchange must add up, and must expire
   although the entries keep exchanging them.  */
Test (crashes, entries_exchange_suspects)
{
  static struct wy_crash_tracker a;
  static struct wy_crash_tracker b;
  int64_t now_ms = 0;

  wy_crash_tracker_init (&a);
  wy_crash_tracker_init (&b);
  wy_crash_tracker_run_interrupted (&a, FINGERPRINT, 1, 0);
  wy_crash_tracker_target_crashed (&a, 1, 1);
  wy_crash_tracker_run_interrupted (&b, FINGERPRINT, 2, 0);
  wy_crash_tracker_target_crashed (&b, 2, 1);
  for (; now_ms < 2 * ttl_ms
         && (now_ms < s_ms || wy_crash_tracker_has_suspects (&a));
       now_ms += s_ms)
    {
      json_t *from_a = wy_suspect_list_encode (&a, now_ms);
      json_t *from_b = wy_suspect_list_encode (&b, now_ms);

      cr_expect_leq (wy_suspect_list_merge (&a, from_b, now_ms), 1);
      cr_expect_leq (wy_suspect_list_merge (&b, from_a, now_ms), 1);
      cr_expect_eq (wy_crash_tracker_is_blocked (&a, FINGERPRINT, now_ms),
                    now_ms <= ttl_ms);
      cr_expect_eq (wy_crash_tracker_is_blocked (&b, FINGERPRINT, now_ms),
                    now_ms <= ttl_ms);
      json_decref (from_a);
      json_decref (from_b);
    }
  cr_expect_lt (now_ms, 4000 * s_ms);
}

/* A replica crashes under one request, after many others have crashed under
   requests that don't come again.  Guards against a list so full of these that
   other entries are not told of the new one.  */
Test (crashes, newest_suspects_are_sent)
{
  static struct wy_crash_tracker a;
  static struct wy_crash_tracker b;
  json_t *list;

  wy_crash_tracker_init (&a);
  wy_crash_tracker_init (&b);
  for (uint64_t i = 1; i <= 100; i++)
    {
      wy_crash_tracker_run_interrupted (&a, FINGERPRINT + i, i, (int64_t)i);
      wy_crash_tracker_target_crashed (&a, i, (int64_t)i);
    }
  wy_crash_tracker_run_interrupted (&a, FINGERPRINT, 500, s_ms);
  wy_crash_tracker_target_crashed (&a, 500, s_ms);
  wy_crash_tracker_run_interrupted (&b, FINGERPRINT, 501, s_ms);
  wy_crash_tracker_target_crashed (&b, 501, s_ms);
  list = wy_suspect_list_encode (&a, s_ms);
  cr_expect_eq (wy_suspect_list_merge (&b, list, s_ms), 1);
  json_decref (list);
}

/* An invalid list from another entry must be ignored.  */
Test (crashes, invalid_list_is_ignored)
{
  static const char *const texts[]
      = { "[]",
          "[1]",
          "[[]]",
          "[[\"zz\"]]",
          "[[7, null]]",
          "{}",
          "[[\"00000000000000ab\", 5, 6, 7, 8]]" };
  static struct wy_crash_tracker w;

  wy_crash_tracker_init (&w);
  for (size_t i = 0; i < sizeof texts / sizeof *texts; i++)
    {
      json_t *j = json_loads (texts[i], 0, NULL);

      cr_expect_eq (wy_suspect_list_merge (&w, j, 0), 0);
      json_decref (j);
    }
  cr_expect_eq (wy_suspect_list_merge (&w, NULL, 0), 0);
}

static struct platform_fixture w;
static struct wy_h1_server *server;

static void
on_request (void *ctx, struct wy_h1_request *r)
{
  wy_proxy_start (&w.env, r,
                  wy_routing_match (w.env.routing, "h", wy_h1_target (r)),
                  NULL);
}

static struct platform_response *
send_request (const char *body)
{
  struct wy_h1_header fields[] = { { "Host", "h" },
                                   { "Attempt-Id", "a-1" },
                                   { "Deadline-Milliseconds", "2000" } };
  struct platform_response *a = platform_fixture_call (
      &w, wy_h1_server_port (server), "POST", "/p/x", fields, 3, body);

  cr_assert (platform_fixture_run_until (&w, platform_response_done, a));
  return a;
}

static void
start_proxy (int replicas)
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
  for (int i = 0; i < replicas; i++)
    platform_fixture_add_replica (&w, NULL, 0);
}

/* A request has crashed two replicas and is sent again.  It must be rejected
   at once with 503 and Retry-After, and reach no further replica.  Other
   requests are served.  */
Test (crashes, request_is_rejected)
{
  struct platform_response *a;
  uint32_t runs;

  start_proxy (3);
  for (int i = 0; i < 3; i++)
    wy_platform_replica_faults (w.replicas[i])->lose_response = 1;
  a = send_request ("bad");
  cr_expect_eq (a->status, 502);
  platform_response_free (a);
  for (uint32_t i = 0; i < 3; i++)
    {
      static const char *const ids[] = { "i-1", "i-2", "i-3" };

      wy_crash_watch_target_ended (&w.env,
                                   wy_targets_find (w.env.targets, ids[i]));
      wy_platform_replica_faults (w.replicas[i])->lose_response = 0;
    }
  runs = wy_platform_replica_runs (w.replicas[0])
         + wy_platform_replica_runs (w.replicas[1])
         + wy_platform_replica_runs (w.replicas[2]);
  a = send_request ("bad");
  cr_expect_eq (a->status, 503);
  cr_expect_not_null (a->retry_after);
  cr_expect_eq (*w.env.count.held_back, 1);
  cr_expect_eq (wy_platform_replica_runs (w.replicas[0])
                    + wy_platform_replica_runs (w.replicas[1])
                    + wy_platform_replica_runs (w.replicas[2]),
                runs);
  platform_response_free (a);
  platform_fixture_run_ms (&w, 300);
  a = send_request ("good");
  cr_expect_eq (a->status, 200);
  platform_response_free (a);
  wy_h1_server_free (server);
  platform_fixture_free (&w);
}

/* Replicas that send bytes which are no response end later.  Guards against
   counting that as crashes against the requests that they answered so.  */
Test (crashes, malformed_response_is_no_crash)
{
  struct wy_scripted_options o
      = { .loop = &w.loop,
          .response = { .name = "no response", .text = "spam\r\n\r\n" } };
  struct wy_replica info = { .slots = 12, .service = "svc" };
  struct wy_scripted *bad;
  struct platform_response *a;

  start_proxy (0);
  bad = wy_scripted_new (&o);
  cr_assert_not_null (bad);
  for (int i = 0; i < 2; i++)
    {
      struct wy_target *g;

      g_snprintf (info.id, sizeof info.id, "i-bad-%d", i);
      info.address = platform_loopback (bad->port);
      g = wy_targets_set (w.env.targets, &info);
      a = send_request ("good");
      cr_expect_eq (a->status, 502);
      platform_response_free (a);
      wy_crash_watch_target_ended (&w.env, g);
      wy_targets_remove (w.env.targets, info.id);
    }
  cr_expect_eq (bad->answered, 2);
  cr_expect_not (wy_crash_tracker_has_suspects (&w.env.crashes));
  platform_fixture_add_replica (&w, NULL, 0);
  a = send_request ("good");
  cr_expect_eq (a->status, 200, "%d", a->status);
  platform_response_free (a);
  wy_scripted_free (bad);
  wy_h1_server_free (server);
  platform_fixture_free (&w);
}

/* A replica that had announced that it leaves ends.  Guards against counting
   that as a crash against the requests that it cut off.  */
Test (crashes, planned_stop_is_no_crash)
{
  for (int draining = 0; draining <= 1; draining++)
    {
      struct wy_crash_watch_run r
          = { .id = "a-1", .fingerprint = FINGERPRINT };

      platform_fixture_init (&w);
      platform_fixture_add_env (&w, "n1");
      platform_fixture_add_replica (&w, NULL, 0);
      r.target = wy_targets_find (w.env.targets, "i-1");
      r.incarnation = r.target->incarnation;
      r.target->info.draining = draining;
      wy_crash_watch_run_interrupted (&w.env, &r);
      wy_crash_watch_refused (&w.env, r.target);
      cr_expect_eq (wy_crash_tracker_has_suspects (&w.env.crashes), !draining);
      platform_fixture_run_ms (&w, 20);
      platform_fixture_free (&w);
    }
}

/* A request waits for a replica when another entry's list blocks it.  Guards
   against runs of a request that was accepted before it was blocked.  */
Test (crashes, waiting_request_is_rejected)
{
  struct wy_h1_header fields[] = { { "Host", "h" },
                                   { "Attempt-Id", "a-1" },
                                   { "Deadline-Milliseconds", "2000" } };
  const char *target = "/p/x";
  uint64_t fp = wy_hash64 ("bad", 3, wy_hash64 (target, strlen (target), 0));
  char text[96];
  struct platform_response *a;
  json_t *list;

  start_proxy (1);
  wy_platform_replica_faults (w.replicas[0])->respond_not_run = 2;
  a = platform_fixture_call (&w, wy_h1_server_port (server), "POST", target,
                             fields, 3, "bad");
  platform_fixture_run_ms (&w, 20);
  snprintf (text, sizeof text, "[[\"%016llx\", \"a1\", \"a2\"]]",
            (unsigned long long)fp);
  list = json_loads (text, 0, NULL);
  cr_assert_eq (wy_suspect_list_merge (&w.env.crashes, list,
                                       wy_clock_mono_ms (w.env.clock)),
                1);
  json_decref (list);
  cr_assert (platform_fixture_run_until (&w, platform_response_done, a));
  cr_expect_eq (a->status, 503);
  cr_expect_not_null (a->retry_after);
  cr_expect_eq (wy_platform_replica_runs (w.replicas[0]), 0);
  platform_response_free (a);
  wy_h1_server_free (server);
  platform_fixture_free (&w);
}

/* Several replicas have died while they ran the same item, here and at the
   entry that had the job before.  Guards against an item that is taken for the
   cause and waits when replicas have room.  */
Test (crashes, item_runs_again)
{
  struct wy_crash_tracker *watch = &job_fixture.env.crashes;

  job_fixture_start (2);
  for (uint64_t incarnation = 8; incarnation < 16; incarnation++)
    {
      wy_crash_tracker_run_interrupted (watch, 0, incarnation, 0);
      cr_expect_eq (
          wy_crash_tracker_target_crashed (watch, incarnation, 0).counted, 1);
    }
  cr_expect_not (wy_crash_tracker_has_suspects (watch));
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  json_decref (job_fixture_await_result ("j1", JOB_ITEMS - 1));
  cr_expect_eq (job_fixture_count_results ("j1"), JOB_ITEMS);
  cr_expect_eq (*job_fixture.env.count.held_back, 0);
  job_fixture_stop ();
}

/* Loads that crash the replica are repeated ever more slowly.  Guards against
   a replica that is ordered to crash as often as it starts.  */
Test (crashes, backoff_grows)
{
  int64_t at_ms = 0;
  uint32_t runs = 0;

  cr_expect_eq (wy_crash_tracker_backoff_ms (1), 0);
  cr_expect_eq (wy_crash_tracker_backoff_ms (2), 0);
  for (uint32_t n = 1; at_ms < 35 * s_ms; n++)
    {
      at_ms += wy_crash_tracker_backoff_ms (n);
      runs += at_ms > 4 * s_ms && at_ms < 35 * s_ms;
    }
  cr_expect_leq (runs, 3);
}

/* A run is cancelled and its replica ends some time later.  Guards against
   crashes that no connection shows, and against counting one that the run
   can't have caused.  */
Test (crashes, cancelled_runs_count_for_a_while)
{
  static struct wy_crash_tracker w;

  wy_crash_tracker_init (&w);
  wy_crash_tracker_run_cancelled (&w, FINGERPRINT, 1, 0);
  cr_expect_not (wy_crash_tracker_is_open (&w, FINGERPRINT, 1));
  wy_crash_tracker_target_crashed (&w, 1, 4 * s_ms);
  wy_crash_tracker_run_cancelled (&w, FINGERPRINT, 2, 5 * s_ms);
  cr_expect_eq (wy_crash_tracker_target_crashed (&w, 2, 11 * s_ms).counted, 0);
  cr_expect_eq (wy_suspects_crashes (&w.suspects, FINGERPRINT, 11 * s_ms), 1);
}
