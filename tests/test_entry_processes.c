/* Entries, agents and stand-ins as real programs: what callers get when
   programs die, and that every promise holds by the timelines.  */
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
engines_lost (const struct test_deployment *y)
{
  size_t lost = 0;

  for (int i = 0; i < DEPLOYMENT_TARGETS; i++)
    lost += deployment_count_events (y, DEPLOYMENT_MODEL_AGENT + i,
                                     "target.down");
  return lost;
}

/* One request crashes each engine that runs it.  Its caller sends it again,
   to one entry and then to the other.  Two engines may be lost, not the
   third, and other callers are still answered.  */
Test (entry_procs, request_that_crashes_engines, .timeout = 120)
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
  cr_expect_eq (engines_lost (&y), 2);
  text = complete (&y, 1, "harmless", &status);
  cr_expect_eq (status, 200, "%s", text);
  g_free (text);
  deployment_stop_and_check (&y);
}

/* The table service is down.  Callers must notice nothing, and an entry that
   is started meanwhile learns the configuration from the agents.  */
Test (entry_procs, store_outage, .timeout = 120)
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

/* A filing was carried out and its answer lost with the entry that passed it
   on.  The caller sends it again through the other entry and must get the
   answer of the one execution.  */
Test (entry_procs, entry_killed_after_a_filing, .timeout = 120)
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
  /* Past the time for which new agents can't vouch.  */
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
send_and_hang_up (uint16_t port, const char *request, uint32_t wait_ms)
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

/* Callers hang up at any moment: before, while and after they are written to.
   Only their own requests may end by it.  */
Test (entry_procs, callers_that_hang_up, .timeout = 120)
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
    send_and_hang_up (y.entry[0], request, i);
  text = complete (&y, 0, "hello", &status);
  cr_expect_eq (status, 200, "%s", text);
  g_free (text);
  g_free (request);
  deployment_stop_and_check (&y);
}
