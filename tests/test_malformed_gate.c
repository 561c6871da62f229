/* A wygated process beside a replica that sends malformed responses and one
   that is sound.  The process must live, requests in progress be answered, no
   caller get anything of such a response, and the sound replica serve.  */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "platform/replica_wire.h"
#include "standin/scripted.h"
#include "support/gate_process.h"

enum
{
  MEMORY_MB = 120,
  HELD_MS = 600000,  /* for which requests may be in progress */
  BYTEWISE_ROWS = 2, /* routes that get the bytes one at a time, too */
  TRIES = 100,
  TRY_MS = 20,
  /* Responses that a test brings; each test has a process of its own.  */
  RESPONSES_PER_TEST = 14,
  GROUPS = 6
};

static struct gate_process g;
static struct wy_scripted *bad; /* NULL: there is none */
static struct wy_h1_request *held;
static struct wy_h1_request *held_stream;
static uint32_t n_calls;

static bool
is_streamed (const struct wy_h1_request *r)
{
  return g_str_has_prefix (wy_h1_target (r), "/stream/")
         || g_str_has_prefix (wy_h1_target (r), "/resumable/");
}

static void
respond (struct wy_h1_request *r, const char *id, const char *text)
{
  bool streamed = is_streamed (r);
  struct wy_h1_header fields[]
      = { { "Attempt-Id", id },
          { "Response-Stamp", "sound" },
          /* Almost full, so that the other replica is asked first.  */
          { "Server-Load", "999,0,1000" },
          { "Content-Type", streamed ? "text/event-stream" : "text/plain" } };

  wy_h1_begin_response (r, 200, fields, G_N_ELEMENTS (fields));
  wy_h1_write_response (r, text, strlen (text));
}

static const char *
text_of (const struct wy_h1_request *r)
{
  if (!is_streamed (r))
    return "sound";
  return wy_h1_head_get (wy_h1_head (r), "Last-Event-Id")
             ? "id: 2\ndata: sound\n\n"
             : "id: 1\ndata: sound\n\n";
}

/* The sound replica holds requests to ".../hold".  */
static void
on_request (void *ctx, struct wy_h1_request *r)
{
  const char *id = wy_h1_head_get (wy_h1_head (r), "Attempt-Id");
  const char *target = wy_h1_target (r);

  if (g_str_has_suffix (target, "/hold"))
    {
      if (is_streamed (r))
        {
          respond (r, id, "id: 1\ndata: sound\n\n");
          held_stream = r;
        }
      else
        held = r;
      return;
    }
  respond (r, id ? id : "", text_of (r));
  wy_h1_end_response (r);
}

static struct platform_response *
call (const char *method, const char *target)
{
  char id[32];
  struct platform_response *a;

  snprintf (id, sizeof id, "r-%u", n_calls++);
  a = gate_process_call (&g, GATE_CALLERS, method, target, id, NULL);
  return a;
}

static void
start (void)
{
  struct gate_process_options o = { .memory_mb = MEMORY_MB,
                                    .timeout_ms = HELD_MS,
                                    .on_request = on_request };

  gate_process_start (&g, &o);
}

static bool
are_held (void *ctx)
{
  return held && held_stream;
}

/* Call TARGET until the bad replica has been asked once.  Returns the response
   to that call.  */
static struct platform_response *
call_bad (const char *method, const char *target, const char *name)
{
  uint32_t before = bad->answered;

  for (int i = 0; i < TRIES; i++)
    {
      struct platform_response *a = call (method, target);
      bool done = platform_fixture_run_until (&g.w, platform_response_done, a);

      cr_assert (gate_process_lives (&g), "%s: the process has ended", name);
      cr_assert (done, "%s, %s: no response", name, target);
      if (bad->answered > before)
        return a;
      cr_expect_eq (a->status, 200, "%s, %s: %d", name, target, a->status);
      platform_response_free (a);
      platform_fixture_run_ms (&g.w, TRY_MS);
    }
  cr_assert_fail ("%s, %s: the replica was not asked", name, target);
  return NULL;
}

/* Ask the replica, new to the gate, which sends R, on all kinds of route.  */
static void
play (const struct wy_scripted_response *r, bool bytewise)
{
  static uint32_t n;
  static const struct
  {
    const char *method;
    const char *target;
    const char *body; /* NULL: the request may not be repeated */
  } rows[] = { { "GET", "/small/x", "sound" },
               { "POST", "/resumable/x", "id: 1\ndata: sound\n\n" },
               { "POST", "/stream/x", NULL },
               { "POST", "/unsafe/x", NULL } };

  for (size_t k = 0; k < (bytewise ? BYTEWISE_ROWS : G_N_ELEMENTS (rows)); k++)
    {
      struct wy_scripted_options o
          = { .loop = &g.w.loop, .response = *r, .bytewise = bytewise };
      struct platform_response *a;
      char id[32];

      bad = wy_scripted_new (&o);
      cr_assert_not_null (bad);
      snprintf (id, sizeof id, "i-bad-%u", n++);
      gate_process_list_replica (&g, id, bad->port);
      a = call_bad (rows[k].method, rows[k].target, r->name);
      cr_expect_eq (a->err, 0, "%s, %s: %d", r->name, rows[k].target, a->err);
      cr_expect (!strstr (a->body->str, "spoilt"), "%s, %s: %s", r->name,
                 rows[k].target, a->body->str);
      cr_expect (!a->response_stamp || !strcmp (a->response_stamp, "sound"),
                 "%s, %s: %s", r->name, rows[k].target, a->response_stamp);
      cr_expect_eq (a->status, rows[k].body ? 200 : 502, "%s, %s: %d", r->name,
                    rows[k].target, a->status);
      if (rows[k].body)
        cr_expect_str_eq (a->body->str, rows[k].body, "%s, %s: %s", r->name,
                          rows[k].target, a->body->str);
      platform_response_free (a);
      wy_platform_store_delete (g.w.store, WY_REPLICA_TABLE, "", id);
      wy_scripted_free (bad);
      bad = NULL;
    }
}

/* Whether the metrics count malformed responses.  */
static bool
counts_malformed (void)
{
  struct platform_response *a
      = gate_process_await (&g, GATE_METRICS, "/metrics");
  bool counts
      = strstr (a->body->str, "\nwy_gate_malformed_responses_total{reason=\"");

  platform_response_free (a);
  return counts;
}

/* Play the responses of GROUP, while two requests are in progress.  */
static void
play_group (size_t group)
{
  size_t first = group * RESPONSES_PER_TEST;
  size_t end = MIN (first + RESPONSES_PER_TEST, wy_n_malformed_responses);
  struct platform_response *plain;
  struct platform_response *stream;

  cr_assert_lt (first, wy_n_malformed_responses);
  start ();
  plain = call ("GET", "/small/hold");
  stream = call ("POST", "/stream/hold");
  cr_assert (platform_fixture_run_until (&g.w, are_held, NULL));
  for (size_t i = first; i < end; i++)
    for (int bytewise = 0; bytewise <= 1; bytewise++)
      play (&wy_malformed_responses[i], bytewise);
  respond (held, "r-0", "sound");
  wy_h1_end_response (held);
  wy_h1_write_response (held_stream, "id: 2\ndata: end\n\n", 17);
  wy_h1_end_response (held_stream);
  cr_expect (platform_fixture_run_until (&g.w, platform_response_done, plain));
  cr_expect (
      platform_fixture_run_until (&g.w, platform_response_done, stream));
  cr_expect_eq (plain->status, 200, "%d", plain->status);
  cr_expect_str_eq (plain->body->str, "sound");
  cr_expect_eq (stream->err, 0);
  cr_expect_str_eq (stream->body->str,
                    "id: 1\ndata: sound\n\nid: 2\ndata: end\n\n");
  platform_response_free (plain);
  platform_response_free (stream);
  cr_expect (gate_process_lives (&g));
  cr_expect (counts_malformed ());
  gate_process_stop (&g);
}

/* Guards against a gate that ends, or passes on what it got, when a replica
   sends a malformed response.  */
Test (malformed_gate, responses_1, .timeout = 120) { play_group (0); }

Test (malformed_gate, responses_2, .timeout = 120) { play_group (1); }

Test (malformed_gate, responses_3, .timeout = 120) { play_group (2); }

Test (malformed_gate, responses_4, .timeout = 120) { play_group (3); }

Test (malformed_gate, responses_5, .timeout = 120) { play_group (4); }

Test (malformed_gate, responses_6, .timeout = 120) { play_group (5); }

/* All responses are in the groups above.  */
Test (malformed_gate, all_are_played)
{
  size_t groups = (wy_n_malformed_responses + RESPONSES_PER_TEST - 1)
                  / RESPONSES_PER_TEST;

  cr_expect_eq (groups, GROUPS);
}

/* A stream has begun when its next chunk is malformed.  Guards against a
   caller that takes it for complete, or gets bytes from there on.  */
Test (malformed_gate, stream_that_has_begun, .timeout = 60)
{
  static const struct wy_scripted_response begun
      = { .name = "malformed second chunk",
          .text = "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\n"
                  "Content-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n"
                  "f\r\nid: 1\ndata: a\n\n\r\n"
                  "xf\r\nid: 2\ndata: spoilt\n\n\r\n0\r\n\r\n" };
  static const struct
  {
    const char *target;
    bool complete;
    const char *body;
  } rows[] = { { "/stream/x", false, "id: 1\ndata: a\n\n" },
               { "/resumable/x", true,
                 "id: 1\ndata: a\n\nid: 2\ndata: sound\n\n" } };

  start ();
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    for (int bytewise = 0; bytewise <= 1; bytewise++)
      {
        struct wy_scripted_options o
            = { .loop = &g.w.loop, .response = begun, .bytewise = bytewise };
        struct platform_response *a;
        char id[32];

        bad = wy_scripted_new (&o);
        cr_assert_not_null (bad);
        snprintf (id, sizeof id, "i-%zu-%d", i, bytewise);
        gate_process_list_replica (&g, id, bad->port);
        a = call_bad ("POST", rows[i].target, rows[i].target);
        cr_expect_eq (a->err == 0, rows[i].complete, "%s: %d", rows[i].target,
                      a->err);
        cr_expect_str_eq (a->body->str, rows[i].body, "%s: %s", rows[i].target,
                          a->body->str);
        platform_response_free (a);
        wy_platform_store_delete (g.w.store, WY_REPLICA_TABLE, "", id);
        wy_scripted_free (bad);
        bad = NULL;
      }
  gate_process_stop (&g);
}

/* Guards against callers that no longer get what the protocol allows.  */
Test (malformed_gate, lawful_responses_are_passed_on, .timeout = 120)
{
#define STAMP "Response-Stamp: lawful\r\n"
#define ABC STAMP "Content-Length: 3\r\n\r\nabc"
  static const struct
  {
    struct wy_scripted_response response;
    int status;
    const char *body;
  } rows[] = {
    { { .name = "100 and 103 before",
        .text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
                "Link: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" ABC },
      200,
      "abc" },
    { { .name = "204", .text = "HTTP/1.1 204 No Content\r\n" STAMP "\r\n" },
      204,
      "" },
    { { .name = "304", .text = "HTTP/1.1 304 Not Modified\r\n" STAMP "\r\n" },
      304,
      "" },
    { { .name = "299, no phrase", .text = "HTTP/1.1 299\r\n" ABC },
      299,
      "abc" },
    { { .name = "404", .text = "HTTP/1.1 404 Not Found\r\n" ABC },
      404,
      "abc" },
    { { .name = "599", .text = "HTTP/1.1 599 X\r\n" ABC }, 599, "abc" },
    { { .name = "folded value",
        .text = "HTTP/1.1 200 OK\r\nX: v\r\n\tw\r\n" ABC },
      200,
      "abc" },
    { { .name = "odd names",
        .text = "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~: v\r\n0:\r\n" ABC },
      200,
      "abc" },
    { { .name = "chunks, extensions and trailers",
        .text
        = "HTTP/1.1 200 OK\r\n" STAMP "Transfer-Encoding: chunked\r\n\r\n"
          "1;x=y\r\na\r\n2\r\nbc\r\n0\r\nX: v\r\n\r\n" },
      200,
      "abc" },
    { { .name = "to the close",
        .text = "HTTP/1.0 200 OK\r\n" STAMP "\r\nabc",
        .ends = true },
      200,
      "abc" },
  };

  start ();
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    for (int bytewise = 0; bytewise <= 1; bytewise++)
      {
        struct wy_scripted_options o = { .loop = &g.w.loop,
                                         .response = rows[i].response,
                                         .bytewise = bytewise };
        struct platform_response *a;
        char id[32];

        /* Its connections do not outlive its listener.  */
        o.response.ends = true;
        bad = wy_scripted_new (&o);
        cr_assert_not_null (bad);
        snprintf (id, sizeof id, "i-%zu-%d", i, bytewise);
        gate_process_list_replica (&g, id, bad->port);
        a = call_bad ("POST", "/unsafe/x", rows[i].response.name);
        cr_expect_eq (a->status, rows[i].status, "%s: %d",
                      rows[i].response.name, a->status);
        cr_expect_str_eq (a->response_stamp, "lawful", "%s",
                          rows[i].response.name);
        cr_expect_str_eq (a->body->str, rows[i].body, "%s",
                          rows[i].response.name);
        platform_response_free (a);
        wy_platform_store_delete (g.w.store, WY_REPLICA_TABLE, "", id);
        wy_scripted_free (bad);
        bad = NULL;
      }
  cr_expect (!counts_malformed ());
  gate_process_stop (&g);
}
