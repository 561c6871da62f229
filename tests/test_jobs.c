/* Jobs: accepted once, all items run to the end, results listed at fixed
   positions.  */
#include <criterion/criterion.h>
#include <string.h>

#include "support/job_fixture.h"

Test (jobs, accepted_and_listed_once)
{
  job_fixture_start (2);
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  job_fixture_check_results ("j1");
  cr_expect_eq (job_fixture_count_results ("j1"), JOB_ITEMS);
  cr_expect_eq (job_fixture_status ("GET", "/api/items/j1?id=it-0"), 200);
  cr_expect_eq (job_fixture_status ("GET", "/api/lots/none"), 404);
  cr_expect_eq (job_fixture_status ("DELETE", "/api/lots/j1"), 200);
  cr_expect_eq (job_fixture_status ("DELETE", "/api/lots/j1"), 200);
  job_fixture_stop ();
}

/* Replicas cut streams, stall, reject, fail and respond to other requests
   while a job runs.  Guards against a trainer that gets a text twice,
   incomplete or not at all.  */
Test (jobs, replica_faults)
{
  struct wy_platform_replica_faults *f;

  job_fixture_start (2);
  for (uint32_t i = 0; i < 2; i++)
    {
      f = wy_platform_replica_faults (job_fixture.replicas[i]);
      f->abort_streams = 2;
      f->abort_after_events = 2;
      f->respond_not_run = 1;
      f->respond_500 = 1;
      f->wrong_attempt_id = 1;
    }
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  job_fixture_check_results ("j1");
  cr_expect_gt (*job_fixture.env.count.item_runs_failed, 4);
  job_fixture_stop ();
}

/* Guards against a text joined from two runs: a replica that is asked to
   continue a text begins it anew.  */
Test (jobs, resumption_that_begins_anew)
{
  job_fixture_start (2);
  for (uint32_t i = 0; i < 2; i++)
    {
      struct wy_platform_replica_faults *f
          = wy_platform_replica_faults (job_fixture.replicas[i]);

      f->abort_streams = 2;
      f->abort_after_events = 2;
      f->ignore_resume = 2;
    }
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  job_fixture_check_results ("j1");
  job_fixture_stop ();
}

/* The response to the write that accepts a job is lost although the write took
   effect.  Guards against telling the submitter that the job was not accepted,
   and against running it twice.  */
Test (jobs, lost_response_to_acceptance)
{
  job_fixture_start (2);
  platform_fixture_run_ms (&job_fixture, 700);
  /* The next transaction may be a heartbeat, so all of them lose their
     responses for a while.  */
  wy_platform_store_faults (job_fixture.store)->lose_response = 2;
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  job_fixture_check_results ("j1");
  cr_expect_eq (job_fixture_count_results ("j1"), JOB_ITEMS);
  job_fixture_stop ();
}

/* The store doesn't respond to one submission; the submitter's second attempt
   is accepted.  When the store then refuses a write of the first attempt, its
   response must not say that the job was not accepted, since it runs.  */
Test (jobs, refused_attempt_of_an_accepted_job)
{
  struct wy_h1_header fields[] = { { "Host", "h" }, { "Attempt-Id", "j1" } };
  struct wy_platform_store_faults *f;
  struct platform_response *first;
  char *body = job_fixture_body (1);

  job_fixture_start (2);
  f = wy_platform_store_faults (job_fixture.store);
  f->silent = true;
  first = platform_fixture_call (&job_fixture,
                                 wy_h1_server_port (job_entry.server), "POST",
                                 "/p/job", fields, 2, body);
  platform_fixture_run_ms (&job_fixture, 100);
  f->silent = false;
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  f->respond_507 = 1;
  cr_assert (platform_fixture_run_until (&job_fixture, platform_response_done,
                                         first));
  cr_expect_eq (first->status, 202);
  job_fixture_check_results ("j1");
  platform_response_free (first);
  g_free (body);
  job_fixture_stop ();
}

static void
expect_store_unavailable (struct platform_response *a)
{
  cr_assert (
      platform_fixture_run_until (&job_fixture, platform_response_done, a));
  cr_expect_eq (a->status, 503);
  cr_expect_not_null (a->retry_after);
  cr_expect (strstr (a->body->str, "store_away"), "%s", a->body->str);
  platform_response_free (a);
}

/* The store stops responding while a job is submitted.  A submitter that gets
   no response gives up after some attempts and loses its step, so it must be
   told in time that the job was not accepted, and immediately once the store
   is known to be unreachable.  The body that was sent late must not make the
   job run.  */
Test (jobs, store_stops_responding)
{
  struct wy_h1_header fields[] = { { "Host", "h" }, { "Attempt-Id", "j1" } };
  uint16_t port;
  char *body = job_fixture_body (1);

  job_fixture_start (2);
  port = wy_h1_server_port (job_entry.server);
  wy_platform_store_faults (job_fixture.store)->silent = true;
  for (int i = 0; i < 2; i++)
    expect_store_unavailable (platform_fixture_call (
        &job_fixture, port, "POST", "/p/job", fields, 2, body));
  wy_platform_store_faults (job_fixture.store)->silent = false;
  platform_fixture_run_ms (&job_fixture, 1500);
  cr_expect_eq (wy_jobs_running (job_entry.jobs), 0);
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  job_fixture_check_results ("j1");
  g_free (body);
  job_fixture_stop ();
}

/* Writes of results take effect without a response, or late.  Each item must
   have one position, and a position must never change.  */
Test (jobs, lost_and_late_results)
{
  struct wy_platform_store_faults *f;

  job_fixture_start (2);
  f = wy_platform_store_faults (job_fixture.store);
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  f->delay_tx = 2;
  f->delay_tx_ms = 150;
  f->lose_response = 3;
  job_fixture_check_results ("j1");
  platform_fixture_run_ms (&job_fixture, 300);
  cr_expect_eq (job_fixture_count_results ("j1"), JOB_ITEMS);
  job_fixture_stop ();
}

/* The store is unavailable while a job runs.  Results wait until it is back; a
   submitter is told that its job was not accepted and when to retry.  */
Test (jobs, store_unavailable)
{
  struct wy_platform_store_faults *f;
  char *body = job_fixture_body (1);
  struct platform_response *a;

  job_fixture_start (2);
  f = wy_platform_store_faults (job_fixture.store);
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  f->respond_503 = 1000000;
  a = job_fixture_call ("POST", "/p/job", "j2", body);
  cr_expect_eq (a->status, 503);
  cr_expect_not_null (a->retry_after);
  platform_response_free (a);
  cr_expect_eq (job_fixture_status ("GET", "/api/lots/j1?after=0"), 503);
  f->respond_503 = 0;
  job_fixture_check_results ("j1");
  cr_expect_eq (job_fixture_status ("GET", "/api/lots/j2"), 404);
  g_free (body);
  job_fixture_stop ();
}

/* The replicas have older weights than the job allows.  Nothing generated with
   them may reach the trainer; once a replica has the new weights, the job runs
   there.  */
Test (jobs, weights_too_old)
{
  json_t *r;
  struct wy_replica info;

  job_fixture_start (2);
  cr_expect_eq (job_fixture_submit ("j1", 2), 202);
  platform_fixture_run_ms (&job_fixture, 200);
  cr_expect_eq (job_fixture_count_results ("j1"), 0);
  wy_platform_replica_set_version (job_fixture.replicas[1], 2);
  info = wy_targets_find (job_fixture.env.targets, "i-2")->info;
  info.models[0].version = 2;
  wy_targets_set (job_fixture.env.targets, &info);
  job_fixture_check_results ("j1");
  r = job_fixture_result ("j1", 0);
  cr_expect_eq (
      json_integer_value (json_array_get (json_object_get (r, "versions"), 0)),
      2);
  json_decref (r);
  job_fixture_stop ();
}

/* A replica rejects an item for good.  It must be listed as given up and must
   not delay the other items.  */
Test (jobs, unprocessable_item_is_given_up)
{
  uint32_t given_up = 0;

  job_fixture_start (1);
  wy_platform_replica_faults (job_fixture.replicas[0])->respond_422 = 1;
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  for (uint32_t i = 0; i < JOB_ITEMS; i++)
    {
      json_t *r = job_fixture_await_result ("j1", i);

      given_up += !strcmp (job_fixture_string (r, "state"), "abandoned");
      json_decref (r);
    }
  cr_expect_eq (given_up, 1);
  job_fixture_stop ();
}

/* Malformed jobs are rejected with status 400 and not stored.  */
Test (jobs, malformed_jobs_are_rejected)
{
  static const char *const bodies[]
      = { "",
          "[]",
          "{\"items\":1}",
          "{\"items\":[{}]}",
          "{\"items\":[{\"id\":\"a\",\"path\":\"no-slash\"}]}",
          "{\"items\":[{\"id\":\"a\",\"path\":\"/p HTTP/1.1\"}]}" };

  job_fixture_start (1);
  for (size_t i = 0; i < sizeof bodies / sizeof *bodies; i++)
    {
      struct platform_response *a
          = job_fixture_call ("POST", "/p/job", "j1", bodies[i]);

      cr_expect_eq (a->status, 400, "body %zu", i);
      platform_response_free (a);
    }
  cr_expect_eq (
      wy_platform_store_row_count (job_fixture.store, WY_JOBS_TABLE, "j1"), 0);
  job_fixture_stop ();
}

/* Trainers submit hundreds of jobs while the replicas are stalled.  Guards
   against an entry that runs out of memory: beyond its limit it must reject
   jobs, say when to retry, and accept jobs again once it has memory.  The
   accepted ones must be completed.  */
Test (jobs, memory_limit)
{
  enum
  {
    SUBMISSIONS = 300,
    FITTING = 40
  };
  char *body = job_fixture_body (1);
  char id[16];
  uint32_t accepted = 0;
  uint32_t rejected = 0;

  job_memory_limit_bytes = strlen (body) * 4 * FITTING;
  job_fixture_start (1);
  wy_platform_replica_faults (job_fixture.replicas[0])->silent = true;
  for (int i = 0; i < SUBMISSIONS; i++)
    {
      struct platform_response *a;

      g_snprintf (id, sizeof id, "m%d", i);
      a = job_fixture_call ("POST", "/p/job", id, body);
      accepted += a->status == 202;
      rejected += a->status == 503 && a->retry_after;
      platform_response_free (a);
    }
  cr_expect_eq (accepted, FITTING);
  cr_expect_eq (rejected, SUBMISSIONS - FITTING);
  cr_expect_eq (wy_jobs_running (job_entry.jobs), FITTING);
  wy_platform_replica_faults (job_fixture.replicas[0])->silent = false;
  job_fixture_check_results ("m0");
  g_snprintf (id, sizeof id, "m%d", FITTING - 1);
  job_fixture_check_results (id);
  platform_fixture_run_ms (&job_fixture, 200);
  cr_expect_eq (job_fixture_submit ("late", 1), 202);
  g_free (body);
  job_fixture_stop ();
}

/* Load: a job is submitted while all replicas of its service are gone.  Its
   outcome is not certain, so it must be accepted, and run when one is
   listed.  */
Test (jobs, waits_for_a_replica)
{
  job_fixture_start (0);
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  platform_fixture_run_ms (&job_fixture, 200);
  cr_expect_eq (job_fixture_count_results ("j1"), 0);
  platform_fixture_add_replica (&job_fixture, "m", JOB_EVENTS);
  job_fixture_check_results ("j1");
  job_fixture_stop ();
}

/* Memory is short.  A new job must be rejected, but a submission sent again
   for a job that was accepted must not: 503 would say that it never runs.  */
Test (jobs, rejects_only_new_jobs_while_memory_is_short)
{
  job_fixture_start (1);
  cr_expect_eq (job_fixture_submit ("before", 0), 202);
  wy_memory_account_init (&job_fixture.env.memory, 1 << 20);
  wy_memory_account_add (&job_fixture.env.memory, WY_MEMORY_TO_CALLERS,
                         1 << 20);
  cr_expect_eq (job_fixture_submit ("new", 0), 503);
  cr_expect_eq (job_fixture_submit ("before", 0), 202);
  wy_memory_account_add (&job_fixture.env.memory, WY_MEMORY_TO_CALLERS,
                         -(1 << 20));
  cr_expect_eq (job_fixture_submit ("new", 0), 202);
  job_fixture_check_results ("before");
  job_fixture_check_results ("new");
  job_fixture_stop ();
}
