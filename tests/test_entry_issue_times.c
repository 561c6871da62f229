/* Filings under keys that tell no issue time, with real programs.  */
#include <criterion/criterion.h>
#include <string.h>

#include "support/proc_yard.h"

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
file (const struct proc_yard *y, uint32_t entry, int *status)
{
  return proc_yard_call (y, entry, FILINGS, "{\"key\":\"f\",\"value\":1}",
                         headers, status);
}

static size_t
executions (const struct proc_yard *y)
{
  size_t n = 0;

  for (int i = 0; i < YARD_TARGETS; i++)
    n += proc_yard_count (y, YARD_SERVICE + i, "service.executed");
  return n;
}

/* A caller that knows nothing of issue times files under a key of its own
   making, on a yard that has just been started, and again through the other
   entry.  It expects to be served, once.  */
Test (entry_keys, plain_key_on_a_fresh_yard, .timeout = 120)
{
  struct proc_yard y;
  int status;
  char *text;

  proc_yard_start (&y);
  wy_sleep_ms (SETTLE_MS);
  for (uint32_t i = 0; i < YARD_ENTRIES; i++)
    {
      text = file (&y, i, &status);
      cr_expect_eq (status, 200, "entry %u: %s", i, text);
      cr_expect (strstr (text, "\"executions\":1"), "%s", text);
      g_free (text);
    }
  cr_expect_eq (executions (&y), 1);
  proc_yard_end (&y);
}

/* The agent that ran the filing dies with its memory and is started again.
   The caller, who lost the answer, files again under the same key.  The new
   agent can't know, so the caller is told `unknown'; a second execution would
   record the filing twice.  */
Test (entry_keys, plain_key_after_its_target_was_restarted, .timeout = 120)
{
  struct proc_yard y;
  int status;
  char *text;

  proc_yard_start (&y);
  wy_sleep_ms (SETTLE_MS);
  text = file (&y, 0, &status);
  cr_assert_eq (status, 200, "%s", text);
  g_free (text);
  for (int i = 0; i < YARD_TARGETS; i++)
    if (proc_yard_count (&y, YARD_SERVICE + i, "service.executed"))
      {
        proc_yard_kill (&y, YARD_SERVICE_AGENT + i);
        proc_yard_restart_agent (&y, i);
      }
  proc_yard_ready (&y, 1);
  wy_sleep_ms (SETTLE_MS);
  text = file (&y, 1, &status);
  cr_expect_eq (status, 409, "%s", text);
  cr_expect (strstr (text, "\"ran\":\"unknown\""), "%s", text);
  g_free (text);
  cr_expect_eq (executions (&y), 1);
  proc_yard_end (&y);
}

/* The table service is down, so the key gets no issue time.  The filing must
   go through all the same where its target has been up for long, and must not
   be called `not run' where it has not.  */
Test (entry_keys, plain_key_while_the_store_is_down, .timeout = 120)
{
  struct proc_yard y;
  int status;
  char *text;

  proc_yard_start (&y);
  wy_sleep_ms (SETTLE_MS);
  proc_yard_fault (&y, YARD_TABLE, "{\"fault\":\"down\",\"for_ms\":600000}");
  text = file (&y, 0, &status);
  cr_expect_eq (status, 409, "%s", text);
  cr_expect (strstr (text, "\"ran\":\"unknown\""), "%s", text);
  cr_expect_eq (executions (&y), 0);
  g_free (text);
  proc_yard_end (&y);
}
