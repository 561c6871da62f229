/* Scores of items: requested when the text is complete, never those of another
   text, and never a reason to generate a text again.  */
#include <criterion/criterion.h>
#include <string.h>

#include "support/job_fixture.h"

/* In base64: a body that the stand-in scores, and one that it fails to
   score.  */
#define SCORED "c2NvcmU="
#define UNSCORED "ZmFpbA=="
/* One that crashes the stand-in.  */
#define CRASHES "Y3Jhc2g="

enum
{
  /* One replica of the model; the others score.  */
  ENGINE = 0,
  SCORER = 1,
  OTHER_SCORER = 2,
  /* Within this time every call that crashes its replicas must be known; then
     it may reach them this often at most.  */
  KNOWN_MS = 3000,
  LATE_CALLS_MAX = 3,
  OBSERVED_MS = 7000,
  LIST_MS = 50
};

static void
start (int scorers)
{
  job_fixture_start (1);
  for (int i = 0; i < scorers; i++)
    platform_fixture_add_scorer (&job_fixture, "h");
}

static void
submit (const char *scorer_body)
{
  char *body = job_fixture_scored_body ("h", scorer_body);

  cr_assert_eq (job_fixture_submit_body ("j1", body), 202);
  g_free (body);
}

static struct wy_platform_replica_faults *
faults (int replica)
{
  return wy_platform_replica_faults (job_fixture.replicas[replica]);
}

static uint32_t
runs (int replica)
{
  return wy_platform_replica_runs (job_fixture.replicas[replica]);
}

/* Check that each result has the stamp of the response to its own item's
   call.  */
static void
check_scores (void)
{
  job_fixture_check_results ("j1");
  for (uint32_t n = 0; n < JOB_ITEMS; n++)
    {
      json_t *r = job_fixture_await_result ("j1", n);
      char *own = g_strdup_printf ("sc-%s.", job_fixture_string (r, "id") + 3);

      cr_expect (g_str_has_prefix (job_fixture_string (r, "score"), own),
                 "%s has the score %s", job_fixture_string (r, "id"),
                 job_fixture_string (r, "score"));
      g_free (own);
      json_decref (r);
    }
}

static bool
texts_are_complete (void *ctx)
{
  return runs (ENGINE) >= JOB_ITEMS
         && wy_platform_replica_running (job_fixture.replicas[ENGINE]) == 0;
}

static void
start_successor (void)
{
  job_fixture_stop_entry ();
  platform_fixture_run_ms (&job_fixture, 50);
  g_free ((char *)job_fixture.env.holder);
  job_fixture.env.holder = g_strdup ("n1/2");
  job_fixture_start_entry ();
}

Test (scores, each_text_has_its_own_score)
{
  start (2);
  submit (SCORED);
  check_scores ();
  cr_expect_eq (runs (ENGINE), JOB_ITEMS);
  cr_expect_eq (runs (SCORER) + runs (OTHER_SCORER), JOB_ITEMS);
  job_fixture_stop ();
}

/* The scoring service rejects calls, loses responses, cuts connections,
   responds to other requests and omits its stamp.  None of this means that a
   text can't be scored: the trainer must get every item, complete and with its
   own score, and no text may be generated twice.  */
Test (scores, service_fails_calls)
{
  start (2);
  for (int i = SCORER; i <= OTHER_SCORER; i++)
    {
      faults (i)->respond_not_run = 3;
      faults (i)->lose_response = 2;
      faults (i)->wrong_attempt_id = 2;
      faults (i)->omit_stamp = 2;
    }
  submit (SCORED);
  check_scores ();
  cr_expect_eq (runs (ENGINE), JOB_ITEMS);
  cr_expect_geq (*job_fixture.env.count.score_calls_failed, 10);
  job_fixture_stop ();
}

/* Guards against a result whose score is left out since the stamp that came
   with it is no UTF-8.  */
Test (scores, stamp_without_utf8)
{
  start (2);
  faults (SCORER)->spoil_stamp = 2;
  faults (OTHER_SCORER)->spoil_stamp = 2;
  submit (SCORED);
  check_scores ();
  cr_expect_geq (*job_fixture.env.count.score_calls_failed, 2);
  job_fixture_stop ();
}

/* The service itself fails to score a text each time.  The item must be given
   up after as many failures as the larger limit of both routes, not before and
   not much later, or its group would never be complete.  */
Test (scores, texts_that_can_not_be_scored)
{
  start (2);
  submit (UNSCORED);
  for (uint32_t n = 0; n < JOB_ITEMS; n++)
    {
      json_t *r = job_fixture_await_result ("j1", n);

      cr_expect_str_eq (job_fixture_string (r, "state"), "abandoned");
      cr_expect_null (json_object_get (r, "score"));
      json_decref (r);
    }
  /* Three attempts by the job's route, two by the scorer's.  */
  cr_expect_eq (runs (SCORER) + runs (OTHER_SCORER), 3 * JOB_ITEMS);
  cr_expect_eq (runs (ENGINE), JOB_ITEMS);
  job_fixture_stop ();
}

static char *
few_fail_body (int failing, int others)
{
  GString *s = g_string_new ("{\"step\":1,\"model\":\"m\",\"items\":[");

  for (int i = 0; i < failing + others; i++)
    g_string_append_printf (
        s,
        "%s{\"id\":\"it-%d\",\"path\":\"/p/%d\",\"headers\":{\"Model\":\"m\"},"
        "\"group\":\"g%d\",\"scorer\":{\"id\":\"sc-%d\",\"host\":\"h\","
        "\"path\":\"/s/x\",\"body\":\"%s\"}}",
        i ? "," : "", i, i, i < failing ? i : failing, i,
        i < failing ? UNSCORED : SCORED);
  g_string_append (s, "]}");
  return g_string_free (s, FALSE);
}

/* One replica has failed to score some texts, and the only other one is not
   available now.  These texts precede the others, as their groups lack the
   fewest items; they must not keep the others from the free replica.  */
Test (scores, texts_that_wait_for_another_replica)
{
  enum
  {
    FAILING = 2,
    OTHERS = 4
  };
  char *body = few_fail_body (FAILING, OTHERS);

  start (2);
  faults (SCORER)->response_ms = 50;
  wy_targets_find (job_fixture.env.targets, "i-3")->avoid_until_ms = INT64_MAX;
  cr_assert_eq (job_fixture_submit_body ("j1", body), 202);
  for (uint32_t n = 0; n < OTHERS; n++)
    {
      json_t *r = job_fixture_await_result ("j1", n);

      cr_expect_str_eq (job_fixture_string (r, "state"), "completed");
      json_decref (r);
    }
  cr_expect_eq (runs (SCORER), FAILING + OTHERS);
  g_free (body);
  job_fixture_stop ();
}

/* A replica accepts calls and never responds.  Each call must be hedged at
   another replica long before its time limit, or the whole step would wait for
   it.  */
Test (scores, replica_hangs)
{
  start (2);
  faults (SCORER)->hang = 1000;
  faults (SCORER)->response_ms = 1000000;
  submit (SCORED);
  check_scores ();
  cr_expect_eq (runs (ENGINE), JOB_ITEMS);
  cr_expect_gt (*job_fixture.env.count.score_hedges, 0);
  job_fixture_stop ();
}

/* The holder of a job crashes while all its texts wait for their scores.  Its
   successor must request only the scores: generating the texts again would
   take as long as the longest one.  */
Test (scores, holder_crashes_while_scoring)
{
  start (1);
  faults (SCORER)->silent = true;
  submit (SCORED);
  cr_assert (
      platform_fixture_run_until (&job_fixture, texts_are_complete, NULL));
  /* Two intervals between checkpoints.  */
  platform_fixture_run_ms (&job_fixture, 1200);
  faults (SCORER)->silent = false;
  start_successor ();
  check_scores ();
  cr_expect_eq (runs (ENGINE), JOB_ITEMS, "%u texts generated", runs (ENGINE));
  job_fixture_stop ();
}

/* The trainer ends its job while scores are requested.  No further call for it
   may reach the service.  */
Test (scores, no_call_after_the_end)
{
  uint32_t calls;

  start (1);
  faults (SCORER)->response_ms = 200;
  submit (SCORED);
  cr_assert (
      platform_fixture_run_until (&job_fixture, texts_are_complete, NULL));
  cr_expect_eq (job_fixture_status ("DELETE", "/api/lots/j1"), 200);
  platform_fixture_run_ms (&job_fixture, 50);
  calls = runs (SCORER);
  platform_fixture_run_ms (&job_fixture, 800);
  cr_expect_eq (runs (SCORER), calls);
  cr_expect_eq (wy_platform_replica_running (job_fixture.replicas[SCORER]), 0);
  job_fixture_stop ();
}

/* A scorer's host is unknown, or its route leads to jobs.  The submitter must
   be told at once; if the job were accepted, its results could never be
   listed.  */
Test (scores, scorers_without_a_route)
{
  char *unknown = job_fixture_scored_body ("elsewhere", SCORED);
  char *known = job_fixture_scored_body ("h", SCORED);

  start (0);
  cr_expect_eq (job_fixture_submit_body ("j1", unknown), 400);
  cr_expect_eq (job_fixture_submit_body ("j2", known), 400);
  platform_fixture_add_scorer (&job_fixture, "h");
  cr_expect_eq (job_fixture_submit_body ("j1", known), 202);
  check_scores ();
  g_free (unknown);
  g_free (known);
  job_fixture_stop ();
}

/* The scorer's route is removed while texts wait, and added again.  The items
   must wait for it; none may be given up.  */
Test (scores, route_gone_for_a_while)
{
  struct wy_routing *with;
  struct wy_routing *without;

  start (1);
  with = job_fixture.env.routing;
  job_fixture.env.routing = NULL;
  platform_fixture_set_routing (&job_fixture, WY_ROUTE_JOB, 3);
  without = job_fixture.env.routing;
  job_fixture.env.routing = with;
  faults (SCORER)->respond_not_run = 1000;
  submit (SCORED);
  cr_assert (
      platform_fixture_run_until (&job_fixture, texts_are_complete, NULL));
  job_fixture.env.routing = without;
  platform_fixture_run_ms (&job_fixture, 400);
  faults (SCORER)->respond_not_run = 0;
  job_fixture.env.routing = with;
  check_scores ();
  cr_expect_eq (runs (ENGINE), JOB_ITEMS);
  wy_routing_free (without);
  job_fixture_stop ();
}

/* Callers use the service interactively while a whole step waits for its
   scores.  Scores must never take the last slot of a replica nor wait in its
   queue, where they would delay each caller.  */
Test (scores, one_slot_stays_free)
{
  start (1);
  faults (SCORER)->response_ms = 60;
  submit (SCORED);
  for (int k = 0; k < 200 && wy_jobs_running (job_entry.jobs); k++)
    {
      cr_assert_lt (wy_platform_replica_running (job_fixture.replicas[SCORER]),
                    4);
      platform_fixture_run_ms (&job_fixture, 3);
    }
  check_scores ();
  job_fixture_stop ();
}

static uint32_t
calls_so_far (void)
{
  return runs (SCORER) + runs (OTHER_SCORER);
}

static void
run_with_list (int64_t ms)
{
  for (int64_t t = 0; t < ms; t += LIST_MS)
    {
      platform_fixture_run_ms (&job_fixture, LIST_MS);
      platform_fixture_list_replicas (&job_fixture);
    }
}

/* Each text's call crashes the replica that runs it.  Guards against calls
   that are repeated several times a second for as long as the job lasts.  */
Test (scores, texts_that_crash_the_scorer)
{
  uint32_t calls;

  start (2);
  faults (SCORER)->return_ms = faults (OTHER_SCORER)->return_ms = 200;
  submit (CRASHES);
  run_with_list (KNOWN_MS + 500);
  calls = calls_so_far ();
  run_with_list (OBSERVED_MS);
  cr_expect_leq (calls_so_far () - calls, LATE_CALLS_MAX * JOB_ITEMS,
                 "%u then %u", calls, calls_so_far () - calls);
  job_fixture_stop ();
}

/* The scorers die twice while they score sound texts, and another entry takes
   over when they are back.  Guards against texts that count as the cause and
   are scored only much later.  */
Test (scores, scored_when_scorers_are_back)
{
  enum
  {
    BURSTS = 2,
    BURST_MS = 600,
    CALLED_MS = 1500
  };
  uint32_t calls;

  start (2);
  for (int i = SCORER; i <= OTHER_SCORER; i++)
    {
      faults (i)->return_ms = 100;
      /* No call is answered between two bursts.  */
      faults (i)->response_ms = 2 * BURST_MS;
    }
  submit (SCORED);
  for (int burst = 0; burst < BURSTS; burst++)
    {
      run_with_list (BURST_MS);
      for (int i = SCORER; i <= OTHER_SCORER; i++)
        wy_platform_replica_crash (job_fixture.replicas[i]);
    }
  run_with_list (BURST_MS);
  faults (SCORER)->response_ms = faults (OTHER_SCORER)->response_ms = 1;
  calls = calls_so_far ();
  start_successor ();
  run_with_list (CALLED_MS);
  cr_expect_geq (calls_so_far () - calls, JOB_ITEMS, "%u calls",
                 calls_so_far () - calls);
  check_scores ();
  job_fixture_stop ();
}
