/* Responses over failing connections: what the caller gets in the end.  */
#include <criterion/criterion.h>
#include <string.h>

#include "support/entry_fixture.h"

#define STREAM                                                                \
  "{\"model\":\"m\",\"prompt\":\"hello\",\"max_tokens\":4,\"stream\":true}"
#define UNSTREAMED "{\"model\":\"m\",\"prompt\":\"hello\",\"max_tokens\":4}"
#define TOKENS 4

/* How much of the response the agent sends by itself.  */
enum moment
{
  BEFORE, /* only accepts the request */
  DURING, /* half of the bytes */
  AFTER   /* all bytes, but not END */
};

static enum moment moment;

static size_t
bytes_at (const struct fake_run *r)
{
  return moment == DURING ? r->body->len / 2 : r->body->len;
}

static void
send_part (struct fake_agent *a, const struct wy_frame *f)
{
  char *events = fake_event_stream ("run-1", TOKENS);
  struct fake_run *r = fake_accept (a, f, "run-1", events);

  if (moment != BEFORE)
    {
      fake_send_head (a, r, 200, "text/event-stream");
      fake_send_chunk (a, r, 0, bytes_at (r));
    }
  g_free (events);
}

static bool
part_received (void *ctx)
{
  struct caller *c = ctx;
  char *events = fake_event_stream ("run-1", TOKENS);
  size_t n = strlen (events);

  g_free (events);
  if (moment == BEFORE)
    return c->w->agent[0].submits == 1;
  return c->body->len == (moment == DURING ? n / 2 : n);
}

struct silence
{
  enum moment moment;
  bool from_entry;
  bool from_agent;
};

static const struct silence silences[] = {
  { BEFORE, true, false }, { BEFORE, false, true }, { BEFORE, true, true },
  { DURING, true, false }, { DURING, false, true }, { DURING, true, true },
  { AFTER, true, false },  { AFTER, false, true },  { AFTER, true, true },
};

/* A middlebox between entry and agent drops their connection state.  Both ends
   believe the connection open and nothing arrives any more, in one direction
   or both, before, during or after the stream.  The caller must get the
   complete response of the one run, and no second run may start.  */
Test (entry_streams, connection_gone_silent)
{
  struct fixture w;
  struct caller c;
  char *events = fake_event_stream ("run-1", TOKENS);

  for (size_t i = 0; i < G_N_ELEMENTS (silences); i++)
    {
      moment = silences[i].moment;
      fixture_start (&w, 1, false);
      w.agent[0].on_submit = send_part;
      call_start (&c, &w, "POST", "/v1/completions", NULL, 0, STREAM);
      fixture_run_until (&w, part_received, &c);
      relay_discard (w.relay[0], silences[i].from_entry,
                     silences[i].from_agent);
      call_wait (&c);
      cr_assert_eq (c.err, 0, "case %zu", i);
      cr_assert_str_eq (c.body->str, events, "case %zu", i);
      cr_assert_eq (w.agent[0].submits, 1, "case %zu", i);
      cr_assert_geq (w.agent[0].resumes, 1, "case %zu", i);
      call_free (&c);
      fixture_stop (&w);
    }
  g_free (events);
}

static void
send_out_of_order (struct fake_agent *a, const struct wy_frame *f)
{
  char *events = fake_event_stream ("run-1", TOKENS);
  struct fake_run *r = fake_accept (a, f, "run-1", events);
  struct fake_run other = { r->id, "run-0", r->body, false };

  fake_send_head (a, r, 200, "text/event-stream");
  fake_send_chunk (a, r, 0, 20);
  fake_send_chunk (a, r, 0, 20);
  fake_send_chunk (a, &other, 20, 40);
  fake_send_chunk (a, r, 10, 30);
  fake_send_chunk (a, r, 50, 60);
  fake_send_chunk (a, r, 40, 50);
  fake_send_end (a, &other, WY_RUN_CRASHED);
  fake_send_end (a, r, WY_RUN_DONE);
  g_free (events);
}

/* After a resume, frames sent before and after it may be duplicates, out of
   order, or from a run that was given up.  The caller must get each byte of
   its run once and in order.  */
Test (entry_streams, duplicate_early_and_foreign_chunks)
{
  struct fixture w;
  struct caller c;
  char *events = fake_event_stream ("run-1", TOKENS);

  fixture_start (&w, 1, false);
  w.agent[0].on_submit = send_out_of_order;
  call_start (&c, &w, "POST", "/v1/completions", NULL, 0, STREAM);
  call_wait (&c);
  cr_assert_eq (c.err, 0);
  cr_assert_str_eq (c.body->str, events);
  cr_assert_eq (w.agent[0].submits, 1);
  g_free (events);
  call_free (&c);
  fixture_stop (&w);
}

static uint32_t
submits (const struct fixture *w)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < w->agents; i++)
    n += w->agent[i].submits;
  return n;
}

static bool
submitted (void *ctx)
{
  return submits (ctx) == 1;
}

static uint32_t
assigned_agent (const struct fixture *w)
{
  return w->agent[0].submits ? 0 : 1;
}

/* Two agents; the one that got the request sends half of the response and then
   fails for good.  */
static void
fail_assigned_target (struct fixture *w, struct caller *c, const char *body)
{
  uint32_t i;

  moment = DURING;
  fixture_start (w, 2, false);
  w->agent[0].on_submit = send_part;
  w->agent[1].on_submit = send_part;
  call_start (c, w, "POST", "/v1/completions", NULL, 0, body);
  fixture_run_until (w, submitted, w);
  fixture_run_ms (w, 50);
  i = assigned_agent (w);
  w->agent[1 - i].on_submit = NULL;
  fake_agent_stop (&w->agent[i]);
  call_wait (c);
}

/* An agent fails with its instance in the middle of a response that is not
   streamed.  The caller has received nothing yet and must get one response,
   made by one run of another target.  */
Test (entry_streams, target_fails_during_unstreamed_response)
{
  struct fixture w;
  struct caller c;

  fail_assigned_target (&w, &c, UNSTREAMED);
  cr_assert_eq (c.status, 200, "%s", c.body->str);
  cr_assert_eq (submits (&w), 2);
  cr_assert (call_body_contains (&c, "\"text\":\"t0 t1 \""), "%s",
             c.body->str);
  cr_assert_not (call_body_contains (&c, "run-1"));
  call_free (&c);
  fixture_stop (&w);
}

/* The same during a stream.  Another run can't continue what the caller has
   received; the caller must be able to see that the response is
   incomplete.  */
Test (entry_streams, target_fails_during_stream)
{
  struct fixture w;
  struct caller c;

  fail_assigned_target (&w, &c, STREAM);
  cr_assert_neq (c.err, 0);
  cr_assert (call_body_contains (&c, "event: error"), "%s", c.body->str);
  cr_assert (call_body_contains (&c, "\"ran\":\"unknown\""));
  cr_assert_eq (submits (&w), 1);
  cr_assert_eq (fixture_count_events (&w, "request.broken"), 1);
  call_free (&c);
  fixture_stop (&w);
}

static bool
cancelled (void *ctx)
{
  return ((struct fixture *)ctx)->agent[0].cancels == 1;
}

/* A caller closes its connection in the middle of a stream.  The target must
   be told, or it would go on generating for nobody.  */
Test (entry_streams, caller_disconnects)
{
  struct fixture w;
  struct caller c;

  moment = DURING;
  fixture_start (&w, 1, false);
  w.agent[0].on_submit = send_part;
  call_start (&c, &w, "POST", "/v1/completions", NULL, 0, STREAM);
  fixture_run_until (&w, part_received, &c);
  wy_http_call_cancel (c.call);
  fixture_run_until (&w, cancelled, &w);
  cr_assert_eq (fixture_count_events (&w, "request.abandoned"), 1);
  call_free (&c);
  fixture_stop (&w);
}

enum
{
  FLOOD_BYTES = 256 << 10,
  FLOOD_MAX = 200
};

static void
begin_flood (struct fake_agent *a, const struct wy_frame *f)
{
  struct fake_run *r = fake_accept (a, f, "run-1", "");

  g_string_set_size (r->body, (gsize)FLOOD_BYTES * FLOOD_MAX);
  memset (r->body->str, 'x', r->body->len);
  fake_send_head (a, r, 200, "text/event-stream");
}

static void
on_connected (uv_connect_t *req, int status)
{
  cr_assert_eq (status, 0);
}

static bool
no_request_open (void *ctx)
{
  struct fixture *w = ctx;
  GString *metrics = g_string_new (NULL);
  bool none;

  wy_metrics_print (w->metrics, metrics);
  none = strstr (metrics->str, "\nwy_requests_open 0\n") != NULL;
  g_string_free (metrics, TRUE);
  return none;
}

/* A caller requests a long stream and doesn't read it.  It must be cancelled,
   also at its target, before the pending response fills the entry's
   memory.  */
Test (entry_streams, caller_that_does_not_read)
{
  struct fixture w;
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_write_t write;
  struct sockaddr_in a;
  char *request = g_strdup_printf ("POST /v1/completions HTTP/1.1\r\n"
                                   "Content-Length: %zu\r\n\r\n%s",
                                   strlen (STREAM), STREAM);
  uv_buf_t buf = uv_buf_init (request, (unsigned)strlen (request));
  const struct fake_run *r;
  size_t sent = 0;

  fixture_start (&w, 1, false);
  w.agent[0].on_submit = begin_flood;
  uv_tcp_init (&w.loop, &tcp);
  uv_ip4_addr ("127.0.0.1", wy_entry_port (w.entry), &a);
  uv_tcp_connect (&connect, &tcp, (struct sockaddr *)&a, on_connected);
  uv_write (&write, (uv_stream_t *)&tcp, &buf, 1, NULL);
  fixture_run_until (&w, submitted, &w);
  r = g_hash_table_lookup (w.agent[0].runs, w.agent[0].last_id);
  for (; sent < FLOOD_MAX && w.agent[0].cancels == 0; sent++)
    {
      fake_send_chunk (&w.agent[0], r, sent * FLOOD_BYTES,
                       (sent + 1) * FLOOD_BYTES);
      fixture_run_ms (&w, 10);
    }
  cr_assert_eq (w.agent[0].cancels, 1);
  cr_assert_lt (sent, FLOOD_MAX);
  fixture_run_until (&w, no_request_open, &w);
  uv_close ((uv_handle_t *)&tcp, NULL);
  fixture_stop (&w);
  g_free (request);
}
