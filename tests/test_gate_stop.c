/* A wygated process that is told to stop while callers use it.  Whatever
   reaches it is served whole or refused truthfully, and nothing that has begun
   is cut off.  */
#include <criterion/criterion.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "support/gate_process.h"
#include "support/paced_client.h"

enum
{
  MEMORY_MB = 280,
  EVENT_MS = 50,
  BODY_BYTES = 5000000,
  STEP_MS = 20,
  WAIT_MAX_MS = 12000
};

#define GRACE "grace_s: 8\n"
#define SHORT_GRACE "grace_s: 4\n"

static struct gate_process g;
static uint32_t runs; /* of requests below "/stream/" and "/unsafe/" */

/* Send TEXT to LISTENER on a new connection and read BYTES_PER_S (0: without a
   limit).  */
static struct paced_client *
client_to (enum gate_listener listener, const char *text, uint32_t bytes_per_s)
{
  return paced_client_new (&g.w.loop, g.ports[listener], text, bytes_per_s);
}

/* The same, to the listener for callers.  */
static struct paced_client *
client_new (const char *text, uint32_t bytes_per_s)
{
  return client_to (GATE_CALLERS, text, bytes_per_s);
}

static bool
has_ended (void *client)
{
  return ((struct paced_client *)client)->ended;
}

static bool
has_answer (void *client)
{
  return strstr (((struct paced_client *)client)->got->str, "\r\n\r\n")
         != NULL;
}

static void
run_until (bool (*cond) (void *ctx), struct paced_client *c)
{
  for (int ms = 0; ms < WAIT_MAX_MS && !cond (c); ms += STEP_MS)
    platform_fixture_run_ms (&g.w, STEP_MS);
}

/* Status of the first response that C has got; 0: none.  */
static int
status_of (const struct paced_client *c)
{
  return g_str_has_prefix (c->got->str, "HTTP/1.1 ")
             ? atoi (c->got->str + strlen ("HTTP/1.1 "))
             : 0;
}

static bool
has_field (const struct paced_client *c, const char *field)
{
  return strstr (c->got->str, field) != NULL;
}

/* Whether the streamed response that C has got last is complete.  */
static bool
has_stream_end (const struct paced_client *c)
{
  return g_str_has_suffix (c->got->str, "\r\n0\r\n\r\n");
}

/* Body bytes of the response that C has got.  */
static size_t
body_bytes (const struct paced_client *c)
{
  const char *end = strstr (c->got->str, "\r\n\r\n");

  return end ? c->got->len - (size_t)(end + 4 - c->got->str) : 0;
}

/* A streamed response in progress.  */
struct stream
{
  struct wy_h1_request *request;
  uv_timer_t timer;
  int64_t left_ms;
  uint32_t id;
};

static void
on_stream_closed (uv_handle_t *h)
{
  g_free (h->data);
}

static void
on_stream_hangup (void *ctx)
{
  struct stream *s = ctx;

  uv_close ((uv_handle_t *)&s->timer, on_stream_closed);
}

static void
on_stream_timer (uv_timer_t *t)
{
  struct stream *s = t->data;
  char text[64];
  int n = snprintf (text, sizeof text, "id: %u\ndata: x\n\n", ++s->id);

  wy_h1_write_response (s->request, text, (size_t)n);
  s->left_ms -= EVENT_MS;
  if (s->left_ms > 0)
    return;
  wy_h1_on_hangup (s->request, NULL, NULL);
  wy_h1_end_response (s->request);
  uv_close ((uv_handle_t *)t, on_stream_closed);
}

/* A replica: "/stream/N" has events for N ms, "/large/" a response of
   BODY_BYTES; "/unsafe/" and "/small/slow" have none, others a short one.  */
static void
on_request (void *ctx, struct wy_h1_request *r)
{
  static char body[BODY_BYTES];
  const char *target = wy_h1_target (r);
  const char *id = wy_h1_head_get (wy_h1_head (r), "Attempt-Id");
  struct wy_h1_header fields[] = { { "Attempt-Id", id ? id : "" },
                                   { "Response-Stamp", "stamp" },
                                   { "Content-Type", "text/event-stream" } };
  struct stream *s;

  if (!strcmp (target, "/small/slow"))
    return;
  if (g_str_has_prefix (target, "/unsafe/"))
    {
      runs++;
      return;
    }
  if (!g_str_has_prefix (target, "/stream/"))
    {
      memset (body, 'x', sizeof body);
      wy_h1_respond (r, 200, fields, 2, body,
                     g_str_has_prefix (target, "/large/") ? sizeof body : 2);
      return;
    }
  runs++;
  s = g_new0 (struct stream, 1);
  s->request = r;
  s->left_ms = atoi (target + strlen ("/stream/"));
  wy_h1_begin_response (r, 200, fields, G_N_ELEMENTS (fields));
  uv_timer_init (&g.w.loop, &s->timer);
  s->timer.data = s;
  uv_timer_start (&s->timer, on_stream_timer, EVENT_MS, EVENT_MS);
  wy_h1_on_hangup (r, on_stream_hangup, s);
}

static void
start (const char *settings, uint32_t idle_timeout_ms)
{
  struct gate_process_options o = { .memory_mb = MEMORY_MB,
                                    .idle_timeout_ms = idle_timeout_ms,
                                    .settings = settings,
                                    .on_request = on_request };

  gate_process_start (&g, &o);
}

static void
stop_gate (void)
{
  kill (g.pid, SIGTERM);
}

/* The process ends by itself with status 0.  */
static void
expect_end (void)
{
  int status = -1;

  for (int ms = 0; ms < WAIT_MAX_MS; ms += STEP_MS)
    {
      if (waitpid (g.pid, &status, WNOHANG) == g.pid)
        break;
      platform_fixture_run_ms (&g.w, STEP_MS);
    }
  cr_expect (WIFEXITED (status) && WEXITSTATUS (status) == 0, "status %d",
             status);
}

#define GET(target, fields)                                                   \
  "GET " target " HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n" fields "\r\n"

/* Guards against streams that are taken from idle connections late in a stop
   and cut off at its end.  */
Test (gate_stop, stream_on_an_idle_connection_late, .timeout = 60)
{
  enum
  {
    LATE_MS = 3300
  };
  struct paced_client *first;
  struct paced_client *late;

  start (GRACE, 0);
  late = client_new (GET ("/small/x", ""), 0);
  run_until (has_answer, late);
  cr_expect_eq (status_of (late), 200);
  first = client_new (GET ("/stream/4500", ""), 0);
  platform_fixture_run_ms (&g.w, 200);
  stop_gate ();
  platform_fixture_run_ms (&g.w, LATE_MS);
  g_string_truncate (late->got, 0);
  paced_client_send (late, GET ("/stream/4000", ""));
  run_until (has_ended, late);
  run_until (has_ended, first);
  cr_expect (has_stream_end (first));
  cr_expect (status_of (late) == 0 || status_of (late) == 503, "%s",
             late->got->str);
  cr_expect_eq (runs, 1);
  expect_end ();
}

/* Guards against a connection that stays open after its response, which began
   before the stop and so could not announce the close.  */
Test (gate_stop, response_begun_before, .timeout = 60)
{
  struct paced_client *c;

  start (GRACE, 0);
  c = client_new (GET ("/stream/1000", ""), 0);
  run_until (has_answer, c);
  stop_gate ();
  platform_fixture_run_ms (&g.w, 1400);
  cr_expect (has_stream_end (c));
  cr_expect (c->ended);
  expect_end ();
}

/* Guards against a request that may run once only and ends without an answer,
   its outcome unknown, though it could have been refused.  */
Test (gate_stop, unsafe_that_may_not_end, .timeout = 60)
{
  struct paced_client *c;

  start (GRACE, 0);
  stop_gate ();
  platform_fixture_run_ms (&g.w, 500);
  c = client_new (GET ("/unsafe/x", "Deadline-Milliseconds: 7500\r\n"), 0);
  run_until (has_ended, c);
  cr_expect_eq (status_of (c), 503);
  cr_expect (has_field (c, "Retry-After: "));
  cr_expect_eq (runs, 0);
  expect_end ();
}

/* Guards against refusing what a stopping entry can serve: for a while it
   still gets new connections.  */
Test (gate_stop, short_requests_early, .timeout = 60)
{
  struct paced_client *kept;
  struct paced_client *fresh;

  start (GRACE, 0);
  kept = client_new (GET ("/small/x", ""), 0);
  run_until (has_answer, kept);
  stop_gate ();
  platform_fixture_run_ms (&g.w, 500);
  g_string_truncate (kept->got, 0);
  paced_client_send (kept,
                     GET ("/small/y", "Deadline-Milliseconds: 2000\r\n"));
  fresh
      = client_new (GET ("/stream/300", "Deadline-Milliseconds: 2000\r\n"), 0);
  run_until (has_ended, kept);
  run_until (has_ended, fresh);
  cr_expect_eq (status_of (kept), 200);
  cr_expect (has_field (kept, "Connection: close"));
  cr_expect (has_stream_end (fresh));
  expect_end ();
}

/* Guards against a request that was passed on and ends with a closed
   connection at the end of the grace time.  */
Test (gate_stop, request_in_progress_at_the_end, .timeout = 60)
{
  struct paced_client *c;

  start (SHORT_GRACE, 0);
  c = client_new (GET ("/small/slow", ""), 0);
  platform_fixture_run_ms (&g.w, 200);
  stop_gate ();
  run_until (has_ended, c);
  cr_expect_eq (status_of (c), 502);
  expect_end ();
}

/* Guards against answers that are cut off since the process exits while their
   readers are slow.  */
Test (gate_stop, answer_read_slowly, .timeout = 60)
{
  struct paced_client *c;

  start (GRACE, 0);
  c = client_new (GET ("/large/x", ""), 1000000);
  run_until (has_answer, c);
  stop_gate ();
  run_until (has_ended, c);
  cr_expect_eq (body_bytes (c), BODY_BYTES);
  expect_end ();
}

/* Guards against a call of another entry, relayed to the store, that ends
   without an answer since only callers' requests are waited for.  */
Test (gate_stop, peer_call_in_progress, .timeout = 60)
{
  enum
  {
    LATE_MS = 2300
  };
  struct paced_client *c;

  start (GRACE, 0);
  stop_gate ();
  platform_fixture_run_ms (&g.w, LATE_MS);
  wy_platform_store_faults (g.w.store)->silent = true;
  c = client_to (GATE_PEERS, GET ("/api/rows-get?table=wy-jobs&part=x", ""),
                 0);
  run_until (has_answer, c);
  cr_expect_neq (status_of (c), 0);
  expect_end ();
}

/* Guards against a stop that waits past its grace time for a reader that has
   stopped reading.  */
Test (gate_stop, answer_not_read, .timeout = 60)
{
  struct paced_client *c;

  start (SHORT_GRACE, 0);
  c = client_new (GET ("/large/x", ""), 50000);
  run_until (has_answer, c);
  paced_client_stop_reading (c);
  stop_gate ();
  expect_end ();
}

/* Guards against streams that are cut off by a second SIGTERM, or by a SIGHUP
   after it.  */
Test (gate_stop, signals_in_series, .timeout = 60)
{
  static const int numbers[] = { SIGTERM, SIGTERM, SIGHUP, SIGTERM, SIGINT };
  struct paced_client *c;

  start (GRACE, 0);
  c = client_new (GET ("/stream/3000", ""), 0);
  run_until (has_answer, c);
  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      kill (g.pid, numbers[i]);
      platform_fixture_run_ms (&g.w, 300);
    }
  run_until (has_ended, c);
  cr_expect (has_stream_end (c));
  expect_end ();
}

/* Guards against an answer that is cut off as idle while its reader takes it
   slowly, without a stop.  */
Test (gate_stop, slow_reader_is_not_idle, .timeout = 60)
{
  enum
  {
    IDLE_MS = 1000
  };
  struct paced_client *c;

  start (GRACE, IDLE_MS);
  c = client_new (GET ("/large/x", ""), 1000000);
  run_until (has_ended, c);
  cr_expect_eq (body_bytes (c), BODY_BYTES);
  kill (g.pid, SIGTERM);
  expect_end ();
}
