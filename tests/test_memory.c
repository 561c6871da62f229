/* Loads that exceed the memory of an entry, on a wygated process with a memory
   of 120 MB: its resident size must stay below half of it, as must what its
   account counts.  */
#include <criterion/criterion.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <jansson.h>

#include "support/gate_process.h"

enum
{
  MEMORY_MB = 120,
  SILENT_CALLERS = 500,
  RESPONSE_BYTES = 400000,
  EVENT_BYTES = 4000,
  UNSENT_BYTES = 65536,
  UPLOADS = 120,
  UPLOAD_BYTES = 500000,
  JOB_TEXTS = 150,
  JOB_TEXT_BYTES = 500000,
  LOAD_MS = 3000, /* beyond the 2 s after which silent readers are closed */
  STEP_MS = 4,
  TRIES = 200,
  TRY_MS = 10
};

/* One response of the replica, sent as fast as it is read.  */
struct flow
{
  struct wy_h1_request *request;
  uint32_t sent_bytes;
  uint32_t total_bytes;
  uint32_t events;
  bool is_stream;
  GList link;
};

static struct gate_process g;
static GQueue flows = G_QUEUE_INIT;
static GHashTable *ran; /* ids of requests that the replica has received */
static uv_timer_t pump;
static char filler[RESPONSE_BYTES];

static void
on_flow_hangup (void *ctx)
{
  struct flow *f = ctx;

  g_queue_unlink (&flows, &f->link);
  g_free (f);
}

static void
send_more (struct flow *f)
{
  char head[48];

  while (f->sent_bytes < f->total_bytes
         && wy_h1_unsent_bytes (f->request) < UNSENT_BYTES)
    {
      g_snprintf (head, sizeof head, "id: %u\ndata: ", ++f->events);
      if (f->is_stream)
        wy_h1_write_response (f->request, head, strlen (head));
      wy_h1_write_response (f->request, filler, EVENT_BYTES);
      if (f->is_stream)
        wy_h1_write_response (f->request, "\n\n", 2);
      f->sent_bytes += EVENT_BYTES;
    }
  if (f->sent_bytes < f->total_bytes)
    return;
  wy_h1_on_hangup (f->request, NULL, NULL);
  wy_h1_end_response (f->request);
  on_flow_hangup (f);
}

static void
on_pump (uv_timer_t *t)
{
  GList *next;

  for (GList *l = flows.head; l; l = next)
    {
      next = l->next;
      send_more (l->data);
    }
}

/* "/small/": a short response; "/large/": one of RESPONSE_BYTES; otherwise a
   stream.  */
static void
on_request (void *ctx, struct wy_h1_request *r)
{
  const char *id = wy_h1_head_get (wy_h1_head (r), "Attempt-Id");
  const char *target = wy_h1_target (r);
  struct wy_h1_header fields[] = { { "Attempt-Id", id },
                                   { "Response-Stamp", "stamp" },
                                   { "Content-Type", "text/event-stream" },
                                   { "Weight-Versions", "1" } };
  struct flow *f;

  g_hash_table_add (ran, g_strdup (id));
  if (g_str_has_prefix (target, "/small/"))
    {
      wy_h1_respond (r, 200, fields, 2, "ok", 2);
      return;
    }
  f = g_new0 (struct flow, 1);
  f->request = r;
  f->is_stream = !g_str_has_prefix (target, "/large/");
  f->total_bytes
      = g_str_has_prefix (target, "/job/") ? JOB_TEXT_BYTES : RESPONSE_BYTES;
  f->link.data = f;
  g_queue_push_tail_link (&flows, &f->link);
  wy_h1_on_hangup (r, on_flow_hangup, f);
  wy_h1_begin_response (r, 200, fields, G_N_ELEMENTS (fields));
}

static struct platform_response *
call (const char *method, const char *target, const char *id, const char *body)
{
  return gate_process_call (&g, GATE_CALLERS, method, target, id, body);
}

static void
finish (struct platform_response *a)
{
  cr_assert (platform_fixture_run_until (&g.w, platform_response_done, a));
}

static void
start (void)
{
  struct gate_process_options o
      = { .memory_mb = MEMORY_MB, .on_request = on_request };

  ran = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  memset (filler, 'x', sizeof filler);
  gate_process_start (&g, &o);
  uv_timer_init (&g.w.loop, &pump);
  uv_timer_start (&pump, on_pump, STEP_MS, STEP_MS);
}

/* Check the peaks, and that the process still works.  */
static void
check_and_stop (const char *load)
{
  int64_t kb;

  platform_response_free (gate_process_await (&g, GATE_CALLERS, "/small/x"));
  kb = process_resident_peak_kb (g.pid);
  fprintf (stderr,
           "%s: resident peak %lld kB, account %lld of %lld, rejections %lld, "
           "sheds %lld\n",
           load, (long long)kb,
           (long long)gate_process_metric (&g, "wy_gate_memory_peak_bytes"),
           (long long)gate_process_metric (&g, "wy_gate_memory_budget_bytes"),
           (long long)gate_process_metric (&g, "wy_gate_memory_rejections"),
           (long long)gate_process_metric (&g, "wy_gate_memory_sheds"));
#ifndef __SANITIZE_ADDRESS__ /* which multiplies the resident size */
  cr_expect_leq (kb, MEMORY_MB * 1024 / 2, "%s", load);
#endif
  cr_expect_leq (gate_process_metric (&g, "wy_gate_memory_peak_bytes"),
                 gate_process_metric (&g, "wy_gate_memory_budget_bytes"), "%s",
                 load);
  uv_close ((uv_handle_t *)&pump, NULL);
  gate_process_stop (&g);
  g_hash_table_destroy (ran);
}

/* Connect a caller that sends a request and reads nothing.  A small segment
   size and a small buffer keep the kernel from holding the response.  */
static int
silent_caller (const char *target, int number)
{
  struct sockaddr_in a = platform_loopback (g.ports[GATE_CALLERS]);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int segment = 536;
  int buffer = 4096;
  char *text = g_strdup_printf (
      "GET %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: s-%d\r\n\r\n", target,
      number);

  cr_assert_geq (fd, 0);
  setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  cr_assert_eq (connect (fd, (const struct sockaddr *)&a, sizeof a), 0, "%s",
                strerror (errno));
  cr_assert_eq (write (fd, text, strlen (text)), (ssize_t)strlen (text));
  g_free (text);
  return fd;
}

static bool
has_run (void *id)
{
  return g_hash_table_contains (ran, id);
}

/* 500 callers send a request and read nothing of the response, of 400 kB each
   and 200 MB together.  The entry would hold all of it.  A caller that came
   before and reads must still get its complete response, and so must one that
   comes later, at the latest when the silent ones are closed.  */
Test (memory, callers_that_stop_reading, .timeout = 120)
{
  static const char *const targets[] = { "/stream/x", "/large/x" };

  for (size_t i = 0; i < G_N_ELEMENTS (targets); i++)
    {
      int fds[SILENT_CALLERS];
      struct platform_response *a;

      start ();
      a = call ("GET", targets[i], "r", NULL);
      cr_assert (platform_fixture_run_until (&g.w, has_run, "r"));
      for (int k = 0; k < SILENT_CALLERS; k++)
        fds[k] = silent_caller (targets[i], k);
      finish (a);
      cr_expect_eq (a->status, 200, "%s: %d", targets[i], a->status);
      cr_expect_eq (a->err, 0);
      cr_expect_geq (a->body->len, RESPONSE_BYTES);
      platform_response_free (a);
      platform_fixture_run_ms (&g.w, LOAD_MS);
      a = gate_process_await (&g, GATE_CALLERS, targets[i]);
      cr_expect_geq (a->body->len, RESPONSE_BYTES);
      platform_response_free (a);
      check_and_stop (targets[i]);
      for (int k = 0; k < SILENT_CALLERS; k++)
        close (fds[k]);
    }
}

/* One of two replicas accepts connections and reads nothing, while callers
   send 60 MB of bodies.  A body is held twice until the replica has read it.
   A request rejected with 503 must not have run.  */
Test (memory, replica_that_stops_reading, .timeout = 120)
{
  struct sockaddr_in address = platform_loopback (0);
  socklen_t n = sizeof address;
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  int buffer = 4096;
  struct platform_response *all[UPLOADS];
  char *body = g_strnfill (UPLOAD_BYTES, 'x');
  char id[16];

  setsockopt (listener, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  cr_assert_eq (
      bind (listener, (const struct sockaddr *)&address, sizeof address), 0);
  cr_assert_eq (listen (listener, UPLOADS), 0);
  cr_assert_eq (getsockname (listener, (struct sockaddr *)&address, &n), 0);
  start ();
  gate_process_list_replica (&g, "i-2", ntohs (address.sin_port));
  for (int k = 0; k < UPLOADS; k++)
    {
      g_snprintf (id, sizeof id, "u-%d", k);
      all[k] = call ("POST", k % 2 ? "/small/x" : "/silent/x", id, body);
    }
  platform_fixture_run_ms (&g.w, LOAD_MS);
  for (int k = 0; k < UPLOADS; k++)
    {
      g_snprintf (id, sizeof id, "u-%d", k);
      if (all[k]->done && all[k]->status == 503)
        cr_expect_not (g_hash_table_contains (ran, id), "%s", id);
      platform_response_free (all[k]);
    }
  check_and_stop ("replica");
  g_free (body);
  close (listener);
}

/* Submit a job of JOB_TEXTS items.  */
static void
submit_job (void)
{
  GString *s = g_string_new ("{\"step\":1,\"model\":\"m\","
                             "\"minimumVersion\":1,\"desiredCount\":1000,"
                             "\"items\":[");
  struct platform_response *a;

  for (int k = 0; k < JOB_TEXTS; k++)
    g_string_append_printf (
        s,
        "%s{\"id\":\"it-%d\",\"path\":\"/job/x\",\"headers\":{\"Model\":"
        "\"m\"},\"body\":\"aGVsbG8=\",\"tokens\":9,\"group\":\"g%d\"}",
        k ? "," : "", k, k);
  g_string_append (s, "]}");
  a = call ("POST", "/job/x", "job-1", s->str);
  finish (a);
  cr_assert_eq (a->status, 202, "%d", a->status);
  platform_response_free (a);
  g_string_free (s, TRUE);
}

/* A job of 150 texts of 500 kB, 75 MB together, that are all generated at the
   same time, and stored, listed and read by the trainer meanwhile.  Each must
   be listed complete.  */
Test (memory, job_of_long_texts, .timeout = 120)
{
  size_t after = 0;

  start ();
  submit_job ();
  for (int tries = 0; after < JOB_TEXTS && tries < 10 * TRIES; tries++)
    {
      char *target = g_strdup_printf ("/api/lots/job-1?after=%zu", after);
      struct platform_response *a
          = gate_process_await (&g, GATE_CALLERS, target);
      json_t *doc = json_loads (a->body->str, 0, NULL);
      json_t *result;
      size_t i;

      json_array_foreach (json_object_get (doc, "results"), i, result)
      {
        cr_expect_geq (json_string_length (json_object_get (result, "text")),
                       JOB_TEXT_BYTES);
        after++;
      }
      json_decref (doc);
      platform_response_free (a);
      g_free (target);
      platform_fixture_run_ms (&g.w, TRY_MS);
    }
  cr_expect_eq (after, JOB_TEXTS, "%zu results", after);
  check_and_stop ("job");
}
