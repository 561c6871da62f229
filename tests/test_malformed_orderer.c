/* A wyorderd process whose replica sends malformed responses.  The process
   must live, take nothing from them, and go on when the replica is sound.  */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "platform/config_wire.h"
#include "platform/replica_wire.h"
#include "standin/scripted.h"
#include "support/orderer_process.h"

enum
{
  /* Between those of the responses that a process gets.  */
  STEP = 4,
  ORDERS_STEP = 16
};

static const struct wy_scripted_response report
    = { .name = "report",
        .text = "HTTP/1.1 200 OK\r\n\r\n"
                "{\"models\":[{\"name\":\"m\",\"version\":1}],\"busy\":false,"
                "\"sequence\":0,\"born\":1}",
        .ends = true };
static const struct wy_scripted_response accepted
    = { .name = "accepted",
        .text = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n" };
static struct orderer_process p;
static struct wy_scripted *replica;

static void
start (const struct wy_scripted_response *response, const char *method)
{
  struct wy_scripted_options o = { .loop = &p.w.loop,
                                   .response = *response,
                                   .method = method,
                                   .otherwise = report };
  char *row;

  orderer_process_init (&p);
  replica = wy_scripted_new (&o);
  cr_assert_not_null (replica);
  row = g_strdup_printf (
      "{\"service\":\"svc\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z1\","
      "\"slots\":1,\"state\":\"ready\",\"sequence\":1,\"born\":1,"
      "\"models\":[{\"name\":\"m\",\"version\":1}]}",
      replica->port);
  wy_platform_store_put (p.w.store, WY_REPLICA_TABLE, "", "i-1", row);
  g_free (row);
  wy_platform_store_put (p.w.store, WY_OPERATOR_TABLE, "", "version/m",
                         "{\"model\":\"m\",\"version\":2}");
  orderer_process_start (&p, replica->port, 0);
}

static bool
is_asked (void *before)
{
  return replica->answered > *(uint32_t *)before
         || !orderer_process_lives (&p);
}

static void
await_call (const char *name)
{
  uint32_t before = replica->answered;

  cr_assert (platform_fixture_run_until (&p.w, is_asked, &before),
             "%s: not asked", name);
  cr_assert (orderer_process_lives (&p), "%s: the process has ended", name);
}

static void
stop (void)
{
  wy_scripted_free (replica);
  orderer_process_stop (&p);
}

/* Guards against an orderer that ends, or believes the report, when its
   replica sends such responses for reports.  */
Test (malformed_orderer, reports, .timeout = 120)
{
  char *metrics;

  start (&wy_malformed_responses[0], NULL);
  for (size_t i = 0; i < wy_n_malformed_responses; i += STEP)
    {
      replica->o.response = wy_malformed_responses[i];
      replica->o.bytewise = i / STEP % 2;
      await_call (wy_malformed_responses[i].name);
    }
  /* The call after the last one: its response has been read.  */
  await_call ("last");
  metrics = orderer_process_await_metrics (&p);
  cr_expect (strstr (metrics, "\nwy_orderer_report_age_ms -1\n"), "%s",
             metrics);
  cr_expect (strstr (metrics, "\nwy_orderer_malformed_responses_total{reason="
                              "\"status\"} "),
             "%s", metrics);
  g_free (metrics);
  replica->o.bytewise = false;
  replica->o.response = accepted;
  replica->o.method = "POST";
  await_call ("order to a sound replica");
  stop ();
}

/* The same for responses to orders, which may have been obeyed.  */
Test (malformed_orderer, orders, .timeout = 120)
{
  for (size_t i = 0; i < wy_n_malformed_responses; i++)
    {
      char *metrics;

      if (i % ORDERS_STEP
          && !g_str_has_prefix (wy_malformed_responses[i].name, "status 000"))
        continue;
      start (&wy_malformed_responses[i], "POST");
      await_call (wy_malformed_responses[i].name);
      await_call (wy_malformed_responses[i].name);
      metrics = orderer_process_await_metrics (&p);
      cr_expect (strstr (metrics, "_orders_total{outcome=\"unanswered\"} "),
                 "%s: %s", wy_malformed_responses[i].name, metrics);
      cr_expect (!strstr (metrics, "_orders_total{outcome=\"accepted\"} "),
                 "%s", wy_malformed_responses[i].name);
      g_free (metrics);
      stop ();
    }
}
