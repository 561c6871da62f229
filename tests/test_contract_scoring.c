/* Tests of the scoring stand-in's API.  */
#include <criterion/criterion.h>
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "support/proc.h"

static struct wy_proc scoring;
static uint16_t port;

static void
start (void)
{
  cr_assert_eq (
      wy_proc_start (&scoring, "wystandin", "scoring", "name: scoring-1"), 0);
  port = wy_proc_port (&scoring, "http");
}

static void
stop (void)
{
  wy_proc_kill (&scoring, SIGTERM);
  cr_assert_eq (wy_proc_wait (&scoring), 0);
}

TestSuite (contract_scoring, .init = start, .fini = stop);

#define SAMPLE "{\"sample\":\"s1\",\"prompt\":\"p\",\"completion\":\"a b c\"}"

static char *
score (int *status)
{
  return wy_fetch_text (port, "POST", "/score", SAMPLE, NULL, status);
}

/* A sample scored again after a lost response gets the same score; otherwise
   the trainer would learn from chance.  */
Test (contract_scoring, same_sample_same_score)
{
  int status;
  char *first = score (&status);
  char *again;

  cr_assert_eq (status, 200, "%s", first);
  cr_assert (strstr (first, "\"score\":"), "%s", first);
  again = score (&status);
  cr_assert_eq (status, 200);
  cr_assert_str_eq (first, again);
  g_free (first);
  g_free (again);
}

struct fault_case
{
  const char *fault;
  int status; /* 0: no complete response */
};

/* The service rejects calls, refuses connections or loses its response.  The
   caller must get an error instead of a score.  */
Test (contract_scoring, faults)
{
  static const struct fault_case cases[] = {
    { "{\"fault\":\"down\"}", 503 },
    { "{\"fault\":\"down\",\"value\":\"refuse\"}", 0 },
    { "{\"fault\":\"lose_answer\",\"value\":1.0}", 0 },
    { "{\"fault\":\"none\"}", 200 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      int status;

      g_free (wy_fetch_text (port, "POST", "/fault", cases[i].fault, NULL,
                             &status));
      cr_assert_eq (status, 200, "%s", cases[i].fault);
      g_free (score (&status));
      if (status < 0)
        status = 0;
      cr_expect_eq (status, cases[i].status, "%s: %d", cases[i].fault, status);
    }
}
