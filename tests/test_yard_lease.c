/* The lease of a sampler: paused processes, two entries, and outages of the
   store.  */
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

/* The sampler was paused, another entry has acquired the lease, and the
   sampler still believes that it holds it.  A batch that it commits would
   conflict with the samples of the new holder.  */
Test (yard_lease, paused_sampler_cannot_commit)
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
   back, the same entry continues with the samples that it has, so none is
   generated again.  */
Test (yard_lease, samples_survive_an_outage)
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

/* An entry is started while the store is down.  It works when the store is
   back.  */
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

/* Two entries have the yard.  One of them runs samples; the trainer gets the
   same responses from both.  */
Test (yard_lease, any_entry_handles_trainer_requests)
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
first_row_is_deleted (void *ctx)
{
  return fake_table_get (((struct yard_fixture *)ctx)->table, STEP_1) == NULL;
}

/* The rows of acknowledged steps are deleted.  A trainer may repeat requests
   for them whose responses were lost: no step must be started again.  */
Test (yard_lease, deleted_steps_stay_finished)
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
  cr_assert (run_until (&w.loop, first_row_is_deleted, &w));
  cr_assert_eq (yard_ack (&w, 0, 1), 200);
  cr_assert_eq (yard_batch (&w, 0, 1), 410);
  cr_assert_eq (yard_submit (&w, 0, 1), 409);
  yard_fixture_free (&w);
}

/* The latency of the store is nearly the duration of a lease.  Leases are lost
   and acquired again; when the store is fast again, the step is sampled.  */
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

/* Two versions are published shortly after one another, then none for a long
   time.  If the yard assumed that overdue versions had been published, all
   samples would be stale before they start, and the trainer would wait
   forever.  */
Test (yard_lease, long_interval_after_frequent_versions)
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
