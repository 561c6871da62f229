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

static struct wy_route *
route (void)
{
  return (struct wy_route *)wy_routing_match (w.env.routing, "h", "/p/x");
}

static void
on_request (void *ctx, struct wy_h1_request *r)
{
  wy_proxy_start (&w.env, r, route (), NULL);
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
  route ()->timeout_ms = 6000;
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
          { "Deadline-Milliseconds", "6000" } };

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

#define HEAD                                                                  \
  {                                                                           \
    .kind = STREAM_HEAD                                                       \
  }
#define EVENTS(WAIT_MS, FROM, TO)                                             \
  {                                                                           \
    .kind = STREAM_EVENTS, .wait_ms = (WAIT_MS), .from = (FROM), .to = (TO)   \
  }
#define PART(WAIT_MS, ID)                                                     \
  {                                                                           \
    .kind = STREAM_PART, .wait_ms = (WAIT_MS), .from = (ID)                   \
  }
#define REST(WAIT_MS, ID)                                                     \
  {                                                                           \
    .kind = STREAM_REST, .wait_ms = (WAIT_MS), .from = (ID)                   \
  }
#define END                                                                   \
  {                                                                           \
    .kind = STREAM_END                                                        \
  }
#define RESET(WAIT_MS)                                                        \
  {                                                                           \
    .kind = STREAM_RESET, .wait_ms = (WAIT_MS)                                \
  }
#define CHUNK(TEXT)                                                           \
  {                                                                           \
    .kind = STREAM_CHUNK, .text = (TEXT)                                      \
  }

/* The route's target latency is 200 ms, so a hedge is due after 100 ms.  */
struct race
{
  const char *what;
  struct stream_script first;  /* of A */
  struct stream_script second; /* of B */
  const char *expected;
  uint32_t runs_of_second;
};

static bool
no_run_is_open (void *ctx)
{
  for (uint32_t i = 0; i < n_replicas; i++)
    if (stream_replica_open_runs (replicas[i]))
      return false;
  return true;
}

static void
play_races (const struct race *rows, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      start (2);
      add_replica ("A", &rows[i].first, 1);
      add_replica ("B", &rows[i].second, 1);
      expect_response (rows[i].what, rows[i].expected);
      cr_expect_eq (stream_replica_runs (replicas[1]), rows[i].runs_of_second,
                    "%s: %u runs", rows[i].what,
                    stream_replica_runs (replicas[1]));
      cr_expect (platform_fixture_run_until (&w, no_run_is_open, NULL),
                 "%s: a run goes on", rows[i].what);
      stop ();
    }
}

/* Guards against a stream joined from two runs: the hedge and the run beside
   it both sent events that were passed on.  */
Test (streams, events_of_one_run_only)
{
  static const struct race rows[] = {
    { "the first run is late, but before its hedge",
      { { HEAD, EVENTS (150, 1, 1), EVENTS (100, 2, 4), END } },
      { { HEAD, EVENTS (100, 1, 1), EVENTS (10, 2, 4), END } },
      "A1:1-4 end",
      1 },
    { "the hedge is first, and slower from then on",
      { { HEAD, EVENTS (200, 1, 1), EVENTS (10, 2, 4), END } },
      { { HEAD, EVENTS (20, 1, 1), EVENTS (200, 2, 4), END } },
      "B1:1-4 end",
      1 },
    { "both begin an event, the hedge ends it",
      { { HEAD, PART (110, 1), REST (100, 1), EVENTS (10, 2, 4), END } },
      { { HEAD, PART (20, 1), REST (20, 1), EVENTS (10, 2, 4), END } },
      "B1:1-4 end",
      1 },
    { "both begin an event, the first run ends it",
      { { HEAD, PART (110, 1), REST (60, 1), EVENTS (10, 2, 4), END } },
      { { HEAD, PART (20, 1), REST (100, 1), EVENTS (10, 2, 4), END } },
      "A1:1-4 end",
      1 },
    { "the hedge fails inside an event",
      { { HEAD, PART (110, 1), REST (60, 1), EVENTS (10, 2, 4), END } },
      { { HEAD, PART (20, 1), RESET (10) } },
      "A1:1-4 end",
      1 },
  };

  play_races (rows, G_N_ELEMENTS (rows));
}

/* Guards against the load of a second run beside a stream that has begun, and
   against events of that run in the response.  */
Test (streams, no_hedge_once_begun)
{
  static const struct race rows[] = {
    { "events at intervals",
      { { HEAD, EVENTS (10, 1, 1), EVENTS (150, 2, 2), EVENTS (150, 3, 3),
          END } },
      { { HEAD, EVENTS (0, 1, 4), END } },
      "A1:1-3 end",
      0 },
    { "an event in two parts",
      { { HEAD, EVENTS (10, 1, 1), PART (20, 2), REST (200, 2),
          EVENTS (10, 3, 3), END } },
      { { HEAD, EVENTS (0, 1, 4), END } },
      "A1:1-3 end",
      0 },
  };

  play_races (rows, G_N_ELEMENTS (rows));
}

/* Guards against a resumption that repeats, leaves out or replaces events, or
   goes on inside an event of the run before.  */
Test (streams, resumption_continues_after_the_last_whole_event)
{
  static const struct race rows[] = {
    { "reset",
      { { HEAD, EVENTS (0, 1, 3), RESET (5) } },
      { { HEAD, EVENTS (0, 4, 6), END } },
      "A1:1-3 B1:4-6 end",
      1 },
    { "reset inside an event",
      { { HEAD, EVENTS (0, 1, 3), PART (5, 4), RESET (5) } },
      { { HEAD, EVENTS (0, 4, 6), END } },
      "A1:1-3 B1:4-6 end",
      1 },
    { "end inside an event",
      { { HEAD, EVENTS (0, 1, 3), PART (5, 4), END } },
      { { HEAD, EVENTS (0, 4, 6), END } },
      "A1:1-3 B1:4-6 end",
      1 },
    { "no length, reset",
      { { { .kind = STREAM_UNSIZED_HEAD }, EVENTS (0, 1, 3), RESET (5) } },
      { { { .kind = STREAM_UNSIZED_HEAD },
          EVENTS (0, 4, 6),
          { .kind = STREAM_CLOSE } } },
      "A1:1-3 B1:4-6 end",
      1 },
    { "silent",
      { { HEAD, EVENTS (0, 1, 3) } },
      { { HEAD, EVENTS (0, 4, 6), END } },
      "A1:1-3 B1:4-6 end",
      1 },
    { "event 4 is left out",
      { { HEAD, EVENTS (0, 1, 3), RESET (5) } },
      { { HEAD, EVENTS (0, 5, 6), END } },
      "A1:1-3 broken off",
      1 },
    { "Last-Event-Id is ignored",
      { { HEAD, EVENTS (0, 1, 3), RESET (5) } },
      { { HEAD, EVENTS (0, 1, 6), END } },
      "A1:1-3 broken off",
      1 },
    { "an event without an id",
      { { HEAD, EVENTS (0, 1, 3), RESET (5) } },
      { { HEAD, CHUNK ("data: B 1 4\n\n"), END } },
      "A1:1-3 broken off",
      1 },
    { "event 2 comes again",
      { { HEAD, EVENTS (0, 1, 3), EVENTS (5, 2, 2), END } },
      { { HEAD, EVENTS (0, 4, 6), END } },
      "A1:1-3 B1:4-6 end",
      1 },
  };

  play_races (rows, G_N_ELEMENTS (rows));
}

/* Guards against a further run of a stream whose events do not show where
   another run has to continue.  */
Test (streams, broken_off_if_not_to_be_resumed)
{
  static const struct race rows[] = {
    { "an event without an id",
      { { HEAD, EVENTS (0, 1, 2), CHUNK ("data: A 1 3\n\n"), RESET (5) } },
      { { HEAD, EVENTS (0, 3, 6), END } },
      "A1:1-3 broken off",
      0 },
    { "ids with a gap",
      { { HEAD, EVENTS (0, 1, 1), EVENTS (0, 3, 3), RESET (5) } },
      { { HEAD, EVENTS (0, 4, 6), END } },
      "A1:1-1 A1:3-3 broken off",
      0 },
    { "ids with a gap, without a failure",
      { { HEAD, EVENTS (0, 1, 1), EVENTS (0, 3, 3), END } },
      { { HEAD } },
      "A1:1-1 A1:3-3 end",
      0 },
  };

  play_races (rows, G_N_ELEMENTS (rows));
}

/* Guards against comments that are taken for the first event.  */
Test (streams, comments_begin_nothing)
{
  static const struct race row
      = { "a comment, then late",
          { { HEAD, CHUNK (": wait\n\n"), EVENTS (300, 1, 3), END } },
          { { HEAD, EVENTS (0, 1, 3), END } },
          "B1:1-3 end",
          1 };

  play_races (&row, 1);
}

/* Guards against a stream of a route without resumption that runs again after
   it may have run.  */
Test (streams, not_resumable_runs_once)
{
  static const struct race rows[] = {
    { "reset",
      { { HEAD, EVENTS (0, 1, 3), RESET (5) } },
      { { HEAD, EVENTS (0, 4, 6), END } },
      "A1:1-3 broken off",
      0 },
    { "late",
      { { HEAD, EVENTS (250, 1, 3), END } },
      { { HEAD, EVENTS (0, 1, 3), END } },
      "A1:1-3 end",
      0 },
    { "silent for longer than a stream that can be resumed may be",
      { { HEAD, EVENTS (0, 1, 1), EVENTS (2200, 2, 3), END } },
      { { HEAD, EVENTS (0, 2, 3), END } },
      "A1:1-3 end",
      0 },
    { "reset before the first event",
      { { HEAD, RESET (5) } },
      { { HEAD, EVENTS (0, 1, 3), END } },
      "end 502",
      0 },
    { "no event and no length",
      { { { .kind = STREAM_UNSIZED_HEAD }, { .kind = STREAM_CLOSE } } },
      { { HEAD, EVENTS (0, 1, 3), END } },
      "end 502",
      0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      start (2);
      route ()->resumable = false;
      add_replica ("A", &rows[i].first, 1);
      add_replica ("B", &rows[i].second, 1);
      expect_response (rows[i].what, rows[i].expected);
      cr_expect_eq (stream_replica_runs (replicas[1]), 0, "%s", rows[i].what);
      stop ();
    }
}

/* Guards against a response that is no stream of events but is parsed as one,
   or is cut.  */
Test (streams, other_responses_are_passed_on_whole)
{
  static const struct
  {
    const char *response;
    int status;
    const char *body;
  } rows[] = {
    { RESPONSE ("200 OK",
                "Content-Type: application/json\r\n"
                "Content-Length: 4\r\n",
                "{}\n\n"),
      200, "{}\n\n" },
    { RESPONSE ("200 OK",
                "Content-Type: text/event-stream\r\n"
                "Content-Length: 0\r\n",
                ""),
      200, "" },
    { RESPONSE ("204 No Content", "", ""), 204, "" },
    { RESPONSE ("422 Unprocessable Entity", "Content-Length: 3\r\n", "bad"),
      422, "bad" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct stream_script reply
          = { { { .kind = STREAM_TEXT, .text = rows[i].response },
                { .kind = STREAM_CLOSE } } };
      struct platform_response *a;

      start (2);
      add_replica ("A", &reply, 1);
      a = start_request ();
      cr_assert (platform_fixture_run_until (&w, platform_response_done, a));
      cr_expect_eq (a->err, 0, "row %zu", i);
      cr_expect_eq (a->status, rows[i].status, "row %zu: %d", i, a->status);
      cr_expect_str_eq (a->body->str, rows[i].body, "row %zu", i);
      platform_response_free (a);
      stop ();
    }
}

static bool
has_been_rejected (void *ctx)
{
  return stream_replica_runs (replicas[1]) > 0;
}

/* Guards against a run for a caller that has left while the stream waited for
   a replica to continue it.  */
Test (streams, caller_leaves_between_two_runs)
{
  struct stream_script reject = {
    { { .kind = STREAM_TEXT,
        .text = RESPONSE ("503 Service Unavailable",
                          "Not-Executed: 1\r\nContent-Length: 0\r\n", "") },
      { .kind = STREAM_CLOSE } }
  };
  struct stream_script cut = { { HEAD, EVENTS (0, 1, 3), RESET (5) } };
  struct platform_response *a;
  uint32_t runs;

  start (2);
  add_replica ("A", &cut, 1);
  add_replica ("B", &reject, 1);
  a = start_request ();
  cr_assert (platform_fixture_run_until (&w, has_been_rejected, NULL));
  platform_response_free (a);
  platform_fixture_run_ms (&w, 20);
  runs = stream_replica_runs (replicas[0]) + stream_replica_runs (replicas[1]);
  platform_fixture_run_ms (&w, 200);
  cr_expect_eq (stream_replica_runs (replicas[0])
                    + stream_replica_runs (replicas[1]),
                runs);
  cr_expect_eq (*w.env.count.hung_up, 1);
  stop ();
}
