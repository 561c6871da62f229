/* The sampler's lease: pauses, two at once, and outages of the store.  */
#include <criterion/criterion.h>
#include <string.h>

#include "support/yard_fixture.h"

#define STEP_1 "yard/y/trainer/t/step/1"
#define FENCE "lease/sampler/y/t/fence"

static bool
has_started (void *ctx)
{
  return ((struct yard_fixture *)ctx)->entry[0].runner.started >= 4;
}

static const char *
state (struct yard_fixture *w)
{
  return fake_table_text (w->table, STEP_1, "state");
}

/* The sampler was paused, its lease has gone to another entry, and it goes on
   believing that it still has it.  What it fixes would clash with what the
   other one has issued.  */
Test (yard_lease, paused_sampler_can_fix_nothing)
{
  struct yard_fixture w;

  yard_fixture_init (&w, 1);
  w.lease_ttl_ms = 20000;
  yard_fixture_start_entry (&w, 0);
  w.entry[0].runner.hold_outcomes = true;
  cr_assert_eq (yard_submit (&w, 0, 1), 202);
  cr_assert (run_until (&w.loop, has_started, &w));
  fake_table_set (w.table, FENCE,
                  json_pack ("{s:i, s:s, s:s}", "fence", 2, "holder",
                             "entry-1", "op", "other"));
  w.entry[0].runner.hold_outcomes = false;
  run_for (&w.loop, 500);
  cr_assert_str_eq (state (&w), "submitted");
  cr_assert_eq (yard_count_events (&w, 0, "step.fixed"), 0);
  cr_assert_eq (yard_count_events (&w, 0, "fence.accepted"), 0);
  yard_fixture_free (&w);
}

/* The store is down for longer than the lease while samples run.  When it is
   back the same entry goes on with the samples it has, and the trainer waits
   for the store only.  */
Test (yard_lease, samples_outlive_an_outage)
{
  struct yard_fixture w;
  uint32_t started;

  yard_fixture_init (&w, 1);
  yard_fixture_start_entry (&w, 0);
  w.entry[0].runner.hold_outcomes = true;
  cr_assert_eq (yard_submit (&w, 0, 1), 202);
  cr_assert (run_until (&w.loop, has_started, &w));
  run_for (&w.loop, 100);
  started = w.entry[0].runner.started;
  w.table->down = true;
  w.entry[0].runner.hold_outcomes = false;
  run_for (&w.loop, 1500);
  cr_assert_eq (yard_batch (&w, 0, 1), 503);
  cr_assert_eq (yard_submit (&w, 0, 2), 503);
  w.table->down = false;
  do
    run_for (&w.loop, 50);
  while (yard_batch (&w, 0, 1) == 503);
  cr_assert_eq (w.status, 200);
  cr_assert_eq (json_array_size (json_object_get (w.body, "samples")), 4);
  cr_assert_eq (w.entry[0].runner.started, started);
  yard_fixture_free (&w);
}

/* An entry is started while the store is down.  It begins its work when the
   store is back.  */
Test (yard_lease, entry_started_during_an_outage)
{
  struct yard_fixture w;

  yard_fixture_init (&w, 1);
  w.table->down = true;
  yard_fixture_start_entry (&w, 0);
  run_for (&w.loop, 500);
  w.table->down = false;
  do
    run_for (&w.loop, 50);
  while (yard_submit (&w, 0, 1) == 503);
  cr_assert_eq (w.status, 202);
  cr_assert_eq (yard_batch (&w, 0, 1), 200);
  yard_fixture_free (&w);
}

/* Two entries serve the yard.  One samples; the trainer may speak to either
   and gets the same.  */
Test (yard_lease, any_entry_answers_the_trainer)
{
  struct yard_fixture w;
  char *a;
  char *b;

  yard_fixture_init (&w, 1);
  w.lease_ttl_ms = 3000;
  yard_fixture_start_entry (&w, 0);
  yard_fixture_start_entry (&w, 1);
  for (int step = 1; step <= 8; step++)
    {
      cr_assert_eq (yard_submit (&w, step % 2, step), 202);
      cr_assert_eq (yard_batch (&w, 0, step), 200);
      a = yard_sample_ids (&w);
      cr_assert_eq (yard_batch (&w, 1, step), 200);
      b = yard_sample_ids (&w);
      cr_assert_str_eq (a, b);
      cr_assert_eq (yard_ack (&w, 1, step), 200);
      cr_assert_eq (yard_ack (&w, 0, step), 200);
      g_free (a);
      g_free (b);
    }
  cr_assert (w.entry[0].runner.started == 0 || w.entry[1].runner.started == 0);
  yard_fixture_free (&w);
}

static bool
first_row_is_gone (void *ctx)
{
  return fake_table_get (((struct yard_fixture *)ctx)->table, STEP_1) == NULL;
}

/* Rows of steps that are over are deleted.  A trainer whose answers were lost
   long ago may still send them: nothing begins again.  */
Test (yard_lease, deleted_steps_stay_over)
{
  struct yard_fixture w;

  yard_fixture_init (&w, 1);
  yard_fixture_start_entry (&w, 0);
  for (int step = 1; step <= 6; step++)
    {
      cr_assert_eq (yard_submit (&w, 0, step), 202);
      cr_assert_eq (yard_batch (&w, 0, step), 200);
      cr_assert_eq (yard_ack (&w, 0, step), 200);
    }
  cr_assert (run_until (&w.loop, first_row_is_gone, &w));
  cr_assert_eq (yard_ack (&w, 0, 1), 200);
  cr_assert_eq (yard_batch (&w, 0, 1), 410);
  cr_assert_eq (yard_submit (&w, 0, 1), 409);
  yard_fixture_free (&w);
}

/* The store answers, but takes nearly as long as a lease.  Leases are lost
   and taken again; when the store is quick again the step is sampled.  */
Test (yard_lease, store_slow_for_a_while)
{
  struct yard_fixture w;

  yard_fixture_init (&w, 1);
  yard_fixture_start_entry (&w, 0);
  cr_assert_eq (yard_submit (&w, 0, 1), 202);
  cr_assert_eq (yard_batch (&w, 0, 1), 200);
  cr_assert_eq (yard_ack (&w, 0, 1), 200);
  w.table->delay_ms = 500;
  cr_assert_eq (yard_submit (&w, 0, 2), 202);
  run_for (&w.loop, 2500);
  w.table->delay_ms = 0;
  cr_assert_eq (yard_batch (&w, 0, 2), 200);
  run_for (&w.loop, 600);
  yard_fixture_free (&w);
}

/* Two versions came shortly after one another, and then the trainer had to
   wait for long, say for the store.  A yard that takes the next versions for
   overdue finds every sample too old before it begins, and the trainer waits
   for ever.  */
Test (yard_lease, long_wait_after_quick_versions)
{
  struct yard_fixture w;

  yard_fixture_init (&w, 1);
  yard_fixture_start_entry (&w, 0);
  for (int version = 2; version <= 3; version++)
    {
      char *body = g_strdup_printf ("{\"version\":%d}", version);

      cr_assert_eq (yard_call (&w, 0, "POST", "/v1/yards/y/weights", body),
                    202);
      g_free (body);
      run_for (&w.loop, 400);
    }
  w.entry[0].runner.version = 3;
  run_for (&w.loop, 2500);
  cr_assert_eq (yard_submit (&w, 0, 1), 202);
  cr_assert_eq (yard_batch (&w, 0, 1), 200);
  cr_assert_eq (json_integer_value (json_object_get (w.body, "oldest")), 3);
  yard_fixture_free (&w);
}
