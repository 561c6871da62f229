/* Clients that don't behave at the metrics address of a wyorderd process: its
   resident size and descriptors must stay below a bound, and the metrics must
   be answered while the crowd's connections are open.  */
#include <criterion/criterion.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include "standin/crowd.h"
#include "support/gate_process.h"
#include "support/ports.h"
#include "support/proc.h"

enum
{
  /* Of the machine of an orderer.  */
  MEMORY_MB = 192,
  DESCRIPTORS = 256,
  TRIES = 100,
  TRY_MS = 100,
  LOAD_MS = 3000,
  SENT_MAX_BYTES = 6 << 20, /* a connection */
  HEAD_BYTES = 7000
};

static struct platform_fixture w;
static GPid orderer;
static uint16_t port;
static char *dir;

static void
start (void)
{
  const char *bin = g_getenv ("WY_BIN");
  char *program = g_build_filename (bin ? bin : "build/bin", "wyorderd", NULL);
  char *path;
  char *settings;
  uint32_t descriptors = DESCRIPTORS;

  platform_fixture_init (&w);
  port = wy_test_port ();
  dir = g_dir_make_tmp ("wy-orderer-XXXXXX", NULL);
  path = g_build_filename (dir, "orderer.yaml", NULL);
  settings = g_strdup_printf (
      "name: o\ntarget_address: 127.0.0.1:%u\nservice: svc\n"
      "metrics_address: 127.0.0.1:%u\nstore_address: 127.0.0.1:%u\n"
      "seeds: []\n",
      wy_test_port (), port, wy_platform_store_port (w.store));
  cr_assert (g_file_set_contents (path, settings, -1, NULL));
  cr_assert (
      g_spawn_async (NULL, (char *[]){ program, "--config", path, NULL }, NULL,
                     G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDOUT_TO_DEV_NULL,
                     process_limit_descriptors, &descriptors, &orderer, NULL));
  g_free (settings);
  g_free (path);
  g_free (program);
}

static void
await_metrics (void)
{
  struct wy_h1_header host = { "Host", "h" };

  for (int i = 0; i < TRIES; i++)
    {
      struct platform_response *a = platform_fixture_call (
          &w, port, "GET", "/metrics", &host, 1, NULL);
      bool answered
          = platform_fixture_run_until (&w, platform_response_done, a)
            && !a->err && a->status == 200;

      platform_response_free (a);
      if (answered)
        return;
      platform_fixture_run_ms (&w, TRY_MS);
    }
  cr_assert_fail ("no metrics");
}

static void
play (const char *load, struct wy_crowd_options o)
{
  struct wy_crowd *c;
  char *path;
  int64_t kb;

  start ();
  await_metrics ();
  o.loop = &w.loop;
  o.port = port;
  if (!o.sent_max_bytes)
    o.sent_max_bytes = SENT_MAX_BYTES;
  c = wy_crowd_new (&o);
  platform_fixture_run_ms (&w, LOAD_MS);
  wy_crowd_stop_sending (c);
  cr_assert_eq (waitpid (orderer, NULL, WNOHANG), 0, "%s: has ended", load);
  await_metrics ();
  kb = process_resident_peak_kb (orderer);
  fprintf (stderr, "%s: resident peak %lld kB, %u descriptors\n", load,
           (long long)kb, process_descriptors (orderer));
#ifndef __SANITIZE_ADDRESS__ /* which multiplies the resident size */
  cr_expect_leq (kb, MEMORY_MB * 1024 / 2, "%s", load);
#endif
  cr_expect_lt (process_descriptors (orderer), DESCRIPTORS, "%s", load);
  wy_crowd_free (c);
  kill (orderer, SIGKILL);
  waitpid (orderer, NULL, 0);
  path = g_build_filename (dir, "orderer.yaml", NULL);
  unlink (path);
  rmdir (dir);
  g_free (path);
  g_free (dir);
  platform_fixture_free (&w);
}

/* The metrics are asked for without end, and not read.  */
Test (clients_orderer, metrics_unread, .timeout = 60)
{
  play ("metrics_unread",
        (struct wy_crowd_options){
            .connections = 100,
            .again = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n",
            .sent_max_bytes = 20000 });
}

/* Silent connections hold all descriptors.  */
Test (clients_orderer, silent_connections, .timeout = 60)
{
  play ("silent_connections", (struct wy_crowd_options){ .connections = 400 });
}

/* Heads that never end.  */
Test (clients_orderer, unfinished_heads, .timeout = 60)
{
  GString *text = g_string_new ("GET / HTTP/1.1\r\n");

  while (text->len < HEAD_BYTES)
    g_string_append (text, "a:\r\n");
  play ("unfinished_heads",
        (struct wy_crowd_options){ .connections = 400, .once = text->str });
  g_string_free (text, TRUE);
}
