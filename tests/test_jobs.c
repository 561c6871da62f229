/* Jobs: accepted once, run whole, listed at fixed positions.  */
#include <criterion/criterion.h>
#include <string.h>

#include "support/job_world.h"

Test (jobs, whole_and_once)
{
  job_world_start (2);
  cr_expect_eq (job_world_submit ("j1", 1), 202);
  cr_expect_eq (job_world_submit ("j1", 1), 202);
  job_world_check_all ("j1");
  cr_expect_eq (job_world_listed ("j1"), JOB_ITEMS);
  cr_expect_eq (job_world_status ("GET", "/api/items/j1?id=it-0"), 200);
  cr_expect_eq (job_world_status ("GET", "/api/lots/none"), 404);
  cr_expect_eq (job_world_status ("DELETE", "/api/lots/j1"), 200);
  cr_expect_eq (job_world_status ("DELETE", "/api/lots/j1"), 200);
  job_world_stop ();
}

/* Replicas break off, stand still, fail and answer for others while a job
   runs.  The trainer must get each text once and whole all the same.  */
Test (jobs, replica_faults)
{
  struct wy_platform_replica_faults *f;

  job_world_start (2);
  for (uint32_t i = 0; i < 2; i++)
    {
      f = wy_platform_replica_faults (job_world.replicas[i]);
      f->cuts = 2;
      f->cut_after = 2;
      f->refuse = 1;
      f->fail = 1;
      f->foreign = 1;
    }
  cr_expect_eq (job_world_submit ("j1", 1), 202);
  job_world_check_all ("j1");
  cr_expect_gt (*job_world.env.count.item_runs_failed, 4);
  job_world_stop ();
}

/* The answer to the write that accepts a job is lost, though the job is kept.
   The submitter must not hear "does not run"; once settled it hears that the
   job is kept, and it runs once.  */
Test (jobs, lost_answer_to_acceptance)
{
  job_world_start (2);
  platform_world_run_ms (&job_world, 700);
  /* The next transaction may be a heartbeat; all of them lose their answers
     for a while.  */
  wy_platform_store_faults (job_world.store)->lose = 2;
  cr_expect_eq (job_world_submit ("j1", 1), 202);
  job_world_check_all ("j1");
  cr_expect_eq (job_world_listed ("j1"), JOB_ITEMS);
  job_world_stop ();
}

/* The store is silent for one submission; its submitter tries again and is
   accepted.  When the store then refuses the first attempt, that one must not
   be told "does not run", since the job does.  */
Test (jobs, refused_attempt_of_a_kept_job)
{
  struct wy_h1_header fields[] = { { "Host", "h" }, { "Attempt-Id", "j1" } };
  struct wy_platform_store_faults *f;
  struct platform_answer *first;
  char *body = job_world_body (1);

  job_world_start (2);
  f = wy_platform_store_faults (job_world.store);
  f->silent = true;
  first
      = platform_world_call (&job_world, wy_h1_server_port (job_entry.server),
                             "POST", "/p/job", fields, 2, body);
  platform_world_run_ms (&job_world, 100);
  f->silent = false;
  cr_expect_eq (job_world_submit ("j1", 1), 202);
  f->refuse_put = 1;
  cr_assert (platform_world_until (&job_world, platform_answer_done, first));
  cr_expect_eq (first->status, 202);
  job_world_check_all ("j1");
  platform_answer_free (first);
  g_free (body);
  job_world_stop ();
}

static void
expect_away (struct platform_answer *a)
{
  cr_assert (platform_world_until (&job_world, platform_answer_done, a));
  cr_expect_eq (a->status, 503);
  cr_expect_not_null (a->retry_after);
  cr_expect (strstr (a->body->str, "store_away"), "%s", a->body->str);
  platform_answer_free (a);
}

/* The store falls silent while a job is submitted.  A submitter that hears
   nothing gives up after some attempts, and its step is lost; it must hear in
   good time that the job does not run, and, once the store is known to be
   away, at once.  The body that was sent late must not make the job run.  */
Test (jobs, store_falls_silent)
{
  struct wy_h1_header fields[] = { { "Host", "h" }, { "Attempt-Id", "j1" } };
  uint16_t port;
  char *body = job_world_body (1);

  job_world_start (2);
  port = wy_h1_server_port (job_entry.server);
  wy_platform_store_faults (job_world.store)->silent = true;
  for (int i = 0; i < 2; i++)
    expect_away (platform_world_call (&job_world, port, "POST", "/p/job",
                                      fields, 2, body));
  wy_platform_store_faults (job_world.store)->silent = false;
  platform_world_run_ms (&job_world, 1500);
  cr_expect_eq (wy_jobs_running (job_entry.jobs), 0);
  cr_expect_eq (job_world_submit ("j1", 1), 202);
  job_world_check_all ("j1");
  g_free (body);
  job_world_stop ();
}

/* Writes of results are performed without an answer, or seconds late.  Each
   item must stand at one position, and a position never change.  */
Test (jobs, lost_and_late_results)
{
  struct wy_platform_store_faults *f;

  job_world_start (2);
  f = wy_platform_store_faults (job_world.store);
  cr_expect_eq (job_world_submit ("j1", 1), 202);
  f->late = 2;
  f->late_ms = 150;
  f->lose = 3;
  job_world_check_all ("j1");
  platform_world_run_ms (&job_world, 300);
  cr_expect_eq (job_world_listed ("j1"), JOB_ITEMS);
  job_world_stop ();
}

/* The store is away while a job runs.  Results wait for it; a submitter hears
   that its job does not run and when to come back.  */
Test (jobs, store_away)
{
  struct wy_platform_store_faults *f;
  char *body = job_world_body (1);
  struct platform_answer *a;

  job_world_start (2);
  f = wy_platform_store_faults (job_world.store);
  cr_expect_eq (job_world_submit ("j1", 1), 202);
  f->refuse = 1000000;
  a = job_world_call ("POST", "/p/job", "j2", body);
  cr_expect_eq (a->status, 503);
  cr_expect_not_null (a->retry_after);
  platform_answer_free (a);
  cr_expect_eq (job_world_status ("GET", "/api/lots/j1?after=0"), 503);
  f->refuse = 0;
  job_world_check_all ("j1");
  cr_expect_eq (job_world_status ("GET", "/api/lots/j2"), 404);
  g_free (body);
  job_world_stop ();
}

/* Replicas have older weights than the job allows.  Nothing made under them
   may reach the trainer; when one has the weights, the job is run there.  */
Test (jobs, weights_too_old)
{
  json_t *r;
  struct wy_replica info;

  job_world_start (2);
  cr_expect_eq (job_world_submit ("j1", 2), 202);
  platform_world_run_ms (&job_world, 200);
  cr_expect_eq (job_world_listed ("j1"), 0);
  wy_platform_replica_set_version (job_world.replicas[1], 2);
  info = wy_targets_find (job_world.env.targets, "i-2")->info;
  info.models[0].version = 2;
  wy_targets_set (job_world.env.targets, &info);
  job_world_check_all ("j1");
  r = job_world_result ("j1", 0);
  cr_expect_eq (
      json_integer_value (json_array_get (json_object_get (r, "versions"), 0)),
      2);
  json_decref (r);
  job_world_stop ();
}

/* An item can never be done.  It is listed as given up and holds up nobody. */
Test (jobs, hopeless_item_is_given_up)
{
  uint32_t given_up = 0;

  job_world_start (1);
  wy_platform_replica_faults (job_world.replicas[0])->never = 1;
  cr_expect_eq (job_world_submit ("j1", 1), 202);
  for (uint32_t i = 0; i < JOB_ITEMS; i++)
    {
      json_t *r = job_world_await ("j1", i);

      given_up += !strcmp (job_world_text (r, "state"), "abandoned");
      json_decref (r);
    }
  cr_expect_eq (given_up, 1);
  job_world_stop ();
}

/* Bodies that are no job are refused for what they are and kept nowhere.  */
Test (jobs, what_is_no_job)
{
  static const char *const bodies[]
      = { "",
          "[]",
          "{\"items\":1}",
          "{\"items\":[{}]}",
          "{\"items\":[{\"id\":\"a\",\"path\":\"no-slash\"}]}",
          "{\"items\":[{\"id\":\"a\",\"path\":\"/p HTTP/1.1\"}]}" };

  job_world_start (1);
  for (size_t i = 0; i < sizeof bodies / sizeof *bodies; i++)
    {
      struct platform_answer *a
          = job_world_call ("POST", "/p/job", "j1", bodies[i]);

      cr_expect_eq (a->status, 400, "body %zu", i);
      platform_answer_free (a);
    }
  cr_expect_eq (wy_platform_store_count (job_world.store, WY_JOBS_TABLE, "j1"),
                0);
  job_world_stop ();
}

/* Trainers submit hundreds of jobs while the replicas stand still.  An entry
   must not die of them: beyond its memory it refuses, says when to come back,
   and takes jobs again when it has room.  What it took is done.  */
Test (jobs, hundreds_beyond_the_memory)
{
  enum
  {
    SUBMISSIONS = 300,
    FITTING = 40
  };
  char *body = job_world_body (1);
  char id[16];
  uint32_t taken = 0;
  uint32_t refused = 0;

  job_memory_bytes = strlen (body) * 4 * FITTING;
  job_world_start (1);
  wy_platform_replica_faults (job_world.replicas[0])->silent = true;
  for (int i = 0; i < SUBMISSIONS; i++)
    {
      struct platform_answer *a;

      g_snprintf (id, sizeof id, "m%d", i);
      a = job_world_call ("POST", "/p/job", id, body);
      taken += a->status == 202;
      refused += a->status == 503 && a->retry_after;
      platform_answer_free (a);
    }
  cr_expect_eq (taken, FITTING);
  cr_expect_eq (refused, SUBMISSIONS - FITTING);
  cr_expect_eq (wy_jobs_running (job_entry.jobs), FITTING);
  wy_platform_replica_faults (job_world.replicas[0])->silent = false;
  job_world_check_all ("m0");
  g_snprintf (id, sizeof id, "m%d", FITTING - 1);
  job_world_check_all (id);
  platform_world_run_ms (&job_world, 200);
  cr_expect_eq (job_world_submit ("late", 1), 202);
  g_free (body);
  job_world_stop ();
}
