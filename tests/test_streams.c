/* Streamed responses: which run's events reach the caller, and when the
   response ends as complete.  Replicas are scripted.  */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "gate/proxy.h"
#include "platform/replica_wire.h"
#include "support/platform_fixture.h"
#include "support/stream_replica.h"

enum
{
  REPLICAS_MAX = 3,
  SUMMARY_SIZE_BYTES = 256
};

static struct platform_fixture w;
static struct wy_h1_server *server;
static struct stream_replica *replicas[REPLICAS_MAX];
static uint32_t n_replicas;

static void
on_request (void *ctx, struct wy_h1_request *r)
{
  wy_proxy_start (&w.env, r,
                  wy_routing_match (w.env.routing, "h", wy_h1_target (r)),
                  NULL);
}

static void
start (uint32_t attempts)
{
  struct wy_h1_server_options o
      = { .loop = &w.loop,
          .host = "127.0.0.1",
          .limits = { 65536, 1 << 20, 10000, 10000, 1 << 24 },
          .on_request = on_request };

  platform_fixture_init (&w);
  platform_fixture_add_env (&w, "n1");
  platform_fixture_set_routing (&w, WY_ROUTE_STREAM, attempts);
  cr_assert_eq (wy_h1_server_new (&server, &o), 0);
  n_replicas = 0;
}

/* Add a replica named NAME, "A" to "C".  A is the nearest and thus the first
   choice.  */
static void
add_replica (const char *name, const struct stream_script *scripts,
             uint32_t n_scripts)
{
  struct stream_replica_options o = {
    .loop = &w.loop, .name = name, .scripts = scripts, .n_scripts = n_scripts
  };
  struct stream_replica *r = stream_replica_new (&o);
  struct wy_replica info
      = { .address = stream_replica_address (r), .slots = 12 };

  g_strlcpy (info.id, name, sizeof info.id);
  g_strlcpy (info.service, "svc", sizeof info.service);
  g_strlcpy (info.availability_zone, n_replicas ? "far" : "z1",
             sizeof info.availability_zone);
  wy_targets_set (w.env.targets, &info);
  replicas[n_replicas++] = r;
}

static void
stop (void)
{
  wy_h1_server_free (server);
  for (uint32_t i = 0; i < n_replicas; i++)
    stream_replica_free (replicas[i]);
  platform_fixture_free (&w);
}

static struct platform_response *
start_request (void)
{
  static const struct wy_h1_header fields[]
      = { { "Host", "h" },
          { "Attempt-Id", "a-1" },
          { "Deadline-Milliseconds", "1900" } };

  return platform_fixture_call (&w, wy_h1_server_port (server), "POST", "/p/x",
                                fields, G_N_ELEMENTS (fields), "hello");
}

/* Summarize what the caller of A has received: for each run in turn its name
   and its events, then how the response ended, as in "A1:1-3 B1:4-6 end".  */
static void
summarize (const struct platform_response *a, char out[SUMMARY_SIZE_BYTES])
{
  GString *s = g_string_new (NULL);
  char previous[16] = "";
  long long last = 0;

  for (const char *p = a->body->str; (p = strstr (p, "data: ")); p++)
    {
      char name[8];
      char run[16];
      unsigned number;
      long long id;

      if (sscanf (p, "data: %7s %u %lld", name, &number, &id) != 3)
        {
          g_string_append (s, "? ");
          continue;
        }
      snprintf (run, sizeof run, "%s%u", name, number);
      if (!strcmp (run, previous) && id == last + 1)
        g_string_truncate (s, s->len - 1 - strlen (strrchr (s->str, '-')) + 1);
      else
        g_string_append_printf (s, "%s:%lld", run, id);
      g_string_append_printf (s, "-%lld ", id);
      g_strlcpy (previous, run, sizeof previous);
      last = id;
    }
  g_string_append (s, a->err ? "broken off" : "end");
  if (a->status != 200)
    g_string_append_printf (s, " %d", a->status);
  g_strlcpy (out, s->str, SUMMARY_SIZE_BYTES);
  g_string_free (s, TRUE);
}

/* Send a request, and expect that its caller receives EXPECTED.  */
static void
expect_response (const char *what, const char *expected)
{
  struct platform_response *a = start_request ();
  char got[SUMMARY_SIZE_BYTES];

  cr_assert (platform_fixture_run_until (&w, platform_response_done, a));
  summarize (a, got);
  cr_expect_str_eq (got, expected, "%s: got \"%s\", expected \"%s\"", what,
                    got, expected);
  platform_response_free (a);
}

/* Sends events 1 to 3 to its first request, and continues with 4 to 6.  */
static const struct stream_script cut_after_three[]
    = { { { { .kind = STREAM_HEAD },
            { .kind = STREAM_EVENTS, .from = 1, .to = 3 },
            { .kind = STREAM_RESET, .wait_ms = 5 } } },
        { { { .kind = STREAM_HEAD },
            { .kind = STREAM_EVENTS, .from = 4, .to = 6 },
            { .kind = STREAM_END } } } };

#define RESPONSE(STATUS, FIELDS, BODY)                                        \
  "HTTP/1.1 " STATUS "\r\nAttempt-Id: a-1\r\nResponse-Stamp: s\r\n"           \
  "Connection: close\r\n" FIELDS "\r\n" BODY

/* Guards against a begun stream that ends as complete when a further run of it
   is answered with a response that doesn't continue it.  */
Test (streams, response_that_does_not_continue_breaks_off)
{
  static const struct
  {
    const char *what;
    const char *response;
  } rows[] = {
    { "204", RESPONSE ("204 No Content", "", "") },
    { "206", RESPONSE ("206 Partial Content", "Content-Length: 2\r\n", "ok") },
    { "302", RESPONSE ("302 Found", "Content-Length: 0\r\n", "") },
    { "404", RESPONSE ("404 Not Found", "Content-Length: 0\r\n", "") },
    { "408", RESPONSE ("408 Request Timeout", "Content-Length: 0\r\n", "") },
    { "422",
      RESPONSE ("422 Unprocessable Entity", "Content-Length: 0\r\n", "") },
    { "429", RESPONSE ("429 Too Many Requests", "Content-Length: 0\r\n", "") },
    { "500", RESPONSE ("500 Internal Server Error", "Content-Length: 5\r\n",
                       "error") },
    { "500 without a length",
      RESPONSE ("500 Internal Server Error", "", "error") },
    { "503 that may have run",
      RESPONSE ("503 Service Unavailable", "Content-Length: 0\r\n", "") },
    { "no event", RESPONSE ("200 OK",
                            "Content-Type: text/event-stream\r\n"
                            "Content-Length: 0\r\n",
                            "") },
    { "no event and no length",
      RESPONSE ("200 OK", "Content-Type: text/event-stream\r\n", "") },
    { "no stream of events", RESPONSE ("200 OK",
                                       "Content-Type: application/json\r\n"
                                       "Content-Length: 4\r\n",
                                       "{}\n\n") },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct stream_script reply
          = { { { .kind = STREAM_TEXT, .text = rows[i].response },
                { .kind = STREAM_CLOSE } } };

      start (2);
      add_replica ("A", cut_after_three, 2);
      add_replica ("B", &reply, 1);
      expect_response (rows[i].what, "A1:1-3 broken off");
      cr_expect_eq (stream_replica_resumed_after (replicas[1], 1), 3);
      stop ();
    }
}

/* Guards against a stream that is given up, or ends as complete, when the
   first replica asked to continue it rejects or fails that run.  */
Test (streams, next_replica_continues_after_a_failed_resumption)
{
  static const struct
  {
    const char *what;
    const char *response;
    const char *expected;
  } rows[] = {
    { "503 not run",
      RESPONSE ("503 Service Unavailable",
                "Not-Executed: 1\r\nContent-Length: 0\r\n", ""),
      "A1:1-3 B2:4-6 end" },
    /* The address is another replica's now: A, which has failed, is the only
       one left.  */
    { "421", RESPONSE ("421 Misdirected Request", "Content-Length: 0\r\n", ""),
      "A1:1-3 A2:4-6 end" },
    { "500",
      RESPONSE ("500 Internal Server Error", "Content-Length: 5\r\n", "error"),
      "A1:1-3 B2:4-6 end" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct stream_script scripts[]
          = { { { { .kind = STREAM_TEXT, .text = rows[i].response },
                  { .kind = STREAM_CLOSE } } },
              cut_after_three[1] };

      start (3);
      add_replica ("A", cut_after_three, 2);
      add_replica ("B", scripts, 2);
      expect_response (rows[i].what, rows[i].expected);
      stop ();
    }
}
