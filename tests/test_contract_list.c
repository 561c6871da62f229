/* Contract of the instance list.  */
#include <criterion/criterion.h>
#include <glib.h>
#include <signal.h>

#include "http/error.h"
#include "support/proc.h"

#define ONE "{\"instances\":[{\"id\":\"a\"}]}"
#define TWO "{\"instances\":[{\"id\":\"a\"},{\"id\":\"b\"}]}"

static struct wy_proc list;

static uint16_t
start (const char *settings)
{
  cr_assert_eq (wy_proc_start (&list, "wystandin", "list", settings), 0);
  return wy_proc_port (&list, "http");
}

static void
stop (void)
{
  wy_proc_kill (&list, SIGTERM);
  cr_assert_eq (wy_proc_wait (&list), 0);
}

static void
tell (uint16_t port, const char *body, int expected)
{
  int status;

  g_free (
      wy_fetch_text (port, "POST", "/control/instances", body, NULL, &status));
  cr_assert_eq (status, expected);
}

static size_t
listed (uint16_t port)
{
  int status;
  json_t *j = wy_fetch_json (port, "GET", "/instances", NULL, NULL, &status);
  size_t n = json_array_size (json_object_get (j, "instances"));

  cr_assert_eq (status, 200);
  json_decref (j);
  return n;
}

Test (contract_list, answers_the_newest_without_lag)
{
  uint16_t port = start ("name: list-1\nlag_ms: 0");

  cr_expect_eq (listed (port), 0U);
  tell (port, ONE, 200);
  cr_expect_eq (listed (port), 1U);
  tell (port, TWO, 200);
  cr_expect_eq (listed (port), 2U);
  tell (port, "{\"instances\":3}", 400);
  cr_expect_eq (listed (port), 2U);
  stop ();
}

/* The list lags behind: an instance that has just started or left is told of
   late, and readers see the old state meanwhile.  */
Test (contract_list, lags)
{
  uint16_t port = start ("name: list-1\nlag_ms: 600000");

  tell (port, ONE, 200);
  cr_expect_eq (listed (port), 0U);
  stop ();
}

/* The list service is away: a reader hears an error, and never an empty list
   that would make all instances vanish.  */
Test (contract_list, faults)
{
  static const struct
  {
    const char *fault;
    int status;
  } cases[] = {
    { "{\"fault\":\"down\"}", 503 },
    { "{\"fault\":\"down\",\"value\":\"refuse\"}", WY_HTTP_EINCOMPLETE },
    { "{\"fault\":\"lose_answer\",\"value\":1}", WY_HTTP_EINCOMPLETE },
  };
  uint16_t port = start ("name: list-1\nlag_ms: 0");
  int status;

  tell (port, ONE, 200);
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      g_free (wy_fetch_text (port, "POST", "/fault", cases[i].fault, NULL,
                             &status));
      g_free (wy_fetch_text (port, "GET", "/instances", NULL, NULL, &status));
      cr_expect_eq (status, cases[i].status, "%s", cases[i].fault);
      g_free (wy_fetch_text (port, "POST", "/fault", "{\"fault\":\"none\"}",
                             NULL, &status));
      cr_expect_eq (listed (port), 1U);
    }
  stop ();
}
