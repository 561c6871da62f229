/* Whether a request may have run, for each way in which an attempt ends.  */
#include <criterion/criterion.h>

#include "decide/attempt.h"

struct row
{
  const char *name;
  struct wy_attempt attempt;
  bool may_have_run;
  bool unclear_refusal;
  int status;      /* to the caller, given up before its time limit */
  int late_status; /* the same at its time limit */
};

static const struct row rows[] = {
  { "no connection", { .sent = false }, false, false, 503, 503 },
  { "connection lost after a part was sent",
    { .sent = true },
    true,
    false,
    502,
    504 },
  { "no response in time", { .sent = true }, true, false, 502, 504 },
  { "rejection truncated",
    { .sent = true, .not_run = true, .status = 503 },
    true,
    false,
    502,
    504 },
  { "rejected, overloaded",
    { .sent = true, .complete = true, .not_run = true, .status = 503 },
    false,
    false,
    503,
    503 },
  { "rejected, request for another target",
    { .sent = true, .complete = true, .not_run = true, .status = 421 },
    false,
    false,
    503,
    503 },
  { "rejection of another request",
    { .sent = true,
      .complete = true,
      .not_run = true,
      .mismatched = true,
      .status = 503 },
    true,
    false,
    502,
    504 },
  { "failed",
    { .sent = true, .complete = true, .status = 500 },
    true,
    false,
    502,
    504 },
  { "503 not marked as not run",
    { .sent = true, .complete = true, .status = 503 },
    true,
    true,
    502,
    504 },
  { "429 not marked as not run",
    { .sent = true, .complete = true, .status = 429 },
    true,
    true,
    502,
    504 },
  { "408 not marked as not run",
    { .sent = true, .complete = true, .status = 408 },
    true,
    true,
    502,
    504 },
  { "response received",
    { .sent = true, .complete = true, .status = 200 },
    true,
    false,
    502,
    504 },
};

/* Callers repeat a request that was rejected as not run, so one that has run
   or may still run must not be rejected in that way.  */
Test (attempt, rejection_only_if_not_run)
{
  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++)
    {
      const struct row *r = &rows[i];
      bool may_have_run = wy_attempt_may_have_run (&r->attempt);

      cr_expect_eq (may_have_run, r->may_have_run, "%s", r->name);
      cr_expect_eq (wy_attempt_is_unclear_refusal (&r->attempt),
                    r->unclear_refusal, "%s", r->name);
      cr_expect_eq (wy_attempt_failure_status (may_have_run, false), r->status,
                    "%s", r->name);
      cr_expect_eq (wy_attempt_failure_status (may_have_run, true),
                    r->late_status, "%s", r->name);
      cr_expect_eq (wy_attempt_status_implies_not_run (r->status),
                    !may_have_run, "%s", r->name);
      cr_expect_eq (wy_attempt_status_implies_not_run (r->late_status),
                    !may_have_run, "%s", r->name);
    }
}
