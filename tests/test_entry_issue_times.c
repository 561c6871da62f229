/* Filings under keys that tell no issue time, with real programs.  */
#include <criterion/criterion.h>
#include <string.h>

#include "support/deployment.h"

#define FILINGS "/services/portal/filings"

enum
{
  /* Past the time for which new agents can't vouch.  */
  SETTLE_MS = 1500
};

static const struct wy_http_header_field headers[]
    = { { "waxwing-idempotent", "no" },
        { "idempotency-key", "filing-17" },
        { NULL, NULL } };

static char *
file (const struct test_deployment *y, uint32_t entry, int *status)
{
  return deployment_post (y, entry, FILINGS, "{\"key\":\"f\",\"value\":1}",
                          headers, status);
}

static size_t
executions (const struct test_deployment *y)
{
  size_t n = 0;

  for (int i = 0; i < DEPLOYMENT_TARGETS; i++)
    n += deployment_count_events (y, DEPLOYMENT_SERVICE + i,
                                  "service.executed");
  return n;
}

/* A caller that knows nothing of issue times files under a key of its own
   making, on a yard that has just been started, and again through the other
   entry.  It expects to be served, once.  */
Test (entry_keys, plain_key_on_a_fresh_yard, .timeout = 120)
{
  struct test_deployment y;
  int status;
  char *text;

  deployment_start (&y);
  wy_sleep_ms (SETTLE_MS);
  for (uint32_t i = 0; i < DEPLOYMENT_ENTRIES; i++)
    {
      text = file (&y, i, &status);
      cr_expect_eq (status, 200, "entry %u: %s", i, text);
      cr_expect (strstr (text, "\"executions\":1"), "%s", text);
      g_free (text);
    }
  cr_expect_eq (executions (&y), 1);
  deployment_stop_and_check (&y);
}

/* The agent that ran the filing dies with its memory and is started again.
   The caller, who lost the answer, files again under the same key.  The new
   agent can't know, so the caller is told `unknown'; a second execution would
   record the filing twice.  */
Test (entry_keys, plain_key_after_its_target_was_restarted, .timeout = 120)
{
  struct test_deployment y;
  int status;
  char *text;

  deployment_start (&y);
  wy_sleep_ms (SETTLE_MS);
  text = file (&y, 0, &status);
  cr_assert_eq (status, 200, "%s", text);
  g_free (text);
  for (int i = 0; i < DEPLOYMENT_TARGETS; i++)
    if (deployment_count_events (&y, DEPLOYMENT_SERVICE + i,
                                 "service.executed"))
      {
        deployment_kill (&y, DEPLOYMENT_SERVICE_AGENT + i);
        deployment_restart_agent (&y, i);
      }
  deployment_wait_ready (&y, 1);
  wy_sleep_ms (SETTLE_MS);
  text = file (&y, 1, &status);
  cr_expect_eq (status, 409, "%s", text);
  cr_expect (strstr (text, "\"ran\":\"unknown\""), "%s", text);
  g_free (text);
  cr_expect_eq (executions (&y), 1);
  deployment_stop_and_check (&y);
}

/* The table service is down, so the key gets no issue time.  The filing must
   go through all the same where its target has been up for long, and must not
   be called `not run' where it has not.  */
Test (entry_keys, plain_key_while_the_store_is_down, .timeout = 120)
{
  struct test_deployment y;
  int status;
  char *text;

  deployment_start (&y);
  wy_sleep_ms (SETTLE_MS);
  deployment_inject_fault (&y, DEPLOYMENT_TABLE,
                           "{\"fault\":\"down\",\"for_ms\":600000}");
  text = file (&y, 0, &status);
  cr_expect_eq (status, 409, "%s", text);
  cr_expect (strstr (text, "\"ran\":\"unknown\""), "%s", text);
  cr_expect_eq (executions (&y), 0);
  g_free (text);
  deployment_stop_and_check (&y);
}
