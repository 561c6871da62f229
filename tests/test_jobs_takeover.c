/* Jobs: their holders, and their ends: crashes, takeovers, removal.  */
#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#include "jobs/checkpoint.h"
#include "support/job_fixture.h"

/* An entry crashes with half of a job done.  Its successor must list the
   remaining results after the existing ones, and none twice.  */
Test (jobs, taken_over_after_a_crash)
{
  json_t *first;
  json_t *again;

  job_fixture_start (1);
  wy_platform_replica_faults (job_fixture.replicas[0])->stall_streams = 2;
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  first = job_fixture_await_result ("j1", 0);
  job_fixture_stop_entry ();
  g_free ((char *)job_fixture.env.holder);
  job_fixture.env.holder = g_strdup ("n1/2");
  job_fixture_start_entry ();
  job_fixture_check_results ("j1");
  again = job_fixture_result ("j1", 0);
  cr_expect (json_equal (first, again));
  cr_expect_eq (*job_fixture.env.count.jobs_taken_over, 1);
  cr_expect_eq (job_fixture_count_results ("j1"), JOB_ITEMS);
  json_decref (first);
  json_decref (again);
  job_fixture_stop ();
}

/* Start an entry with a job whose texts have N_EVENTS events.  */
static void
start_long_job (uint32_t n_events)
{
  platform_fixture_init (&job_fixture);
  platform_fixture_add_env (&job_fixture, "n1");
  platform_fixture_set_routing (&job_fixture, WY_ROUTE_JOB, 3);
  platform_fixture_add_replica (&job_fixture, "m", n_events);
  job_fixture_start_entry ();
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
}

/* An entry crashes while a long item runs.  Its successor must continue from
   the stored text, or the trainer would wait for all of it again.  */
Test (jobs, takeover_resumes_text)
{
  enum
  {
    LONG_EVENTS = 2000
  };
  int64_t resumed_at;

  start_long_job (LONG_EVENTS);
  platform_fixture_run_ms (&job_fixture, 1500);
  job_fixture_stop_entry ();
  platform_fixture_run_ms (&job_fixture, 50);
  g_free ((char *)job_fixture.env.holder);
  job_fixture.env.holder = g_strdup ("n1/2");
  job_fixture_start_entry ();
  platform_fixture_run_ms (&job_fixture, 1000);
  resumed_at = wy_platform_replica_last_resume (job_fixture.replicas[0]);
  cr_expect_gt (resumed_at, 20, "resumed after event %lld",
                (long long)resumed_at);
  job_fixture_stop ();
}

/* The stored piece of ITEM's text at byte AT; NULL: there is none.  */
static json_t *
stored_piece (const char *item, size_t at)
{
  char *key = g_strdup_printf ("%s.%010zu", item, at);
  char *value = wy_platform_store_value (job_fixture.store,
                                         WY_CHECKPOINT_TABLE, "j1", key);
  json_t *piece = value ? json_loads (value, 0, NULL) : NULL;

  g_free (value);
  g_free (key);
  return piece;
}

/* Length of ITEM's stored text.  */
static size_t
stored_bytes (const char *item)
{
  size_t at = 0;
  json_t *piece;

  while ((piece = stored_piece (item, at)))
    {
      at += strlen (job_fixture_string (piece, "text"));
      json_decref (piece);
    }
  return at;
}

/* Store a piece of ITEM's text at byte AT, as the holder that has written the
   first piece would have: as long as the one that is there, if any.  */
static void
store_late_piece (const char *item, size_t at, json_t *first)
{
  enum
  {
    LATE_BYTES = 100
  };
  json_t *present = stored_piece (item, at);
  json_t *late = json_deep_copy (present ? present : first);
  size_t n
      = present ? strlen (job_fixture_string (present, "text")) : LATE_BYTES;
  char *text = g_strnfill (n, 'x');
  char *key = g_strdup_printf ("%s.%010zu", item, at);
  char *value;

  json_object_set_new (late, "text", json_string (text));
  json_object_set (late, "id", json_object_get (first, "id"));
  value = json_dumps (late, JSON_COMPACT);
  wy_platform_store_put (job_fixture.store, WY_CHECKPOINT_TABLE, "j1", key,
                         value);
  free (value);
  g_free (key);
  g_free (text);
  json_decref (present);
  json_decref (late);
}

static void
stop_holder (void)
{
  job_fixture_stop_entry ();
  platform_fixture_run_ms (&job_fixture, 50);
}

static void
start_successor (const char *holder)
{
  g_free ((char *)job_fixture.env.holder);
  job_fixture.env.holder = g_strdup (holder);
  job_fixture_start_entry ();
}

/* Guards against a text joined from two runs: a write of the former holder
   takes effect after its successor has stored how the text goes on.  */
Test (jobs, late_text_of_the_former_holder)
{
  enum
  {
    LONG_EVENTS = 1500
  };
  json_t *first;
  json_t *result;
  size_t end_bytes;

  start_long_job (LONG_EVENTS);
  platform_fixture_run_ms (&job_fixture, 800);
  stop_holder ();
  first = stored_piece ("it-0", 0);
  end_bytes = stored_bytes ("it-0");
  cr_assert_not_null (first);
  start_successor ("n1/2");
  platform_fixture_run_ms (&job_fixture, 800);
  stop_holder ();
  store_late_piece ("it-0", end_bytes, first);
  start_successor ("n1/3");
  for (uint32_t i = 0; i < JOB_ITEMS; i++)
    {
      result = job_fixture_await_result ("j1", i);
      cr_expect_null (strchr (job_fixture_string (result, "text"), 'x'),
                      "%s has text of both holders",
                      job_fixture_string (result, "id"));
      json_decref (result);
    }
  json_decref (first);
  job_fixture_stop ();
}

/* Another entry has taken the job over while this one was suspended.  The
   former holder's writes must have no effect.  */
Test (jobs, former_holder_writes_nothing)
{
  char *record;
  char *other;

  job_fixture_start (1);
  wy_platform_replica_faults (job_fixture.replicas[0])->stall_streams
      = JOB_ITEMS;
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  record = wy_platform_store_value (job_fixture.store, WY_JOBS_TABLE, "j1",
                                    WY_JOB_ROW_KEY);
  cr_assert_not_null (record);
  other = g_strdup (record);
  strstr (other, "n1/1")[1] = '9';
  wy_platform_store_put (job_fixture.store, WY_MEMBERS_TABLE, "0", "n9",
                         "{\"holder\":\"n9/1\",\"beat\":1}");
  wy_platform_store_put (job_fixture.store, WY_JOBS_TABLE, "j1",
                         WY_JOB_ROW_KEY, other);
  platform_fixture_run_ms (&job_fixture, 1200);
  cr_expect_eq (wy_jobs_running (job_entry.jobs), 0);
  cr_expect_eq (job_fixture_count_results ("j1"), 0);
  g_free (record);
  g_free (other);
  job_fixture_stop ();
}

/* The store rejects the calls of another entry, which reaches it through peers
   only.  Given a new job, that entry would relay every result, and a few lost
   heartbeats would cause a takeover, which restarts the step elsewhere.  */
Test (jobs, none_for_an_entry_behind_peers)
{
  char *record;

  job_fixture_start (2);
  wy_platform_store_put (job_fixture.store, WY_MEMBERS_TABLE, "0", "n9",
                         "{\"holder\":\"n9/1\",\"address\":\"127.0.0.1:1\","
                         "\"cpu_share\":1000000,\"relayed\":true,"
                         "\"beat\":1}");
  platform_fixture_run_ms (&job_fixture, 500);
  cr_expect_eq (wy_members_count_alive (job_entry.members), 2);
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  record = wy_platform_store_value (job_fixture.store, WY_JOBS_TABLE, "j1",
                                    WY_JOB_ROW_KEY);
  cr_assert_not_null (record);
  cr_expect_not_null (strstr (record, "n1/1"), "%s", record);
  g_free (record);
  job_fixture_check_results ("j1");
  cr_expect_eq (*job_fixture.env.count.jobs_taken_over, 0);
  job_fixture_stop ();
}

static void
put_entry (const char *node, const char *cpu_share)
{
  char *value = g_strdup_printf ("{\"holder\":\"%s/1\",\"address\":"
                                 "\"127.0.0.1:1\",\"cpu_share\":%s,"
                                 "\"beat\":1}",
                                 node, cpu_share);

  wy_platform_store_put (job_fixture.store, WY_MEMBERS_TABLE, "0", node,
                         value);
  g_free (value);
}

/* Half of the entries are small instances with a fifth of the processor time
   of the others.  Chosen by number alone, they would get every fifth job;
   their results would be listed some hundred ms late while the trainer is
   idle.  */
Test (jobs, none_for_small_entries)
{
  char node[8];

  job_fixture_start (2);
  for (int i = 0; i < 30; i++)
    {
      g_snprintf (node, sizeof node, "w%d", i);
      put_entry (node, "0.2");
    }
  platform_fixture_run_ms (&job_fixture, 500);
  cr_expect_eq (wy_members_count_alive (job_entry.members), 31);
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  job_fixture_check_results ("j1");
  cr_expect_eq (*job_fixture.env.count.jobs_taken_over, 0);
  job_fixture_stop ();
}

/* A holder fails.  Entries with enough processor time must take its jobs over
   first: with as many small instances as large ones, every second job would
   otherwise move to an instance that is too slow for it.  */
Test (jobs, small_entries_take_over_last)
{
  char node[8];

  job_fixture_start (1);
  platform_fixture_run_ms (&job_fixture, 500);
  cr_expect_eq (wy_members_rank (job_entry.members, "j1"), 0);
  for (int i = 0; i < 10; i++)
    {
      g_snprintf (node, sizeof node, "s%d", i);
      put_entry (node, "5");
    }
  platform_fixture_run_ms (&job_fixture, 500);
  cr_expect_eq (wy_members_count_alive (job_entry.members), 11);
  cr_expect_geq (wy_members_rank (job_entry.members, "j1"), 10 * 10);
  job_fixture_stop ();
}

static bool
store_is_back (void *ctx)
{
  int64_t age_ms = wy_members_age_ms (job_entry.members);

  return age_ms >= 0 && age_ms < 100;
}

/* The store was unavailable, so no entry could write heartbeats.  If entries
   were considered failed shortly after its return, all jobs would be taken
   over at once and each step would wait for that.  */
Test (jobs, no_entry_fails_by_a_store_outage)
{
  struct wy_platform_store_faults *f;

  job_fixture_start (1);
  f = wy_platform_store_faults (job_fixture.store);
  wy_platform_store_put (job_fixture.store, WY_MEMBERS_TABLE, "0", "n9",
                         "{\"holder\":\"n9/1\",\"beat\":1}");
  platform_fixture_run_ms (&job_fixture, 500);
  cr_expect_eq (wy_members_count_alive (job_entry.members), 2);
  f->silent = true;
  platform_fixture_run_ms (&job_fixture, 2500);
  f->silent = false;
  cr_assert (platform_fixture_run_until (&job_fixture, store_is_back, NULL));
  platform_fixture_run_ms (&job_fixture, 700);
  cr_expect_eq (wy_members_count_alive (job_entry.members), 2);
  /* The entry still writes no heartbeat and is considered failed in the
     end.  */
  platform_fixture_run_ms (&job_fixture, 1600);
  cr_expect_eq (wy_members_count_alive (job_entry.members), 1);
  job_fixture_stop ();
}

static bool
all_results_are_listed (void *ctx)
{
  return job_fixture_count_results ("j1") == JOB_ITEMS;
}

/* All results are listed, and the response to the write that marks the job as
   done is lost.  Guards against taking it for a job without a holder: its body
   and all its results would be read again and again.  */
Test (jobs, done_job_is_not_loaded_again)
{
  struct wy_platform_store_faults *f;

  job_fixture_start (2);
  f = wy_platform_store_faults (job_fixture.store);
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  f->stall_feed = true;
  cr_assert (
      platform_fixture_run_until (&job_fixture, all_results_are_listed, NULL));
  f->lose_response = 4;
  platform_fixture_run_ms (&job_fixture, 700);
  cr_expect_eq (*job_fixture.env.count.jobs_taken_over, 0);
  f->stall_feed = false;
  platform_fixture_run_ms (&job_fixture, 1500);
  cr_expect_eq (*job_fixture.env.count.jobs_taken_over, 0);
  cr_expect (strstr (wy_platform_store_value (job_fixture.store, WY_JOBS_TABLE,
                                              "j1", WY_JOB_ROW_KEY),
                     "done"));
  job_fixture_stop ();
}

/* The trainer ends its job while items run.  No further run may start, and
   listed results must stay.  */
Test (jobs, nothing_starts_after_the_end)
{
  uint32_t runs;

  job_fixture_start (1);
  wy_platform_replica_faults (job_fixture.replicas[0])->stall_streams
      = JOB_ITEMS;
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  platform_fixture_run_ms (&job_fixture, 30);
  cr_expect_eq (job_fixture_status ("DELETE", "/api/lots/j1"), 200);
  platform_fixture_run_ms (&job_fixture, 50);
  runs = wy_platform_replica_runs (job_fixture.replicas[0]);
  platform_fixture_run_ms (&job_fixture, 400);
  cr_expect_eq (wy_platform_replica_runs (job_fixture.replicas[0]), runs);
  cr_expect_eq (wy_jobs_running (job_entry.jobs), 0);
  cr_expect_eq (job_fixture_status ("GET", "/api/lots/j1?after=0"), 200);
  job_fixture_stop ();
}

/* Results may be read for a limited time; then the job must be removed, or the
   store fills up and accepts no more jobs.  */
Test (jobs, expired_job_is_removed)
{
  job_fixture_start (2);
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  job_fixture_check_results ("j1");
  cr_expect_eq (job_fixture_status ("DELETE", "/api/lots/j1"), 200);
  cr_expect_gt (wy_platform_store_object_count (job_fixture.store), 0);
  /* As if it had been accepted long ago.  */
  {
    char *value = wy_platform_store_value (job_fixture.store, WY_JOBS_TABLE,
                                           "j1", WY_JOB_ROW_KEY);
    json_t *doc = json_loads (value, 0, NULL);
    char *old;

    json_object_set_new (doc, "accepted_ms", json_integer (1));
    old = json_dumps (doc, JSON_COMPACT);
    wy_platform_store_put (job_fixture.store, WY_JOBS_TABLE, "j1",
                           WY_JOB_ROW_KEY, old);
    free (old);
    free (value);
    json_decref (doc);
  }
  platform_fixture_run_ms (&job_fixture, 3500);
  cr_expect_eq (
      wy_platform_store_row_count (job_fixture.store, WY_JOBS_TABLE, "j1"), 0);
  cr_expect_eq (job_fixture_count_results ("j1"), 0);
  cr_expect_eq (wy_platform_store_object_count (job_fixture.store), 0,
                "%u left", wy_platform_store_object_count (job_fixture.store));
  job_fixture_stop ();
}
