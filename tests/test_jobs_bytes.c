/* Jobs whose texts, or whose submitters, bring bytes that can't be JSON.  */
#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#include "jobs/text_rows.h"
#include "support/job_fixture.h"

enum
{
  MIDDLE_EVENT = 3
};

/* Run a job whose first two streams have BYTE in the data of EVENT, or with
   IN_ID in its id.  */
static void
run_with_spoilt_event (unsigned char byte, uint32_t event, bool in_id)
{
  struct wy_platform_replica_faults *f;

  job_fixture_start (2);
  f = wy_platform_replica_faults (job_fixture.replicas[0]);
  f->spoil_streams = 2;
  f->spoil_event = event;
  f->spoil_byte = byte;
  f->spoil_id = in_id;
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  job_fixture_check_results ("j1");
  cr_expect_eq (f->spoil_streams, 0);
  cr_expect_eq (*job_fixture.env.count.item_runs_failed, 2);
  cr_expect_eq (job_fixture_count_results ("j1"), JOB_ITEMS);
  job_fixture_stop ();
}

static void
run_with_spoilt_byte (unsigned char byte, uint32_t event)
{
  run_with_spoilt_event (byte, event, false);
}

/* Guards against a job whose results can't be read from the item on whose
   event has a byte that is no UTF-8.  */
Test (jobs_bytes, event_without_utf8)
{
  run_with_spoilt_byte (0xff, MIDDLE_EVENT);
}

/* Guards against the same where the byte begins a character.  */
Test (jobs_bytes, event_with_half_a_character)
{
  run_with_spoilt_byte (0xc0, JOB_EVENTS);
}

/* Guards against a text that is listed as complete but ends at a zero byte. */
Test (jobs_bytes, event_with_a_zero_byte) { run_with_spoilt_byte (0, 1); }

/* Guards against a text that is listed as complete without its last event,
   whose id can't be read.  */
Test (jobs_bytes, last_event_without_an_id)
{
  run_with_spoilt_event ('x', JOB_EVENTS, true);
}

/* The same where the byte is no UTF-8.  */
Test (jobs_bytes, last_event_with_a_spoilt_id)
{
  run_with_spoilt_event (0xb6, JOB_EVENTS, true);
}

/* Guards against a text that is listed as complete without the events after
   its first one, whose id has become another number.  */
Test (jobs_bytes, first_event_with_another_id)
{
  run_with_spoilt_event ('5', 1, true);
}

/* The same for an event in the middle.  */
Test (jobs_bytes, middle_event_with_another_id)
{
  run_with_spoilt_event ('2', MIDDLE_EVENT, true);
}

/* Guards against a result that names no version of the weights, or one that is
   too old, since the version of its run can't be read.  */
Test (jobs_bytes, version_that_is_no_number)
{
  job_fixture_start (2);
  wy_platform_replica_faults (job_fixture.replicas[0])->spoil_version = 2;
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  for (uint32_t i = 0; i < JOB_ITEMS; i++)
    {
      json_t *r = job_fixture_await_result ("j1", i);

      cr_expect_eq (json_array_size (json_object_get (r, "versions")), 1);
      json_decref (r);
    }
  cr_expect_eq (*job_fixture.env.count.item_runs_failed, 2);
  job_fixture_stop ();
}

/* Guards against a run started again and again without a pause, and against an
   item given up before its time, when the only replica spoils each text.  */
Test (jobs_bytes, one_replica_that_spoils_all)
{
  enum
  {
    OBSERVED_MS = 3000,
    RUNS_MAX = 12 /* of an item: two at once, then at most one each 500 ms */
  };
  struct wy_platform_replica_faults *f;

  job_fixture_start (1);
  f = wy_platform_replica_faults (job_fixture.replicas[0]);
  f->spoil_streams = UINT32_MAX;
  f->spoil_event = 1;
  f->spoil_byte = 0xff;
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  platform_fixture_run_ms (&job_fixture, OBSERVED_MS);
  cr_expect_leq (wy_platform_replica_runs (job_fixture.replicas[0]),
                 JOB_ITEMS * RUNS_MAX);
  cr_expect_eq (job_fixture_count_results ("j1"), 0);
  f->spoil_streams = 0;
  job_fixture_check_results ("j1");
  job_fixture_stop ();
}

/* Guards against a takeover that stops at a piece of a text which an earlier
   version has stored without its bytes, or that joins the pieces after it.  */
Test (jobs_bytes, stored_piece_without_text)
{
  static const char *const values[]
      = { "{\"text\":\"one\",\"id\":\"00000000000000a1\",\"at_ms\":1,"
          "\"versions\":[1],\"last\":1,\"whole\":false}",
          "{\"id\":\"00000000000000a1\",\"at_ms\":1,"
          "\"versions\":[1],\"last\":3,\"whole\":false}",
          "{\"text\":\"\\nfour\",\"id\":\"00000000000000a1\",\"at_ms\":1,"
          "\"versions\":[1],\"last\":4,\"whole\":true}" };
  struct wy_row rows[G_N_ELEMENTS (values)] = { { .key = "it-0.0000000000" },
                                                { .key = "it-0.0000000003" },
                                                { .key = "it-0.0000000012" } };
  struct wy_saved_text *t;

  for (size_t k = 0; k < G_N_ELEMENTS (values); k++)
    {
      rows[k].value = values[k];
      rows[k].size_bytes = strlen (values[k]);
    }
  t = wy_text_rows_join (rows, G_N_ELEMENTS (rows));
  cr_assert_not_null (t);
  cr_expect_str_eq (t->text->str, "one");
  cr_expect_eq (t->last_event, 1);
  cr_expect_not (t->complete);
  wy_saved_text_free (t);
}

static int
submit_at (const char *path, const char *host, const char *id)
{
  struct wy_h1_header fields[] = { { "Host", host }, { "Attempt-Id", id } };
  char *body = job_fixture_body (1);
  struct platform_response *a = platform_fixture_call (
      &job_fixture, wy_h1_server_port (job_entry.server), "POST", path, fields,
      G_N_ELEMENTS (fields), body);
  int status;

  cr_assert (
      platform_fixture_run_until (&job_fixture, platform_response_done, a));
  status = a->status;
  platform_response_free (a);
  g_free (body);
  return status;
}

/* Guards against an entry that ends when a job is sent to a path that is no
   UTF-8, and with it each entry that the submitter tries next.  */
Test (jobs_bytes, path_without_utf8)
{
  job_fixture_start (2);
  cr_expect_eq (submit_at ("/p/job\xff", "h", "j1"), 400);
  cr_expect_eq (submit_at ("/p/job", "h\xff", "j1"), 400);
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  job_fixture_check_results ("j1");
  job_fixture_stop ();
}

/* Guards against a job that is confirmed although its row was left out of the
   transaction, since its name is no UTF-8.  */
Test (jobs_bytes, name_without_utf8)
{
  job_fixture_start (2);
  cr_expect_eq (submit_at ("/p/job", "h", "j\xff"), 400);
  cr_expect_eq (wy_jobs_running (job_entry.jobs), 0);
  job_fixture_stop ();
}

/* Store the result list of job "j1" anew as an earlier version would have left
   it: the row at POSITION is empty.  */
static void
empty_row (uint32_t position)
{
  char *key = g_strdup_printf ("%010u", position);

  wy_platform_store_put (job_fixture.store, WY_RESULTS_TABLE, "j1", key, "");
  g_free (key);
}

static void
replace_entry (const char *holder)
{
  job_fixture_stop_entry ();
  platform_fixture_run_ms (&job_fixture, 50);
  g_free ((char *)job_fixture.env.holder);
  job_fixture.env.holder = g_strdup (holder);
  job_fixture_start_entry ();
}

/* Guards against a takeover that ends in a job whose results can't be read
   since an earlier version has written an empty row.  */
Test (jobs_bytes, takeover_of_an_empty_row)
{
  job_fixture_start (1);
  wy_platform_replica_faults (job_fixture.replicas[0])->stall_streams = 2;
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  json_decref (job_fixture_await_result ("j1", 2));
  empty_row (1);
  replace_entry ("n1/2");
  job_fixture_check_results ("j1");
  cr_expect_eq (job_fixture_count_results ("j1"), JOB_ITEMS);
  job_fixture_stop ();
}

/* Guards against results after an empty row that nobody can read since the job
   counts as done.  */
Test (jobs_bytes, empty_rows_of_a_job_that_is_done)
{
  job_fixture_start (2);
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  job_fixture_check_results ("j1");
  platform_fixture_run_ms (&job_fixture, 300);
  empty_row (0);
  empty_row (3);
  replace_entry ("n1/2");
  job_fixture_check_results ("j1");
  cr_expect_eq (job_fixture_count_results ("j1"), JOB_ITEMS);
  job_fixture_stop ();
}
