/* Requests that crash the replicas that run them.  */
#include <criterion/criterion.h>
#include <string.h>

#include "gate/suspect_list.h"
#include "gate/proxy.h"
#include "support/job_world.h"

enum
{
  FP = 77
};

static const int64_t s_ms = 1000;
static const int64_t ttl_ms = 1800000; /* of a suspicion */

/* A network drops connections now and then, and the same request may be hit
   by it twice.  Its caller must not be refused for that: only a target that
   leaves the list, or starts anew, has crashed.  */
Test (crashes, lost_connections_do_not_count)
{
  static struct wy_crash_tracker w;

  wy_crash_tracker_init (&w);
  wy_crash_tracker_run_interrupted (&w, FP, "i-1", 0);
  wy_crash_tracker_run_interrupted (&w, FP, "i-2", 10);
  wy_crash_tracker_run_interrupted (&w, FP, "i-3", 20);
  cr_expect_not (wy_crash_tracker_is_blocked (&w, FP, 30));
  cr_expect_eq (wy_crash_tracker_target_crashed (&w, "i-9", 40), 0);
  cr_expect_not (wy_crash_tracker_is_blocked (&w, FP, 50));
  /* Too long after to be the cause.  */
  cr_expect_eq (wy_crash_tracker_target_crashed (&w, "i-1", 60 * s_ms), 0);
  cr_expect_eq (wy_crash_tracker_target_crashed (&w, "i-2", 60 * s_ms), 0);
  cr_expect_not (wy_crash_tracker_is_blocked (&w, FP, 60 * s_ms));
}

/* One request takes down each replica that runs it, and comes again.  After
   the second crash it is held back; another one that was hit by one of the
   crashes goes on.  */
Test (crashes, second_crash_holds_back)
{
  static struct wy_crash_tracker w;

  wy_crash_tracker_init (&w);
  wy_crash_tracker_run_interrupted (&w, FP, "i-1", 0);
  wy_crash_tracker_run_interrupted (&w, FP + 1, "i-1", 0);
  cr_expect_eq (wy_crash_tracker_target_crashed (&w, "i-1", 4 * s_ms), 0);
  cr_expect_not (wy_crash_tracker_is_blocked (&w, FP, 4 * s_ms));
  wy_crash_tracker_run_interrupted (&w, FP, "i-2", 5 * s_ms);
  cr_expect_eq (wy_crash_tracker_target_crashed (&w, "i-2", 6 * s_ms), 1);
  cr_expect (wy_crash_tracker_is_blocked (&w, FP, 7 * s_ms));
  cr_expect_not (wy_crash_tracker_is_blocked (&w, FP + 1, 7 * s_ms));
  wy_crash_tracker_clear (&w, FP);
  cr_expect_not (wy_crash_tracker_is_blocked (&w, FP, 7 * s_ms));
}

/* The request is sent to one entry after the other, each of which sees one
   replica crash.  What they tell each other must add up, and be forgotten in
   the end though they go on telling each other.  */
Test (crashes, entries_tell_each_other)
{
  static struct wy_crash_tracker a;
  static struct wy_crash_tracker b;
  int64_t now_ms = 0;

  wy_crash_tracker_init (&a);
  wy_crash_tracker_init (&b);
  wy_crash_tracker_run_interrupted (&a, FP, "i-1", 0);
  wy_crash_tracker_target_crashed (&a, "i-1", 1);
  wy_crash_tracker_run_interrupted (&b, FP, "i-2", 0);
  wy_crash_tracker_target_crashed (&b, "i-2", 1);
  for (; now_ms < 2 * ttl_ms
         && (now_ms < s_ms || wy_crash_tracker_has_suspects (&a));
       now_ms += s_ms)
    {
      json_t *from_a = wy_crash_rows_encode (&a, now_ms);
      json_t *from_b = wy_crash_rows_encode (&b, now_ms);

      cr_expect_leq (wy_crash_rows_learn (&a, from_b, now_ms), 1);
      cr_expect_leq (wy_crash_rows_learn (&b, from_a, now_ms), 1);
      cr_expect_eq (wy_crash_tracker_is_blocked (&a, FP, now_ms),
                    now_ms <= ttl_ms);
      cr_expect_eq (wy_crash_tracker_is_blocked (&b, FP, now_ms),
                    now_ms <= ttl_ms);
      json_decref (from_a);
      json_decref (from_b);
    }
  cr_expect_lt (now_ms, 4000 * s_ms);
}

/* What another entry tells can't be read.  It must do no harm.  */
Test (crashes, unreadable_is_nothing)
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

      cr_expect_eq (wy_crash_rows_learn (&w, j, 0), 0);
      json_decref (j);
    }
  cr_expect_eq (wy_crash_rows_learn (&w, NULL, 0), 0);
}

static struct platform_world w;
static struct wy_h1_server *server;

static void
on_request (void *ctx, struct wy_h1_request *r)
{
  wy_proxy_start (&w.env, r,
                  wy_routing_match (w.env.routing, "h", wy_h1_target (r)),
                  NULL);
}

static struct platform_answer *
ask (const char *body)
{
  struct wy_h1_header fields[] = { { "Host", "h" },
                                   { "Attempt-Id", "a-1" },
                                   { "Deadline-Milliseconds", "2000" } };
  struct platform_answer *a = platform_world_call (
      &w, wy_h1_server_port (server), "POST", "/p/x", fields, 3, body);

  cr_assert (platform_world_until (&w, platform_answer_done, a));
  return a;
}

/* A caller's request has crashed two replicas, and it sends the request
   again.  It is refused at once as not run, with a time to come back, and no
   further replica sees it; others' requests are served.  */
Test (crashes, request_is_refused)
{
  struct wy_h1_server_options o
      = { .loop = &w.loop,
          .host = "127.0.0.1",
          .limits = { 65536, 1 << 20, 1000, 10000, 1 << 24 },
          .on_request = on_request };
  struct platform_answer *a;
  uint32_t runs;

  platform_world_init (&w);
  platform_world_add_env (&w, "n1");
  platform_world_set_routing (&w, WY_ROUTE_IDEMPOTENT, 2);
  cr_assert_eq (wy_h1_server_new (&server, &o), 0);
  for (int i = 0; i < 3; i++)
    wy_platform_replica_faults (platform_world_add_replica (&w, NULL, 0))->lose
        = 1;
  a = ask ("bad");
  cr_expect_eq (a->status, 502);
  platform_answer_free (a);
  for (uint32_t i = 0; i < 3; i++)
    {
      static const char *const ids[] = { "i-1", "i-2", "i-3" };

      wy_crash_tracker_target_crashed (&w.env.crashes, ids[i],
                                       wy_clock_mono_ms (w.env.clock));
      wy_platform_replica_faults (w.replicas[i])->lose = 0;
    }
  runs = wy_platform_replica_runs (w.replicas[0])
         + wy_platform_replica_runs (w.replicas[1])
         + wy_platform_replica_runs (w.replicas[2]);
  a = ask ("bad");
  cr_expect_eq (a->status, 503);
  cr_expect_not_null (a->retry_after);
  cr_expect_eq (*w.env.count.held_back, 1);
  cr_expect_eq (wy_platform_replica_runs (w.replicas[0])
                    + wy_platform_replica_runs (w.replicas[1])
                    + wy_platform_replica_runs (w.replicas[2]),
                runs);
  platform_answer_free (a);
  platform_world_run_ms (&w, 300);
  a = ask ("good");
  cr_expect_eq (a->status, 200);
  platform_answer_free (a);
  wy_h1_server_free (server);
  platform_world_free (&w);
}

/* Another entry saw two replicas crash under an item before it lost the job.
   The one that takes the job over must not start with a third crash; the
   item waits, its neighbours run.  */
Test (crashes, item_waits)
{
  struct wy_crash_tracker *watch = &job_world.env.crashes;
  uint64_t fp = wy_fingerprint ("it-0", NULL, 0);

  job_world_start (2);
  wy_crash_tracker_run_interrupted (watch, fp, "i-8", 0);
  wy_crash_tracker_target_crashed (watch, "i-8", 0);
  wy_crash_tracker_run_interrupted (watch, fp, "i-9", 0);
  wy_crash_tracker_target_crashed (watch, "i-9", 0);
  for (uint32_t i = 0; i < 2; i++)
    watch->suspects.slot[i].seen_ms = wy_clock_mono_ms (job_world.env.clock);
  cr_expect_eq (job_world_submit ("j1", 1), 202);
  json_decref (job_world_await ("j1", JOB_ITEMS - 2));
  platform_world_run_ms (&job_world, 300);
  cr_expect_eq (job_world_listed ("j1"), JOB_ITEMS - 1);
  cr_expect_eq (*job_world.env.count.held_back, 1);
  job_world_stop ();
}

/* An item's runs break off one after another before they begin.  The first
   ones are tried again at once, since connections are lost for many reasons;
   if it goes on, each try may cost a replica, and they must become rare.  */
Test (crashes, runs_become_rare)
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
