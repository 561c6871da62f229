/* Batches: each sample is delivered at most once, with the versions of all its
   tokens, and within the staleness bound.  */
#include <criterion/criterion.h>
#include <string.h>

#include "support/yard_fixture.h"

#define STEP_1 "yard/y/trainer/t/step/1"

static bool
is_fixed (void *ctx)
{
  struct yard_fixture *w = ctx;

  return !strcmp (fake_table_text (w->table, STEP_1, "state"), "fixed");
}

static bool
has_fixed_event (void *ctx)
{
  return yard_count_events (ctx, 0, "step.fixed") > 0;
}

static uint32_t
lines_of (const char *text)
{
  uint32_t n = 0;

  for (; *text; text++)
    n += *text == '\n';
  return n;
}

static bool
share_a_line (const char *a, const char *b)
{
  gchar **lines = g_strsplit (a, "\n", 0);
  bool found = false;

  for (gchar **l = lines; *l; l++)
    found = found || (**l && strstr (b, *l));
  g_strfreev (lines);
  return found;
}

Test (batch, step_is_submitted_fixed_handed_and_acknowledged)
{
  struct yard_fixture w;
  char *ids;
  char *again;

  yard_fixture_init (&w, 1);
  yard_fixture_start_entry (&w, 0);
  cr_assert_eq (yard_submit (&w, 0, 1), 202);
  cr_assert_eq (yard_submit (&w, 0, 1), 202);
  cr_assert_eq (yard_batch (&w, 0, 1), 200);
  ids = yard_sample_ids (&w);
  cr_assert_eq (lines_of (ids), 4);
  cr_assert_eq (json_integer_value (json_object_get (w.body, "oldest")), 1);
  cr_assert_eq (yard_batch (&w, 0, 1), 200);
  again = yard_sample_ids (&w);
  cr_assert_str_eq (ids, again);
  cr_assert_eq (yard_ack (&w, 0, 1), 200);
  cr_assert_eq (yard_ack (&w, 0, 1), 200);
  cr_assert_eq (yard_batch (&w, 0, 1), 410);
  cr_assert_eq (yard_count_events (&w, 0, "step.submitted"), 1);
  cr_assert_eq (yard_count_events (&w, 0, "step.fixed"), 1);
  cr_assert_eq (yard_count_events (&w, 0, "step.handed"), 2);
  cr_assert_eq (yard_count_events (&w, 0, "step.acked"), 1);
  g_free (ids);
  g_free (again);
  yard_fixture_free (&w);
}

/* The transaction that commits a batch takes effect, but its response is lost.
   A second commit with other samples would deliver a step twice.  */
Test (batch, lost_response_of_the_commit_transaction)
{
  struct yard_fixture w;
  uint32_t started;

  yard_fixture_init (&w, 1);
  yard_fixture_start_entry (&w, 0);
  cr_assert_eq (yard_submit (&w, 0, 1), 202);
  w.table->lose_response_key_suffix = "step/1";
  cr_assert_eq (yard_batch (&w, 0, 1), 200);
  cr_assert_null (w.table->lose_response_key_suffix, "no response was lost");
  cr_assert (run_until (&w.loop, has_fixed_event, &w));
  started = w.entry[0].runner.started;
  run_for (&w.loop, 100);
  cr_assert_eq (yard_count_events (&w, 0, "step.fixed"), 1);
  cr_assert_eq (w.entry[0].runner.started, started);
  yard_fixture_free (&w);
}

/* The entry that committed a batch fails before the trainer requests it.  The
   trainer gets the same batch from another entry, and no sample is generated
   again.  */
Test (batch, sampler_fails_between_commit_and_delivery)
{
  struct yard_fixture w;
  char *fixed;

  yard_fixture_init (&w, 1);
  yard_fixture_start_entry (&w, 0);
  cr_assert_eq (yard_submit (&w, 0, 1), 202);
  cr_assert (run_until (&w.loop, is_fixed, &w));
  fixed = g_strdup (fake_table_text (w.table, STEP_1, "batch"));
  yard_fixture_crash_entry (&w, 0);
  yard_fixture_start_entry (&w, 1);
  cr_assert_eq (yard_batch (&w, 1, 1), 200);
  cr_assert_str_eq (fake_table_text (w.table, STEP_1, "batch"), fixed);
  cr_assert_eq (w.entry[1].runner.started, 0);
  g_free (fixed);
  yard_fixture_free (&w);
}

/* The entry fails while samples run.  They are lost, and the next holder of
   the lease issues them again, so the trainer gets a complete batch later.  */
Test (batch, sampler_fails_with_samples_running)
{
  struct yard_fixture w;
  json_int_t fence;

  yard_fixture_init (&w, 1);
  yard_fixture_start_entry (&w, 0);
  w.entry[0].runner.hold_outcomes = true;
  cr_assert_eq (yard_submit (&w, 0, 1), 202);
  while (w.entry[0].runner.started < 4)
    run_for (&w.loop, 5);
  fence = json_integer_value (json_object_get (
      fake_table_get (w.table, "lease/sampler/y/t/fence"), "fence"));
  yard_fixture_crash_entry (&w, 0);
  yard_fixture_start_entry (&w, 1);
  cr_assert_eq (yard_batch (&w, 1, 1), 200);
  cr_assert_geq (w.entry[1].runner.started, 4);
  cr_assert_gt (json_integer_value (json_object_get (
                    fake_table_get (w.table, STEP_1), "fence")),
                fence);
  yard_fixture_free (&w);
}

/* A version is published after a batch was committed and before it is
   delivered, so its samples exceed the staleness bound.  They must not be
   delivered.  */
Test (batch, stale_before_the_first_delivery_is_sampled_again)
{
  struct yard_fixture w;
  char *old;
  char *ids;
  gsize n;

  yard_fixture_init (&w, 0);
  yard_fixture_start_entry (&w, 0);
  cr_assert_eq (yard_submit (&w, 0, 1), 202);
  cr_assert (run_until (&w.loop, is_fixed, &w));
  old = json_dumps (
      json_object_get (fake_table_get (w.table, STEP_1), "samples"), 0);
  cr_assert_eq (
      yard_call (&w, 0, "POST", "/v1/yards/y/weights", "{\"version\":2}"),
      202);
  w.entry[0].runner.version = 2;
  cr_assert_eq (yard_batch (&w, 0, 1), 200);
  cr_assert_eq (json_integer_value (json_object_get (w.body, "oldest")), 2);
  cr_assert_eq (json_integer_value (json_object_get (w.body, "current")), 2);
  ids = yard_sample_ids (&w);
  n = lines_of (ids);
  cr_assert_eq (n, 4);
  cr_assert_not (share_a_line (ids, old), "a sample was delivered twice");
  free (old);
  g_free (ids);
  yard_fixture_free (&w);
}

/* The trainer reads its batch, publishes a version, restarts, and reads the
   batch again.  It may have trained on it, so the batch must not be replaced;
   and it is stale now, so it must not be delivered again either.  */
Test (batch, delivered_batch_is_never_replaced)
{
  struct yard_fixture w;

  yard_fixture_init (&w, 0);
  yard_fixture_start_entry (&w, 0);
  cr_assert_eq (yard_submit (&w, 0, 1), 202);
  cr_assert_eq (yard_batch (&w, 0, 1), 200);
  cr_assert_eq (
      yard_call (&w, 0, "POST", "/v1/yards/y/weights", "{\"version\":2}"),
      202);
  cr_assert_eq (yard_batch (&w, 0, 1), 409);
  cr_assert_str_eq (fake_table_text (w.table, STEP_1, "state"), "handed");
  cr_assert_eq (yard_ack (&w, 0, 1), 200);
  yard_fixture_free (&w);
}

/* The segments of a sample don't give a version for each token, or the engine
   crashes.  The sample is dropped and replaced by another one.  */
Test (batch, unproven_samples_are_dropped_and_replaced)
{
  struct yard_fixture w;

  yard_fixture_init (&w, 1);
  yard_fixture_start_entry (&w, 0);
  w.entry[0].runner.gap_next = 2;
  w.entry[0].runner.crash_next = 1;
  cr_assert_eq (yard_submit (&w, 0, 1), 202);
  cr_assert_eq (yard_batch (&w, 0, 1), 200);
  cr_assert_eq (json_array_size (json_object_get (w.body, "samples")), 4);
  cr_assert_eq (yard_count_text (&w, 0, "\"reason\":\"unproven\""), 2);
  cr_assert_eq (yard_count_text (&w, 0, "\"reason\":\"crashed\""), 1);
  cr_assert_eq (yard_count_text (&w, 0, "\"from\":1,"), 0);
  yard_fixture_free (&w);
}

/* A version is activated while samples run.  Each sample lists both versions,
   and the older one counts for its staleness.  */
Test (batch, activation_during_a_sample_gives_two_segments)
{
  struct yard_fixture w;
  const json_t *sample;
  const json_t *segments;

  yard_fixture_init (&w, 1);
  yard_fixture_start_entry (&w, 0);
  w.entry[0].runner.version = 2;
  w.entry[0].runner.mixed_versions_next = 100;
  cr_assert_eq (yard_submit (&w, 0, 1), 202);
  cr_assert_eq (yard_batch (&w, 0, 1), 200);
  cr_assert_eq (json_integer_value (json_object_get (w.body, "oldest")), 1);
  sample = json_array_get (json_object_get (w.body, "samples"), 0);
  segments = json_object_get (sample, "segments");
  cr_assert_eq (json_array_size (segments), 2);
  cr_assert_eq (json_integer_value (
                    json_object_get (json_array_get (segments, 1), "version")),
                2);
  yard_fixture_free (&w);
}

/* Engines reject samples for a while because callers have priority.  Rejected
   samples keep their place and use up none of the spare samples of the step.
 */
Test (batch, rejected_samples_are_started_again)
{
  struct yard_fixture w;

  yard_fixture_init (&w, 1);
  yard_fixture_start_entry (&w, 0);
  w.entry[0].runner.refuse_next = 40;
  cr_assert_eq (yard_submit (&w, 0, 1), 202);
  cr_assert_eq (yard_batch (&w, 0, 1), 200);
  cr_assert_eq (w.entry[0].runner.refuse_next, 0);
  yard_fixture_free (&w);
}

Test (batch, invalid_requests_are_rejected_with_the_status)
{
  static const struct
  {
    const char *path;
    const char *body;
    int status;
  } cases[] = {
    { "/v1/yards/y/trainers/t/steps/1/groups", "{", 400 },
    { "/v1/yards/y/trainers/t/steps/1/groups", "{\"groups\":[]}", 422 },
    { "/v1/yards/y/trainers/t/steps/1/groups",
      "{\"groups\":[{\"group\":\"a\",\"prompt\":\"p\",\"samples\":2,"
      "\"max_tokens\":0}]}",
      422 },
    { "/v1/yards/y/trainers/t/steps/1/groups",
      "{\"groups\":[{\"group\":\"a\",\"prompt\":\"p\",\"samples\":2,"
      "\"max_tokens\":9},{\"group\":\"b\",\"prompt\":\"p\",\"samples\":3,"
      "\"max_tokens\":9}]}",
      422 },
    { "/v1/yards/y/trainers/t/steps/0/groups", "{}", 400 },
    { "/v1/yards/y/trainers/x/steps/1/groups", "{}", 404 },
    { "/v1/yards/x/weights", "{\"version\":1}", 404 },
    { "/v1/yards/y/weights", "{\"version\":0}", 422 },
  };
  struct yard_fixture w;

  yard_fixture_init (&w, 1);
  yard_fixture_start_entry (&w, 0);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    cr_assert_eq (yard_call (&w, 0, "POST", cases[i].path, cases[i].body),
                  cases[i].status, "case %zu: %d", i, w.status);
  cr_assert_eq (yard_batch (&w, 0, 9), 404);
  yard_fixture_free (&w);
}
