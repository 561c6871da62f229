/* Entries, agents and stand-ins as real processes: what callers get when
   processes are killed, and that the timelines pass all checks.  */
#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "support/deployment.h"

#define COMPLETIONS "/v1/completions"
#define FILINGS "/services/portal/filings"

static char *
complete (struct test_deployment *y, uint32_t entry, const char *prompt,
          int *status)
{
  char *body = g_strdup_printf (
      "{\"model\":\"m\",\"prompt\":\"%s\",\"max_tokens\":4}", prompt);
  char *text = deployment_post (y, entry, COMPLETIONS, body, NULL, status);

  g_free (body);
  return text;
}

static size_t
engines_down (const struct test_deployment *y)
{
  size_t down = 0;

  for (int i = 0; i < DEPLOYMENT_TARGETS; i++)
    down += deployment_count_events (y, DEPLOYMENT_MODEL_AGENT + i,
                                     "target.down");
  return down;
}

/* One request crashes each engine that runs it, and its caller retries it
   through both entries.  At most two engines may crash, and other callers must
   still be served.  */
Test (entry_processes, request_that_crashes_engines, .timeout = 120)
{
  struct test_deployment y;
  int status;
  char *text;

  deployment_start (&y);
  for (int i = 0; i < DEPLOYMENT_TARGETS; i++)
    deployment_inject_fault (&y, DEPLOYMENT_ENGINE + i,
                             "{\"fault\":\"crash_on\",\"value\":\"POISON\"}");
  for (uint32_t i = 0; i < 4; i++)
    {
      text = complete (&y, i % DEPLOYMENT_ENTRIES, "POISON", &status);
      cr_expect_geq (status, 500);
      cr_expect (strstr (text, "\"reason\":\"suspect\""), "%s", text);
      g_free (text);
      wy_sleep_ms (1000);
    }
  cr_expect_eq (engines_down (&y), 2);
  text = complete (&y, 1, "harmless", &status);
  cr_expect_eq (status, 200, "%s", text);
  g_free (text);
  deployment_stop_and_check (&y);
}

/* The table service is down.  Callers must not notice, and an entry started
   meanwhile gets the configuration from the agents.  */
Test (entry_processes, store_outage, .timeout = 120)
{
  struct test_deployment y;
  int status;
  char *text;

  deployment_start (&y);
  deployment_inject_fault (&y, DEPLOYMENT_TABLE,
                           "{\"fault\":\"down\",\"for_ms\":600000}");
  deployment_kill (&y, DEPLOYMENT_ENTRY + 1);
  deployment_start_entry (&y, 1);
  deployment_wait_ready (&y, 1);
  for (uint32_t i = 0; i < DEPLOYMENT_ENTRIES; i++)
    {
      text = complete (&y, i, "hello", &status);
      cr_expect_eq (status, 200, "%s", text);
      g_free (text);
    }
  deployment_stop_and_check (&y);
}

/* A request was executed and its response lost with the entry that forwarded
   it.  The caller retries through the other entry and must get the response of
   the one execution.  */
Test (entry_processes, entry_killed_after_execution, .timeout = 120)
{
  struct test_deployment y;
  char issued[24];
  const struct wy_http_header_field headers[]
      = { { "waxwing-idempotent", "no" },
          { "idempotency-key", "f-1" },
          { "waxwing-issued-at", issued },
          { NULL, NULL } };
  size_t executions = 0;
  int status;
  char *text;

  deployment_start (&y);
  /* A new agent rejects requests issued up to twice the clock skew after its
     start.  */
  wy_sleep_ms (1500);
  g_snprintf (issued, sizeof issued, "%lld",
              (long long)wy_clock_wall_ms (wy_clock_system ()));
  text = deployment_post (&y, 0, FILINGS, "{\"key\":\"f-1\",\"value\":1}",
                          headers, &status);
  cr_expect_eq (status, 200, "%s", text);
  g_free (text);
  deployment_kill (&y, DEPLOYMENT_ENTRY);
  text = deployment_post (&y, 1, FILINGS, "{\"key\":\"f-1\",\"value\":1}",
                          headers, &status);
  cr_expect_eq (status, 200, "%s", text);
  cr_expect (strstr (text, "\"executions\":1"), "%s", text);
  g_free (text);
  for (int i = 0; i < DEPLOYMENT_TARGETS; i++)
    executions += deployment_count_events (&y, DEPLOYMENT_SERVICE + i,
                                           "service.executed");
  cr_expect_eq (executions, 1);
  deployment_stop_and_check (&y);
}

static void
send_and_disconnect (uint16_t port, const char *request, uint32_t wait_ms)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  inet_pton (AF_INET, "127.0.0.1", &a.sin_addr);
  cr_assert_eq (connect (fd, (struct sockaddr *)&a, sizeof a), 0);
  cr_assert_eq (send (fd, request, strlen (request), MSG_NOSIGNAL),
                (ssize_t)strlen (request));
  wy_sleep_ms (wait_ms);
  close (fd);
}

/* Callers disconnect before, while and after they are written to.  Only their
   own requests may end by it.  */
Test (entry_processes, callers_that_disconnect, .timeout = 120)
{
  static const char body[] = "{\"model\":\"m\",\"prompt\":\"hello\","
                             "\"max_tokens\":30,\"stream\":true}";
  struct test_deployment y;
  char *request = g_strdup_printf ("POST /v1/completions HTTP/1.1\r\n"
                                   "Content-Length: %zu\r\n\r\n%s",
                                   strlen (body), body);
  int status;
  char *text;

  deployment_start (&y);
  for (uint32_t i = 0; i < 60; i++)
    send_and_disconnect (y.entry[0], request, i);
  text = complete (&y, 0, "hello", &status);
  cr_expect_eq (status, 200, "%s", text);
  g_free (text);
  g_free (request);
  deployment_stop_and_check (&y);
}
