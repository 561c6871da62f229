/* The order in which an entry starts the items of its jobs.  */
#include <criterion/criterion.h>
#include <string.h>

#include "support/job_fixture.h"

enum
{
  DUE_MS = 1,
  SLOTS = 4,
  MANY_ITEMS = 24,
  LEARNING_JOBS = 3 /* with enough items to learn what they take */
};

/* Group g0 has the most expected tokens and g2 the fewest; each has a long
   item and a short one.  */
static const int expected_tokens[JOB_ITEMS] = { 40, 10, 30, 8, 20, 6 };

/* A job of N items, of which each two form a group.  */
static char *
job_body (const char *job, int n)
{
  GString *s = g_string_new ("{\"step\":1,\"model\":\"m\","
                             "\"minimumVersion\":1,\"desiredCount\":2,"
                             "\"items\":[");

  for (int i = 0; i < n; i++)
    g_string_append_printf (
        s,
        "%s{\"id\":\"%s-%d\",\"path\":\"/p/%d\",\"headers\":{\"Model\":\"m\","
        "\"Length-Hint\":\"%d\"},\"body\":\"aGVsbG8=\",\"group\":\"g%d\"}",
        i ? "," : "", job, i, i, expected_tokens[i % JOB_ITEMS], i / 2);
  g_string_append (s, "]}");
  return g_string_free (s, FALSE);
}

/* Start an entry with one replica that runs SLOTS items at a time; with one,
   the results are listed in the order in which their items start.  */
static void
start (uint32_t slots)
{
  struct wy_replica info;

  job_fixture_start (1);
  ((struct wy_route *)wy_routing_match (job_fixture.env.routing, "h", "/p/x"))
      ->result_deadline_ms
      = DUE_MS;
  info = wy_targets_find (job_fixture.env.targets, "i-1")->info;
  info.slots = slots;
  wy_targets_set (job_fixture.env.targets, &info);
}

static void
submit (const char *job, int n)
{
  char *body = job_body (job, n);

  cr_expect_eq (job_fixture_submit_body (job, body), 202);
  g_free (body);
}

/* Wait for all results of JOB.  Returns the numbers of its items in the order
   of the list, allocated.  */
static char *
await_order (const char *job)
{
  GString *order = g_string_new (NULL);

  for (uint32_t n = 0; n < JOB_ITEMS; n++)
    {
      json_t *r = job_fixture_await_result (job, n);
      const char *id = job_fixture_string (r, "id");

      g_string_append (order, strrchr (id, '-') + 1);
      json_decref (r);
    }
  return g_string_free (order, FALSE);
}

/* A job that can't end in time.  Guards against all its groups becoming
   complete together when all are late: once it is known what items take, the
   groups with the least work are completed first, and the one that the
   trainer doesn't need last.  */
Test (jobs_order, groups_of_a_late_job)
{
  char id[16];
  char *order;

  start (1);
  for (int j = 0; j < LEARNING_JOBS; j++)
    {
      g_snprintf (id, sizeof id, "j%d", j);
      submit (id, JOB_ITEMS);
      order = await_order (id);
      if (j == 0)
        cr_expect_str_eq (order, "024135", "%s", order);
      g_free (order);
    }
  submit ("late", JOB_ITEMS);
  order = await_order ("late");
  cr_expect_str_eq (order, "452301", "%s", order);
  g_free (order);
  job_fixture_stop ();
}

static bool
old_job_is_listed (void *ctx)
{
  return job_fixture_count_results ("old") == MANY_ITEMS;
}

/* A late job with many waiting items beside a new one of the same model.
   Guards against all slots going to the late job until it has no more to
   start.  */
Test (jobs_order, new_job_beside_a_late_one)
{
  start (SLOTS);
  submit ("old", MANY_ITEMS);
  submit ("new", JOB_ITEMS);
  cr_assert (
      platform_fixture_run_until (&job_fixture, old_job_is_listed, NULL));
  cr_expect_geq (job_fixture_count_results ("new"), 3);
  job_fixture_stop ();
}
