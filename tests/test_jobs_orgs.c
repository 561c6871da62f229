/* Jobs belong to the organisation that submitted them.  */
#include <criterion/criterion.h>
#include <string.h>

#include "jobs/record.h"
#include "platform/request_wire.h"
#include "support/job_fixture.h"

Test (job_orgs, keys)
{
  char a[WY_JOB_KEY_SIZE_BYTES];
  char b[WY_JOB_KEY_SIZE_BYTES];
  char name[WY_JOB_NAME_SIZE_BYTES];
  char org[300];

  wy_job_key ("", "j", a, sizeof a);
  cr_expect_str_eq (a, "j");
  wy_job_key ("acme", "j", a, sizeof a);
  wy_job_key ("bank", "j", b, sizeof b);
  cr_expect_str_neq (a, b);
  memset (name, 'n', sizeof name);
  name[sizeof name - 1] = '\0';
  memset (org, 'o', sizeof org);
  org[sizeof org - 1] = '\0';
  wy_job_key (org, name, a, sizeof a);
  cr_expect_str_eq (a + strlen (a) - strlen (name), name);
  org[0] = 'p';
  wy_job_key (org, name, b, sizeof b);
  cr_expect_str_neq (a, b);
}

/* Two organisations choose the same name for a job.  Guards against confirming
   one's job when only the other's is stored, and against reading or ending the
   other's job.  */
Test (job_orgs, equal_names)
{
  job_organisation = "acme";
  job_fixture_start (2);
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  job_fixture_check_results ("j1");
  job_organisation = "bank";
  cr_expect_eq (job_fixture_status ("GET", "/api/lots/j1"), 404);
  cr_expect_eq (job_fixture_status ("DELETE", "/api/lots/j1"), 404);
  cr_expect_eq (job_fixture_status ("GET", "/api/items/j1?id=it-0"), 404);
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  job_fixture_check_results ("j1");
  cr_expect_eq (job_fixture_status ("DELETE", "/api/lots/j1"), 200);
  job_organisation = "acme";
  job_fixture_check_results ("j1");
  cr_expect_eq (job_fixture_count_results ("acme/j1"), JOB_ITEMS);
  cr_expect_eq (job_fixture_count_results ("bank/j1"), JOB_ITEMS);
  job_fixture_stop ();
}

/* A job was accepted without an organisation.  Its submitter, which has an
   access key by now, must still reach it.  */
Test (job_orgs, job_without_organisation)
{
  job_organisation = "";
  job_fixture_start (2);
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  job_fixture_check_results ("j1");
  job_organisation = "acme";
  job_fixture_check_results ("j1");
  cr_expect_eq (job_fixture_status ("DELETE", "/api/lots/j1"), 200);
  job_fixture_stop ();
}

/* The entry that takes a job over doesn't need a key: the organisation is read
   from the job's row.  */
Test (job_orgs, takeover)
{
  job_organisation = "acme";
  job_fixture_start (1);
  cr_expect_eq (job_fixture_submit ("j1", 1), 202);
  job_fixture_stop_entry ();
  job_fixture.env.holder = "n2/1";
  job_fixture.env.node = "n2";
  job_fixture_start_entry ();
  job_fixture_check_results ("j1");
  job_organisation = "bank";
  cr_expect_eq (job_fixture_status ("GET", "/api/lots/j1"), 404);
  job_fixture_stop ();
}
