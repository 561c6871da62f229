/* Tests of the engine stand-in's API.  */
#include <criterion/criterion.h>
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "http/error.h"
#include "standin/callers.h"
#include "support/proc.h"

/* Long enough to be interrupted while it runs: about 500 steps of 8 ms.  */
#define LONG                                                                  \
  "{\"request_id\":\"r\",\"model\":\"m\",\"prompt\":\"long\","                \
  "\"max_tokens\":500}"
#define SHORT                                                                 \
  "{\"request_id\":\"s\",\"model\":\"m\",\"prompt\":\"short\","               \
  "\"max_tokens\":4}"

static struct wy_proc engine;
static uint16_t port;

static void
start (void)
{
  cr_assert_eq (
      wy_proc_start (&engine, "wystandin", "engine",
                     "name: engine-1\nmodel: m\ntokens_median: 100000\n"
                     "load_lag_ms: 1\ncache_lag_ms: 0\ncache_gap_share: 0"),
      0);
  port = wy_proc_port (&engine, "http");
}

static void
stop (void)
{
  wy_proc_kill (&engine, SIGTERM);
  cr_assert_eq (wy_proc_wait (&engine), 0);
}

TestSuite (contract_engine, .init = start, .fini = stop);

static json_t *
post (const char *path, const char *body, int expected)
{
  int status;
  json_t *j = wy_fetch_json (port, "POST", path, body, NULL, &status);

  cr_expect_eq (status, expected, "%s %s: %d", path, body, status);
  return j;
}

static void
post_and_expect (const char *path, const char *body, int expected)
{
  json_decref (post (path, body, expected));
}

/* Return the number KEY of the load report.  */
static json_int_t
load (const char *key)
{
  int status;
  json_t *j
      = wy_fetch_json (port, "GET", "/control/load", NULL, NULL, &status);
  json_int_t n = json_integer_value (json_object_get (j, key));

  json_decref (j);
  return n;
}

static void
await_load (const char *key, json_int_t n)
{
  for (int i = 0; load (key) != n; i++)
    {
      cr_assert_lt (i, 2000, "%s never became %d", key, (int)n);
      wy_sleep_ms (5);
    }
}

/* Wait until the only stream has made a few more tokens.  */
static void
await_tokens (void)
{
  json_int_t n = load ("kv_used");

  for (int i = 0; load ("kv_used") < n + 3; i++)
    {
      cr_assert_lt (i, 2000, "no token was made");
      wy_sleep_ms (5);
    }
}

static gpointer
run_stream (gpointer body)
{
  int status;
  const char *path
      = strstr (body, "\"blob\"") ? "/control/import" : "/v1/completions";

  return wy_fetch_text (port, "POST", path, body, NULL, &status);
}

/* Start the long stream and wait until it runs.  */
static GThread *
start_long (void)
{
  GThread *t = g_thread_new ("stream", run_stream, LONG);

  await_load ("running", 1);
  await_tokens ();
  return t;
}

/* Return the finish reason in EVENTS, or "" if the final event is missing.  */
static char *
finish_reason (const char *events)
{
  const char *p = strstr (events, "\"finish\":\"");

  if (!p)
    return g_strdup ("");
  p += strlen ("\"finish\":\"");
  return g_strndup (p, strcspn (p, "\""));
}

static void
expect_finish (const char *events, const char *finish)
{
  char *got = finish_reason (events);

  cr_expect_str_eq (got, finish);
  g_free (got);
}

Test (contract_engine, completions)
{
  static const struct
  {
    const char *body;
    int status;
  } cases[] = {
    { SHORT, 200 },
    { "{\"request_id\":\"x\",\"model\":\"other\",\"prompt\":\"p\"}", 404 },
    { "{\"model\":\"m\",\"prompt\":\"p\"}", 400 },
    { "{\"request_id\":\"x\",\"model\":\"m\",\"min_version\":2}", 503 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    post_and_expect ("/v1/completions", cases[i].body, cases[i].status);
}

Test (contract_engine, text_is_complete_and_from_one_run)
{
  char *events = run_stream (SHORT);
  bool done;
  char *text = wy_callers_join_events (events, &done);

  cr_expect (done);
  cr_expect_eq (wy_callers_check_text (text), WY_TEXT_COMPLETE, "%s", text);
  expect_finish (events, "length");
  cr_expect_not_null (
      strstr (events, "\"segments\":[{\"version\":1,\"from\":0,\"to\":4}]"));
  g_free (text);
  g_free (events);
}

Test (contract_engine, cancelled_while_paused)
{
  GThread *t = start_long ();
  char *events;

  post_and_expect ("/control/pause", "{\"request_id\":\"r\"}", 200);
  await_load ("paused", 1);
  cr_expect_eq (load ("running"), 0);
  cr_expect_gt (load ("kv_used"), 0);
  post_and_expect ("/control/resume", "{\"request_id\":\"r\"}", 200);
  await_load ("running", 1);
  post_and_expect ("/control/cancel", "{\"request_id\":\"r\"}", 200);
  events = g_thread_join (t);
  expect_finish (events, "cancelled");
  await_load ("running", 0);
  g_free (events);
}

Test (contract_engine, swap_between_tokens)
{
  GThread *t = start_long ();
  char *events;

  post_and_expect (
      "/control/order",
      "{\"order\":\"stage\",\"model\":\"m\",\"version\":2,\"fence\":1}", 200);
  post_and_expect (
      "/control/order",
      "{\"order\":\"activate\",\"model\":\"m\",\"version\":2,\"fence\":1}",
      200);
  await_tokens ();
  post_and_expect ("/control/cancel", "{\"request_id\":\"r\"}", 200);
  events = g_thread_join (t);
  cr_expect_not_null (strstr (events, "\"segments\":[{\"version\":1,"));
  cr_expect_not_null (strstr (events, "{\"version\":2,"));
  g_free (events);
}

Test (contract_engine, imported_stream_continues)
{
  GThread *t = start_long ();
  json_t *blob = post ("/control/export", "{\"request_id\":\"r\"}", 200);
  char *first = g_thread_join (t);
  char *body = json_dumps (blob, 0);
  json_t *runs;
  char *second;
  char *both;
  char *text;
  bool done;

  expect_finish (first, "exported");
  second = run_stream (body);
  both = g_strconcat (first, second, NULL);
  text = wy_callers_join_events (both, &done);
  cr_expect_eq (wy_callers_check_text (text), WY_TEXT_COMPLETE);
  runs = wy_proc_events (&engine, "engine.run");
  cr_expect_eq (json_array_size (runs), 2U);
  json_decref (runs);
  g_free (text);
  g_free (both);
  g_free (first);
  g_free (second);
  g_free (body);
  json_decref (blob);
}

/* An order arrives late from a former lease holder, names a version that was
   never staged, or loading fails.  The engine must report an error and keep
   the previous version in use.  */
Test (contract_engine, failed_orders_keep_version)
{
  static const struct
  {
    const char *order;
    int status;
    int version; /* in force afterwards */
  } cases[] = {
    { "{\"order\":\"stage\",\"model\":\"m\",\"version\":2,\"fence\":5}", 200,
      1 },
    { "{\"order\":\"activate\",\"model\":\"m\",\"version\":2,\"fence\":4}",
      409, 1 },
    { "{\"order\":\"activate\",\"model\":\"m\",\"version\":3,\"fence\":5}",
      500, 1 },
    { "{\"order\":\"activate\",\"model\":\"m\",\"version\":2,\"fence\":5}",
      500, 1 }, /* the load fails */
    { "{\"order\":\"activate\",\"model\":\"m\",\"version\":2,\"fence\":5}",
      200, 2 },
    { "{\"order\":\"stage\",\"model\":\"n\",\"version\":3,\"fence\":5}", 400,
      2 },
  };

  post_and_expect ("/fault", "{\"fault\":\"fail_load\",\"value\":1}", 200);
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      json_t *events;

      post_and_expect ("/control/order", cases[i].order, cases[i].status);
      events = wy_proc_events (&engine, "engine.version");
      cr_expect_eq (json_array_size (events), (size_t)cases[i].version);
      json_decref (events);
    }
}

/* A prompt that crashes the engine ends the process and breaks off all of its
   streams.  */
Test (contract_engine, crash_on_text)
{
  GThread *t = start_long ();
  char *events;
  int status;

  post_and_expect ("/fault", "{\"fault\":\"crash_on\",\"value\":\"poison\"}",
                   200);
  g_free (wy_fetch_text (port, "POST", "/v1/completions",
                         "{\"request_id\":\"p\",\"prompt\":\"poison\"}", NULL,
                         &status));
  cr_expect_eq (status, WY_HTTP_EINCOMPLETE);
  events = g_thread_join (t);
  expect_finish (events, "");
  cr_expect_eq (wy_proc_wait (&engine), 86);
  g_free (events);
  start ();
}

Test (contract_engine, cache_events)
{
  int status;
  json_t *j;
  const char *kind;

  g_free (run_stream (SHORT));
  j = wy_fetch_json (port, "GET", "/control/cache-events?after=0", NULL, NULL,
                     &status);
  cr_assert_eq (json_unpack (j, "{s:[{s:s}]}", "events", "kind", &kind), 0);
  cr_expect_str_eq (kind, "stored");
  cr_expect_eq (json_integer_value (json_object_get (j, "next")), 1);
  json_decref (j);
}
