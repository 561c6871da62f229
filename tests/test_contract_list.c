/* Tests of the instance list stand-in's API.  */
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
publish (uint16_t port, const char *body, int expected)
{
  int status;

  g_free (
      wy_fetch_text (port, "POST", "/control/instances", body, NULL, &status));
  cr_assert_eq (status, expected);
}

static size_t
instance_count (uint16_t port)
{
  int status;
  json_t *j = wy_fetch_json (port, "GET", "/instances", NULL, NULL, &status);
  size_t n = json_array_size (json_object_get (j, "instances"));

  cr_assert_eq (status, 200);
  json_decref (j);
  return n;
}

Test (contract_list, serves_newest_without_lag)
{
  uint16_t port = start ("name: list-1\nlag_ms: 0");

  cr_expect_eq (instance_count (port), 0U);
  publish (port, ONE, 200);
  cr_expect_eq (instance_count (port), 1U);
  publish (port, TWO, 200);
  cr_expect_eq (instance_count (port), 2U);
  publish (port, "{\"instances\":3}", 400);
  cr_expect_eq (instance_count (port), 2U);
  stop ();
}

/* The list lags: readers see the old state for a while after an instance has
   started or been removed.  */
Test (contract_list, serves_old_state_within_lag)
{
  uint16_t port = start ("name: list-1\nlag_ms: 600000");

  publish (port, ONE, 200);
  cr_expect_eq (instance_count (port), 0U);
  stop ();
}

/* If the list service fails, a reader gets an error, never an empty list, by
   which it would drop all instances.  */
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

  publish (port, ONE, 200);
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      g_free (wy_fetch_text (port, "POST", "/fault", cases[i].fault, NULL,
                             &status));
      g_free (wy_fetch_text (port, "GET", "/instances", NULL, NULL, &status));
      cr_expect_eq (status, cases[i].status, "%s", cases[i].fault);
      g_free (wy_fetch_text (port, "POST", "/fault", "{\"fault\":\"none\"}",
                             NULL, &status));
      cr_expect_eq (instance_count (port), 1U);
    }
  stop ();
}
