/* Clients that don't behave, on the daemons that do not run on the platform: a
   wyentryd process with a memory of 120 MB, whose resident size must stay
   below half of it, and a wyagentd process.  A request must be answered while
   the crowd's connections are open.  */
#include <criterion/criterion.h>
#include <string.h>
#include <sys/resource.h>

#include "standin/crowd.h"
#include "support/deployment.h"
#include "support/gate_process.h"

enum
{
  MEMORY_MB = 120,
  DESCRIPTORS = 4096,
  FEW_DESCRIPTORS = 256,
  TRIES = 100,
  TRY_MS = 100,
  LOAD_MS = 3000,
  SENT_MAX_BYTES = 6 << 20, /* a connection */
  UPLOAD_BYTES = 200000,
  HEAD_BYTES = 13000,
  /* An agent may take what its metrics and health checks take.  */
  AGENT_MEMORY_MB = 60
};

static struct test_deployment y;
static uv_loop_t loop;

/* Limit the descriptors of the programs that the test starts.  */
static void
start (uint32_t descriptors)
{
  struct rlimit all;
  struct rlimit few;

  cr_assert_eq (getrlimit (RLIMIT_NOFILE, &all), 0);
  few = (struct rlimit){ descriptors, all.rlim_max };
  cr_assert_eq (setrlimit (RLIMIT_NOFILE, &few), 0);
  uv_loop_init (&loop);
  deployment_start_with (&y, "memory_mb: 120\nrequest_timeout_ms: 120000\n");
  cr_assert_eq (setrlimit (RLIMIT_NOFILE, &all), 0);
}

static void
on_load_over (uv_timer_t *t)
{
  uv_stop (t->loop);
}

static struct wy_crowd *
run_crowd (struct wy_crowd_options o, uint16_t port)
{
  uv_timer_t timer;
  struct wy_crowd *c;

  o.loop = &loop;
  o.port = port;
  if (!o.sent_max_bytes)
    o.sent_max_bytes = SENT_MAX_BYTES;
  c = wy_crowd_new (&o);
  uv_timer_init (&loop, &timer);
  uv_timer_start (&timer, on_load_over, LOAD_MS, 0);
  uv_run (&loop, UV_RUN_DEFAULT);
  uv_close ((uv_handle_t *)&timer, NULL);
  uv_run (&loop, UV_RUN_NOWAIT);
  wy_crowd_stop_sending (c);
  return c;
}

/* Complete a prompt, as a caller that honours rejections does.  */
static int
complete (void)
{
  int status = 0;

  for (int i = 0; i < TRIES && status != 200; i++)
    {
      if (i)
        wy_sleep_ms (TRY_MS);
      g_free (deployment_post (
          &y, 0, "/v1/completions",
          "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":4}", NULL,
          &status));
    }
  return status;
}

static void
check (const char *load, int program, uint32_t memory_kb)
{
  pid_t pid = y.proc[program].pid;
  int64_t kb;

  cr_expect_eq (complete (), 200, "%s", load);
  kb = process_resident_peak_kb (pid);
  fprintf (stderr, "%s: resident peak %lld kB, %u descriptors\n", load,
           (long long)kb, process_descriptors (pid));
#ifndef __SANITIZE_ADDRESS__ /* which multiplies the resident size */
  cr_expect_leq (kb, memory_kb, "%s", load);
#endif
  cr_expect_lt (process_descriptors (pid), DESCRIPTORS, "%s", load);
}

static void
stop (struct wy_crowd *c)
{
  wy_crowd_free (c);
  uv_run (&loop, UV_RUN_NOWAIT);
  deployment_stop_and_check (&y);
}

static void
play (const char *load, struct wy_crowd_options o, uint32_t descriptors)
{
  struct wy_crowd *c;

  start (descriptors);
  c = run_crowd (o, y.entry[0]);
  check (load, DEPLOYMENT_ENTRY, MEMORY_MB * 1024 / 2);
  stop (c);
}

/* Requests are taken without end while their answers are unread.  */
Test (clients_entry, unknown_path_unread, .timeout = 90)
{
  play ("unknown_path_unread",
        (struct wy_crowd_options){ .connections = 20,
                                   .again
                                   = "GET /none HTTP/1.1\r\nHost: h\r\n\r\n" },
        DESCRIPTORS);
}

/* Incomplete bodies are held without a bound.  */
Test (clients_entry, unfinished_uploads, .timeout = 90)
{
  char *body = g_strnfill (UPLOAD_BYTES - 1, 'x');
  char *text = g_strdup_printf ("POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
                                "Content-Length: %d\r\n\r\n%s",
                                UPLOAD_BYTES, body);

  play ("unfinished_uploads",
        (struct wy_crowd_options){ .connections = 1000, .once = text },
        DESCRIPTORS);
  g_free (text);
  g_free (body);
}

/* Incomplete heads are held without a bound.  */
Test (clients_entry, unfinished_heads, .timeout = 90)
{
  GString *text = g_string_new ("GET / HTTP/1.1\r\n");

  while (text->len < HEAD_BYTES)
    g_string_append (text, "a:\r\n");
  play ("unfinished_heads",
        (struct wy_crowd_options){ .connections = 3500, .once = text->str },
        DESCRIPTORS);
  g_string_free (text, TRUE);
}

/* Silent connections hold all descriptors.  */
Test (clients_entry, silent_connections, .timeout = 90)
{
  play ("silent_connections", (struct wy_crowd_options){ .connections = 400 },
        FEW_DESCRIPTORS);
}

/* Answers of the metrics are unread.  */
Test (clients_entry, metrics_unread, .timeout = 90)
{
  play ("metrics_unread",
        (struct wy_crowd_options){
            .connections = 1000,
            .again = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n",
            .sent_max_bytes = 4000 },
        DESCRIPTORS);
}

static void
play_agent (const char *load, const char *port, struct wy_crowd_options o)
{
  struct wy_crowd *c;

  start (FEW_DESCRIPTORS);
  c = run_crowd (o, wy_proc_port (&y.proc[DEPLOYMENT_MODEL_AGENT], port));
  check (load, DEPLOYMENT_MODEL_AGENT, AGENT_MEMORY_MB * 1024);
  stop (c);
}

/* The metrics of an agent are asked for without end.  */
Test (clients_entry, agent_metrics_unread, .timeout = 90)
{
  play_agent ("agent_metrics_unread", "http",
              (struct wy_crowd_options){
                  .connections = 100,
                  .again = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n",
                  .sent_max_bytes = 10000 });
}

/* Silent connections to an agent's port for entries.  */
Test (clients_entry, agent_silent_links, .timeout = 90)
{
  play_agent ("agent_silent_links", "inner",
              (struct wy_crowd_options){ .connections = 400 });
}

/* Connections to an agent's port for entries that send what no entry does.  */
Test (clients_entry, agent_links_garbage, .timeout = 90)
{
  play_agent ("agent_links_garbage", "inner",
              (struct wy_crowd_options){ .connections = 100,
                                         .again = "GET / HTTP/1.1\r\n\r\n",
                                         .opened_max = 5000,
                                         .reopen = true });
}
