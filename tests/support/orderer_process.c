/* A wyorderd process beside a stand-in of the store.  */
#include "support/orderer_process.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include "support/gate_process.h"
#include "support/ports.h"
#include "support/proc.h"

enum
{
  TRIES = 100,
  TRY_MS = 100
};

/* Start the stand-in of the store.  */
void
orderer_process_init (struct orderer_process *p)
{
  platform_fixture_init (&p->w);
}

/* Start the process beside the replica of the service "svc" at TARGET_PORT.
   DESCRIPTORS is the limit of the process; 0: that of the test.  */
void
orderer_process_start (struct orderer_process *p, uint16_t target_port,
                       uint32_t descriptors)
{
  const char *bin = g_getenv ("WY_BIN");
  char *program = g_build_filename (bin ? bin : "build/bin", "wyorderd", NULL);
  char *path;
  char *settings;

  p->metrics_port = wy_test_port ();
  p->dir = g_dir_make_tmp ("wy-orderer-XXXXXX", NULL);
  path = g_build_filename (p->dir, "orderer.yaml", NULL);
  settings = g_strdup_printf (
      "name: o\ntarget_address: 127.0.0.1:%u\nservice: svc\n"
      "metrics_address: 127.0.0.1:%u\nstore_address: 127.0.0.1:%u\n"
      "seeds: []\n",
      target_port, p->metrics_port, wy_platform_store_port (p->w.store));
  cr_assert (g_file_set_contents (path, settings, -1, NULL));
  cr_assert (
      g_spawn_async (NULL, (char *[]){ program, "--config", path, NULL }, NULL,
                     G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDOUT_TO_DEV_NULL,
                     process_limit_descriptors, &descriptors, &p->pid, NULL));
  g_free (settings);
  g_free (path);
  g_free (program);
}

/* Whether the process has not ended.  */
bool
orderer_process_lives (const struct orderer_process *p)
{
  return waitpid (p->pid, NULL, WNOHANG) == 0;
}

/* Ask for the metrics until they are answered.  The caller frees them.  */
char *
orderer_process_await_metrics (struct orderer_process *p)
{
  struct wy_h1_header host = { "Host", "h" };

  for (int i = 0; i < TRIES; i++)
    {
      struct platform_response *a = platform_fixture_call (
          &p->w, p->metrics_port, "GET", "/metrics", &host, 1, NULL);
      bool answered
          = platform_fixture_run_until (&p->w, platform_response_done, a)
            && !a->err && a->status == 200;
      char *text = answered ? g_strdup (a->body->str) : NULL;

      platform_response_free (a);
      if (answered)
        return text;
      platform_fixture_run_ms (&p->w, TRY_MS);
    }
  cr_assert_fail ("no metrics");
  return NULL;
}

/* Kill the process and free what P holds.  */
void
orderer_process_stop (struct orderer_process *p)
{
  char *path = g_build_filename (p->dir, "orderer.yaml", NULL);

  kill (p->pid, SIGKILL);
  waitpid (p->pid, NULL, 0);
  unlink (path);
  rmdir (p->dir);
  g_free (path);
  g_free (p->dir);
  platform_fixture_free (&p->w);
}
