/* Non-idempotent requests whose key encodes no issue time, with real
   processes.  */
#include <criterion/criterion.h>
#include <string.h>

#include "support/deployment.h"

#define FILINGS "/services/portal/filings"

enum
{
  /* A new agent rejects requests issued up to twice the clock skew after its
     start.  */
  SETTLE_MS = 1500
};

static const struct wy_http_header_field headers[]
    = { { "waxwing-idempotent", "no" },
        { "idempotency-key", "filing-17" },
        { NULL, NULL } };

static char *
send_filing (const struct test_deployment *y, uint32_t entry, int *status)
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

/* On a cluster that has just been started a caller sends a request under a key
   of its own making, and again through the other entry.  Guards against a
   rejection of such keys or a second execution.  */
Test (entry_issue_times, plain_key_after_start, .timeout = 120)
{
  struct test_deployment y;
  int status;
  char *text;

  deployment_start (&y);
  wy_sleep_ms (SETTLE_MS);
  for (uint32_t i = 0; i < DEPLOYMENT_ENTRIES; i++)
    {
      text = send_filing (&y, i, &status);
      cr_expect_eq (status, 200, "entry %u: %s", i, text);
      cr_expect (strstr (text, "\"executions\":1"), "%s", text);
      g_free (text);
    }
  cr_expect_eq (executions (&y), 1);
  deployment_stop_and_check (&y);
}

/* The agent that ran the request is killed and restarted without its records.
   The caller, who lost the response, retries under the same key.  The new
   agent can't know whether it ran, so the caller is told `unknown'; guards
   against a second execution.  */
Test (entry_issue_times, plain_key_after_target_restart, .timeout = 120)
{
  struct test_deployment y;
  int status;
  char *text;

  deployment_start (&y);
  wy_sleep_ms (SETTLE_MS);
  text = send_filing (&y, 0, &status);
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
  text = send_filing (&y, 1, &status);
  cr_expect_eq (status, 409, "%s", text);
  cr_expect (strstr (text, "\"ran\":\"unknown\""), "%s", text);
  g_free (text);
  cr_expect_eq (executions (&y), 1);
  deployment_stop_and_check (&y);
}

/* The table service is down, so the key gets no issue time, and the target is
   still in its cold window.  Guards against reporting `not run', which can't
   be proven here.  A target that has been up for longer serves such
   requests.  */
Test (entry_issue_times, plain_key_during_store_outage, .timeout = 120)
{
  struct test_deployment y;
  int status;
  char *text;

  deployment_start (&y);
  wy_sleep_ms (SETTLE_MS);
  deployment_inject_fault (&y, DEPLOYMENT_TABLE,
                           "{\"fault\":\"down\",\"for_ms\":600000}");
  text = send_filing (&y, 0, &status);
  cr_expect_eq (status, 409, "%s", text);
  cr_expect (strstr (text, "\"ran\":\"unknown\""), "%s", text);
  cr_expect_eq (executions (&y), 0);
  g_free (text);
  deployment_stop_and_check (&y);
}
