/* Tests of the plain service stand-in's API: every execution is counted.  */
#include <criterion/criterion.h>
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "http/error.h"
#include "support/proc.h"

static struct wy_proc service;
static uint16_t port;

static void
start (void)
{
  cr_assert_eq (wy_proc_start (&service, "wystandin", "service",
                               "name: portal-1\nservice_time_ms: 1"),
                0);
  port = wy_proc_port (&service, "http");
}

static void
stop (void)
{
  wy_proc_kill (&service, SIGTERM);
  cr_assert_eq (wy_proc_wait (&service), 0);
}

TestSuite (contract_service, .init = start, .fini = stop);

static int
file (const char *key)
{
  char *body = g_strdup_printf ("{\"key\":\"%s\",\"value\":\"3 mm\"}", key);
  int status;

  g_free (wy_fetch_text (port, "POST", "/filings", body, NULL, &status));
  g_free (body);
  return status;
}

static json_int_t
executions (const char *key)
{
  int status;
  json_t *j = wy_fetch_json (port, "GET", "/control/executions", NULL, NULL,
                             &status);
  json_int_t n = json_integer_value (json_object_get (j, key));

  json_decref (j);
  return n;
}

Test (contract_service, echo_returns_the_request)
{
  static const struct wy_http_header_field headers[]
      = { { "x-office", "delta" }, { NULL, NULL } };
  int status;
  json_t *j
      = wy_fetch_json (port, "PUT", "/echo/a?b=c", "body", headers, &status);
  const char *method;
  const char *path;
  const char *query;
  const char *body;
  const char *office;

  cr_assert_eq (status, 200);
  cr_assert_eq (json_unpack (j, "{s:s, s:s, s:s, s:s, s:{s:s}}", "method",
                             &method, "path", &path, "query", &query, "body",
                             &body, "headers", "x-office", &office),
                0);
  cr_expect_str_eq (method, "PUT");
  cr_expect_str_eq (path, "/echo/a");
  cr_expect_str_eq (query, "b=c");
  cr_expect_str_eq (body, "body");
  cr_expect_str_eq (office, "delta");
  json_decref (j);
}

struct fault_case
{
  const char *fault;
  int status;
  int executed;
};

/* The service is down, or executes a filing and loses the connection before it
   responds.  The caller gets an error each time, from which it can't tell
   whether the filing was executed.  */
Test (contract_service, faults)
{
  static const struct fault_case cases[] = {
    { "{\"fault\":\"down\"}", 503, 0 },
    { "{\"fault\":\"down\",\"value\":\"refuse\"}", WY_HTTP_EINCOMPLETE, 0 },
    { "{\"fault\":\"lose_answer\",\"value\":1}", WY_HTTP_EINCOMPLETE, 1 },
    { "{\"fault\":\"slow\",\"value\":30}", 200, 1 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      char *key = g_strdup_printf ("k-%zu", i);
      int status;

      g_free (wy_fetch_text (port, "POST", "/fault", cases[i].fault, NULL,
                             &status));
      cr_expect_eq (file (key), cases[i].status, "%s", cases[i].fault);
      g_free (wy_fetch_text (port, "POST", "/fault", "{\"fault\":\"none\"}",
                             NULL, &status));
      cr_expect_eq (executions (key), cases[i].executed, "%s", cases[i].fault);
      g_free (key);
    }
}

/* A request that crashes the service ends the process at once; the executions
   before it must still be in the timeline.  */
Test (contract_service, crash_on_text)
{
  json_t *events;
  int status;

  cr_expect_eq (file ("k-before"), 200);
  g_free (wy_fetch_text (port, "POST", "/fault",
                         "{\"fault\":\"crash_on\",\"value\":\"poison\"}", NULL,
                         &status));
  cr_expect_eq (file ("k-poison"), WY_HTTP_EINCOMPLETE);
  events = wy_proc_events (&service, "service.executed");
  cr_expect_eq (json_array_size (events), 1U);
  json_decref (events);
  cr_expect_eq (wy_proc_wait (&service), 86);
  start ();
}
