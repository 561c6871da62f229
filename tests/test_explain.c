/* wyctl explain on logs with missing and incomplete lines.  */
#include <criterion/criterion.h>
#include <criterion/redirect.h>
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

static const char gate[]
    = "{\"t\":10.000,\"process\":\"g1\",\"incarnation\":\"a\","
      "\"event\":\"job.submitted\",\"id\":\"j1\",\"status\":202}\n"
      "{\"t\":10.500,\"process\":\"g1\",\"incarnation\":\"a\","
      "\"event\":\"item.run_started\",\"id\":\"i1\",\"job\":\"j1\","
      "\"target\":\"t1\"}\n"
      "{\"t\":10.600,\"process\":\"g1\",\"incarnation\":\"a\","
      "\"event\":\"item.run_started\",\"id\":\"i2\",\"job\":\"j1\","
      "\"target\":\"t2\"}\n"
      "{\"t\":11.000,\"process\":\"g1\",\"incarnation\":\"a\","
      "\"event\":\"target.gone\",\"id\":\"t1\"}\n"
      "{\"t\":11.100,\"process\":\"g1\",\"incarnation\":\"a\","
      "\"event\":\"item.run_ended\",\"id\":\"i1\",\"job\":\"j1\","
      "\"target\":\"t1\",\"outcome\":\"broken_off\"}\n"
      "{\"t\":11.2,\"process\":\"g1\",\"incarn";
static const char other[]
    = "not a log line\n"
      "{\"t\":10.900,\"process\":\"g2\",\"incarnation\":\"b\","
      "\"event\":\"store.lost\",\"path\":\"direct\"}\n"
      "{\"t\":10.950,\"process\":\"g2\",\"incarnation\":\"b\","
      "\"event\":\"entry.gone\",\"node\":\"g3\"}\n";

static char paths[2][64];

static void
write_file (char *path, const char *text)
{
  int fd;
  char *name = NULL;

  fd = g_file_open_tmp ("explain-XXXXXX", &name, NULL);
  cr_assert_geq (fd, 0);
  g_strlcpy (path, name, sizeof paths[0]);
  g_free (name);
  cr_assert (g_file_set_contents (path, text, -1, NULL));
}

static int
explain (const char *id)
{
  struct wy_ctl ctl = { 0 };
  char *args[] = { (char *)id, paths[0], paths[1] };

  write_file (paths[0], gate);
  write_file (paths[1], other);
  return wy_ctl_explain (&ctl, args, 3);
}

/* The output for an item's id has its own lines, those of its job and those
   about its target, in the order of time, and no lines of other items.  */
Test (explain, related_lines_are_joined, .init = cr_redirect_stdout)
{
  cr_expect_eq (explain ("i1"), WY_CTL_OK);
  fflush (stdout);
  cr_expect_stdout_eq_str (
      "   +0.000  g1                       job.submitted        id=j1 "
      "status=202\n"
      "   +0.500  g1                       item.run_started     id=i1 job=j1 "
      "target=t1\n"
      "   +0.950  g2                       entry.gone           node=g3\n"
      "   +1.000  g1                       target.gone          id=t1\n"
      "   +1.100  g1                       item.run_ended       id=i1 job=j1 "
      "target=t1 outcome=broken_off\n");
}

static const char duties[]
    = "{\"t\":10.0,\"process\":\"g1\",\"incarnation\":\"a\","
      "\"event\":\"usage.reported\",\"window\":7,\"generation\":1}\n"
      "{\"t\":10.5,\"process\":\"g1\",\"incarnation\":\"a\","
      "\"event\":\"duties.lost\",\"generation\":1}\n"
      "{\"t\":10.6,\"process\":\"g1\",\"incarnation\":\"a\","
      "\"event\":\"job.ended\",\"id\":\"acme/j7\"}\n"
      "{\"t\":11.0,\"process\":\"g2\",\"incarnation\":\"b\","
      "\"event\":\"usage.reported\",\"window\":7,\"generation\":2}\n";

static int
explain_duties (const char *id)
{
  struct wy_ctl ctl = { 0 };
  char *args[] = { (char *)id, paths[0] };

  write_file (paths[0], duties);
  return wy_ctl_explain (&ctl, args, 2);
}

/* The output for a usage window includes changes of the duties' holder.  */
Test (explain, window_of_usage, .init = cr_redirect_stdout)
{
  cr_expect_eq (explain_duties ("7"), WY_CTL_OK);
  fflush (stdout);
  cr_expect_stdout_eq_str (
      "   +0.000  g1                       usage.reported       window=7 "
      "generation=1\n"
      "   +0.500  g1                       duties.lost          generation=1\n"
      "   +1.000  g2                       usage.reported       window=7 "
      "generation=2\n");
}

/* A job is found by its id without the organisation, as callers know it.  */
Test (explain, job_of_an_organisation, .init = cr_redirect_stdout)
{
  cr_expect_eq (explain_duties ("j7"), WY_CTL_OK);
  fflush (stdout);
  cr_expect_stdout_eq_str ("   +0.000  g1                       job.ended"
                           "            id=acme/j7\n");
}

Test (explain, unknown_id_fails)
{
  cr_expect_eq (explain ("nobody"), WY_CTL_FAILED);
}
