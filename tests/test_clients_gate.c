/* Callers that don't behave, on a wygated process with a memory of 120 MB: its
   resident size must stay below half of it, its descriptors below their limit,
   and a request must be answered while the crowd's connections are open.  */
#include <criterion/criterion.h>
#include <string.h>

#include "standin/crowd.h"
#include "support/gate_process.h"

enum
{
  MEMORY_MB = 120,
  DESCRIPTORS = 4096,
  FEW_DESCRIPTORS = 256,
  /* All of a crowd's connections stay open for longer than a test.  */
  PATIENT_MS = 120000,
  LOAD_MS = 3000,
  SENT_MAX_BYTES = 6 << 20, /* a connection */
  UPLOAD_BYTES = 60000,
  JOB_UPLOAD_BYTES = 400000,
  HEAD_BYTES = 13000,
  IDLE_CLIENTS = 20
};

struct load
{
  const char *name;
  enum gate_listener listener;
  struct wy_crowd_options crowd;
  uint32_t descriptors;
};

static struct gate_process g;

static void
start (uint32_t descriptors)
{
  struct gate_process_options o
      = { .memory_mb = MEMORY_MB,
          .descriptors = descriptors ? descriptors : DESCRIPTORS,
          .idle_timeout_ms = PATIENT_MS,
          .header_timeout_ms = PATIENT_MS,
          .on_request = gate_process_respond };

  gate_process_start (&g, &o);
}

static void
play (const struct load *l)
{
  struct wy_crowd_options o = l->crowd;
  struct wy_crowd *c;

  start (l->descriptors);
  o.loop = &g.w.loop;
  o.port = g.ports[l->listener];
  if (!o.sent_max_bytes)
    o.sent_max_bytes = SENT_MAX_BYTES;
  c = wy_crowd_new (&o);
  platform_fixture_run_ms (&g.w, LOAD_MS);
  wy_crowd_stop_sending (c);
  fprintf (stderr, "sent %llu kB, %u connections open\n",
           (unsigned long long)wy_crowd_sent_bytes (c) / 1024,
           wy_crowd_open (c));
  gate_process_check (&g, l->name, MEMORY_MB, DESCRIPTORS);
  wy_crowd_free (c);
  gate_process_stop (&g);
}

/* A request for TARGET whose body has N bytes, of which one is not sent.  */
static char *
unfinished_upload (const char *target, uint32_t n)
{
  char *body = g_strnfill (n - 1, 'x');
  char *text = g_strdup_printf ("POST %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: "
                                "u\r\nContent-Length: %u\r\n\r\n%s",
                                target, n, body);

  g_free (body);
  return text;
}

#define UNKNOWN_PATH "GET /none/x HTTP/1.1\r\nHost: h\r\n\r\n"

/* Requests that are answered within the handler are taken without end while
   their answers are unread.  */
Test (clients_gate, unknown_path_unread, .timeout = 60)
{
  play (
      &(struct load){ .name = "unknown_path_unread",
                      .listener = GATE_CALLERS,
                      .crowd = { .connections = 20, .again = UNKNOWN_PATH } });
}

/* The same, by callers that read some of the answers.  */
Test (clients_gate, unknown_path_read_slowly, .timeout = 60)
{
  play (&(struct load){ .name = "unknown_path_read_slowly",
                        .listener = GATE_CALLERS,
                        .crowd = { .connections = 20,
                                   .again = UNKNOWN_PATH,
                                   .read_step_bytes = 2000 } });
}

/* Interim responses are sent without end while they are unread.  */
Test (clients_gate, expect_continue_unread, .timeout = 60)
{
  play (&(struct load){
      .name = "expect_continue_unread",
      .listener = GATE_CALLERS,
      .crowd = { .connections = 20,
                 .again = "POST /none/x HTTP/1.1\r\nHost: h\r\nExpect: "
                          "100-continue\r\nContent-Length: 1\r\n\r\nx" } });
}

/* Requests that are forwarded are taken without end while their answers are
   unread.  */
Test (clients_gate, forwarded_unread, .timeout = 60)
{
  play (&(struct load){
      .name = "forwarded_unread",
      .listener = GATE_CALLERS,
      .crowd = { .connections = 100,
                 .again = "GET /large/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: "
                          "p\r\n\r\n" } });
}

/* The readiness address takes requests without end.  */
Test (clients_gate, readiness_unread, .timeout = 60)
{
  play (&(struct load){
      .name = "readiness_unread",
      .listener = GATE_READY,
      .crowd
      = { .connections = 20, .again = "GET / HTTP/1.1\r\nHost: h\r\n\r\n" } });
}

/* The metrics address takes requests without end.  */
Test (clients_gate, metrics_unread, .timeout = 60)
{
  play (&(struct load){ .name = "metrics_unread",
                        .listener = GATE_METRICS,
                        .crowd = { .connections = 20,
                                   .again = "GET /metrics HTTP/1.1\r\nHost: "
                                            "h\r\n\r\n",
                                   .sent_max_bytes = 10000 } });
}

/* Each of many connections holds one long answer of the metrics address.  */
Test (clients_gate, metrics_unread_by_many, .timeout = 60)
{
  play (&(struct load){
      .name = "metrics_unread_by_many",
      .listener = GATE_METRICS,
      .crowd = { .connections = 2500,
                 .again = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n",
                 .sent_max_bytes = 3000 } });
}

/* The address for other processes takes requests without end.  */
Test (clients_gate, peers_unread, .timeout = 60)
{
  play (&(struct load){ .name = "peers_unread",
                        .listener = GATE_PEERS,
                        .crowd
                        = { .connections = 20,
                            .again = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n" } });
}

/* Bodies for a path that no route has are held without a bound while they are
   incomplete.  */
Test (clients_gate, unfinished_uploads, .timeout = 60)
{
  char *text = unfinished_upload ("/none/x", UPLOAD_BYTES);

  play (&(struct load){ .name = "unfinished_uploads",
                        .listener = GATE_CALLERS,
                        .crowd = { .connections = 3500, .once = text } });
  g_free (text);
}

/* The same for jobs, which are never rejected before their body is read.  */
Test (clients_gate, unfinished_jobs, .timeout = 60)
{
  char *text = unfinished_upload ("/job/x", JOB_UPLOAD_BYTES);

  play (&(struct load){ .name = "unfinished_jobs",
                        .listener = GATE_CALLERS,
                        .crowd = { .connections = 500, .once = text } });
  g_free (text);
}

/* The same at the address for other processes.  */
Test (clients_gate, unfinished_peer_calls, .timeout = 60)
{
  char *text = unfinished_upload ("/x", JOB_UPLOAD_BYTES);

  play (&(struct load){ .name = "unfinished_peer_calls",
                        .listener = GATE_PEERS,
                        .crowd = { .connections = 500, .once = text } });
  g_free (text);
}

/* Heads are held without a bound while they are incomplete.  */
Test (clients_gate, unfinished_heads, .timeout = 60)
{
  char *value = g_strnfill (HEAD_BYTES, 'x');
  char *text
      = g_strconcat ("GET / HTTP/1.1\r\nHost: h\r\nLong: ", value, NULL);

  play (&(struct load){ .name = "unfinished_heads",
                        .listener = GATE_CALLERS,
                        .crowd = { .connections = 3500, .once = text } });
  g_free (text);
  g_free (value);
}

/* A head of many short fields takes several times its length.  */
Test (clients_gate, unfinished_heads_of_short_fields, .timeout = 60)
{
  GString *text = g_string_new ("GET / HTTP/1.1\r\n");

  while (text->len < HEAD_BYTES)
    g_string_append (text, "a:\r\n");
  play (&(struct load){ .name = "unfinished_heads_of_short_fields",
                        .listener = GATE_CALLERS,
                        .crowd = { .connections = 3500, .once = text->str } });
  g_string_free (text, TRUE);
}

/* A connection keeps the memory of its longest head while it is idle.  */
Test (clients_gate, idle_after_long_heads, .timeout = 60)
{
  GString *text = g_string_new ("GET /none/x HTTP/1.1\r\nHost: h\r\n");

  while (text->len < HEAD_BYTES)
    g_string_append (text, "a:\r\n");
  g_string_append (text, "\r\n");
  play (&(struct load){ .name = "idle_after_long_heads",
                        .listener = GATE_CALLERS,
                        .crowd = { .connections = 3500,
                                   .once = text->str,
                                   .read_step_bytes = 65536 } });
  g_string_free (text, TRUE);
}

/* A connection keeps the memory of its longest body while it is idle.  */
Test (clients_gate, idle_after_uploads, .timeout = 60)
{
  char *body = g_strnfill (UPLOAD_BYTES, 'x');
  char *text
      = g_strdup_printf ("POST /small/x HTTP/1.1\r\nHost: h\r\n"
                         "Attempt-Id: u\r\nContent-Length: %d\r\n\r\n%s",
                         UPLOAD_BYTES, body);

  play (&(struct load){
      .name = "idle_after_uploads",
      .listener = GATE_CALLERS,
      .crowd
      = { .connections = 2500, .once = text, .read_step_bytes = 65536 } });
  g_free (text);
  g_free (body);
}

/* Requests are sent ahead of the answer to one that takes long.  */
Test (clients_gate, sent_ahead_of_a_slow_answer, .timeout = 60)
{
  play (&(struct load){ .name = "sent_ahead_of_a_slow_answer",
                        .listener = GATE_CALLERS,
                        .crowd
                        = { .connections = 1500,
                            .once = "GET /small/slow HTTP/1.1\r\nHost: h\r\n"
                                    "Attempt-Id: s\r\n\r\n",
                            .again = UNKNOWN_PATH,
                            .sent_max_bytes = 200000 } });
}

/* A head that arrives a byte at a time holds its connection.  */
Test (clients_gate, heads_a_byte_at_a_time, .timeout = 60)
{
  play (&(struct load){
      .name = "heads_a_byte_at_a_time",
      .listener = GATE_CALLERS,
      .crowd = { .connections = 200, .once = UNKNOWN_PATH, .chunk_bytes = 1 },
      .descriptors = FEW_DESCRIPTORS });
}

/* A rejected upload goes on without end.  */
Test (clients_gate, rejected_uploads_go_on, .timeout = 60)
{
  play (&(struct load){
      .name = "rejected_uploads_go_on",
      .listener = GATE_CALLERS,
      .crowd
      = { .connections = 20,
          .once = "POST /small/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: "
                  "r\r\nContent-Length: 2000000000\r\n\r\n",
          .again = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx",
          .sent_max_bytes = 100 << 20 } });
}

/* Requests are sent ahead, and the sending side is closed.  */
Test (clients_gate, half_closed, .timeout = 60)
{
  play (&(struct load){ .name = "half_closed",
                        .listener = GATE_CALLERS,
                        .crowd = { .connections = 200,
                                   .again = UNKNOWN_PATH,
                                   .sent_max_bytes = 1 << 20,
                                   .half_close = true } });
}

/* Silent connections hold all descriptors.  */
Test (clients_gate, silent_connections, .timeout = 60)
{
  play (&(struct load){ .name = "silent_connections",
                        .listener = GATE_CALLERS,
                        .crowd = { .connections = 400 },
                        .descriptors = FEW_DESCRIPTORS });
}

/* Silent connections to the address for other processes hold all descriptors
   that the listeners share.  */
Test (clients_gate, silent_peers, .timeout = 60)
{
  play (&(struct load){ .name = "silent_peers",
                        .listener = GATE_PEERS,
                        .crowd = { .connections = 400 },
                        .descriptors = FEW_DESCRIPTORS });
}

/* The same at the metrics address.  */
Test (clients_gate, silent_at_metrics, .timeout = 60)
{
  play (&(struct load){ .name = "silent_at_metrics",
                        .listener = GATE_METRICS,
                        .crowd = { .connections = 400 },
                        .descriptors = FEW_DESCRIPTORS });
}

/* The same at the readiness address.  */
Test (clients_gate, silent_at_readiness, .timeout = 60)
{
  play (&(struct load){ .name = "silent_at_readiness",
                        .listener = GATE_READY,
                        .crowd = { .connections = 400 },
                        .descriptors = FEW_DESCRIPTORS });
}

/* Connections with an unread answer hold all descriptors.  */
Test (clients_gate, unread_connections, .timeout = 60)
{
  play (&(struct load){ .name = "unread_connections",
                        .listener = GATE_CALLERS,
                        .crowd = { .connections = 400, .once = UNKNOWN_PATH },
                        .descriptors = FEW_DESCRIPTORS });
}

/* Connections are opened and closed without end.  */
Test (clients_gate, opened_and_closed, .timeout = 60)
{
  play (&(struct load){ .name = "opened_and_closed",
                        .listener = GATE_CALLERS,
                        .crowd = { .connections = 100,
                                   .once = UNKNOWN_PATH,
                                   .opened_max = 20000,
                                   .reopen = true },
                        .descriptors = FEW_DESCRIPTORS });
}

/* All connections are held by callers that have their next requests sent
   ahead, so that each always has one in progress.  */
Test (clients_gate, busy_connections, .timeout = 60)
{
  play (&(struct load){
      .name = "busy_connections",
      .listener = GATE_CALLERS,
      .crowd = { .connections = 200,
                 .again = "GET /small/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: "
                          "b\r\n\r\n",
                 .read_step_bytes = 65536 },
      .descriptors = FEW_DESCRIPTORS });
}

/* A silent crowd takes the connections of clients that were served and are
   idle for less than the limit.  */
Test (clients_gate, idle_clients_keep_their_connections, .timeout = 60)
{
  struct wy_crowd_options served
      = { .loop = &g.w.loop,
          .connections = IDLE_CLIENTS,
          .once = "GET /small/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: i\r\n\r\n",
          .read_step_bytes = 65536 };
  struct wy_crowd_options silent = { .loop = &g.w.loop, .connections = 400 };
  struct wy_crowd *idle;
  struct wy_crowd *c;

  start (FEW_DESCRIPTORS);
  served.port = g.ports[GATE_CALLERS];
  silent.port = g.ports[GATE_CALLERS];
  idle = wy_crowd_new (&served);
  platform_fixture_run_ms (&g.w, LOAD_MS);
  c = wy_crowd_new (&silent);
  platform_fixture_run_ms (&g.w, LOAD_MS);
  gate_process_check (&g, "idle_clients", MEMORY_MB, DESCRIPTORS);
  cr_expect_eq (wy_crowd_open (idle), IDLE_CLIENTS, "%u",
                wy_crowd_open (idle));
  wy_crowd_free (idle);
  wy_crowd_free (c);
  gate_process_stop (&g);
}
