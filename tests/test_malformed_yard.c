/* Processes that do not run on the platform, whose servers send malformed
   responses: they must live, and take nothing from them.  */
#include <criterion/criterion.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "ctl/ctl.h"
#include "standin/scripted.h"
#include "support/platform_fixture.h"
#include "support/proc.h"

enum
{
  /* Between those of the responses that wyctl gets.  */
  STEP = 4
};

static struct platform_fixture w;
static struct wy_scripted *bad;
static struct wy_proc process;

static void
start_server (void)
{
  struct wy_scripted_options o
      = { .loop = &w.loop, .response = wy_malformed_responses[0] };

  platform_fixture_init (&w);
  bad = wy_scripted_new (&o);
  cr_assert_not_null (bad);
}

static bool
is_asked (void *before)
{
  return bad->answered > *(uint32_t *)before
         || waitpid (process.pid, NULL, WNOHANG) != 0;
}

static void
await_call (const char *name)
{
  uint32_t before = bad->answered;

  cr_assert (platform_fixture_run_until (&w, is_asked, &before),
             "%s: not asked", name);
  cr_assert_eq (waitpid (process.pid, NULL, WNOHANG), 0,
                "%s: the process has ended", name);
}

/* Send the malformed responses, one to each call of the process.  Returns its
   metrics; the caller frees them.  */
static char *
play (void)
{
  char *metrics;
  int status;

  for (size_t i = 0; i < wy_n_malformed_responses; i++)
    {
      bad->o.response = wy_malformed_responses[i];
      bad->o.bytewise = i % 2;
      await_call (wy_malformed_responses[i].name);
    }
  await_call ("after the last");
  metrics = wy_fetch_text (wy_proc_port (&process, "http"), "GET", "/metrics",
                           "", NULL, &status);
  cr_assert_eq (status, 200, "%d", status);
  return metrics;
}

static void
stop (void)
{
  wy_proc_kill (&process, SIGKILL);
  wy_proc_wait (&process);
  wy_scripted_free (bad);
  platform_fixture_free (&w);
}

/* Guards against an agent that ends, or takes its target for up, when the
   engine sends such responses.  */
Test (malformed_yard, agent, .timeout = 60)
{
  char *settings;
  char *metrics;

  start_server ();
  settings = g_strdup_printf ("name: model-0\navailability_zone: z0\n"
                              "key_1: 1:k\ntarget_kind: model\n"
                              "target_name: m\ntarget_port: %u\n"
                              "target_poll_ms: 20\nlog_level: error\n",
                              bad->port);
  cr_assert_eq (wy_proc_start (&process, "wyagentd", NULL, settings), 0);
  metrics = play ();
  cr_expect (strstr (metrics, "\nwy_agent_target_up 0\n"), "%s", metrics);
  cr_expect (!strstr (metrics, "wy_agent_malformed_responses_total 0\n"), "%s",
             metrics);
  g_free (metrics);
  g_free (settings);
  stop ();
}

/* The same for an entry, when the instance list and the store do.  */
Test (malformed_yard, entry, .timeout = 60)
{
  char *settings;
  char *metrics;

  start_server ();
  settings = g_strdup_printf (
      "name: entry-0\navailability_zone: z0\nkey_1: 1:k\n"
      "table: 127.0.0.1:%u\nobjects: 127.0.0.1:%u\nlist: 127.0.0.1:%u\n"
      "list_poll_ms: 50\noperator_token: op\nlog_level: error\n",
      bad->port, bad->port, bad->port);
  cr_assert_eq (wy_proc_start (&process, "wyentryd", NULL, settings), 0);
  metrics = play ();
  cr_expect (strstr (metrics, "\nwy_targets_connected 0\n"), "%s", metrics);
  cr_expect (!strstr (metrics, "\nwy_malformed_responses_total 0\n"), "%s",
             metrics);
  cr_expect (!strstr (metrics, "wy_store_malformed_responses_total 0\n"), "%s",
             metrics);
  g_free (metrics);
  g_free (settings);
  stop ();
}

static int exit_status;

static bool
has_exited (void *ctx)
{
  return waitpid (*(GPid *)ctx, &exit_status, WNOHANG) != 0;
}

/* Guards against a wyctl that prints such a response of an entry.  */
Test (malformed_yard, ctl, .timeout = 60)
{
  const char *bin = g_getenv ("WY_BIN");
  char *program = g_build_filename (bin ? bin : "build/bin", "wyctl", NULL);
  char *entry;

  start_server ();
  entry = g_strdup_printf ("127.0.0.1:%u", bad->port);
  for (size_t i = 0; i < wy_n_malformed_responses; i += STEP)
    {
      GPid pid;
      int out;
      char printed[256] = "";

      bad->o.response = wy_malformed_responses[i];
      bad->o.bytewise = i / STEP % 2;
      cr_assert (g_spawn_async_with_pipes (
          NULL,
          (char *[]){ program, "--entry", entry, "--token", "op", "status",
                      NULL },
          NULL, G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDERR_TO_DEV_NULL,
          wy_end_with_parent, NULL, &pid, NULL, &out, NULL, NULL));
      cr_assert (platform_fixture_run_until (&w, has_exited, &pid), "%s",
                 bad->o.response.name);
      cr_expect (WIFEXITED (exit_status), "%s: ended by a signal",
                 bad->o.response.name);
      cr_expect_eq (WEXITSTATUS (exit_status), WY_CTL_UNREACHABLE, "%s: %d",
                    bad->o.response.name, WEXITSTATUS (exit_status));
      cr_expect_eq (read (out, printed, sizeof printed - 1), 0, "%s: %s",
                    bad->o.response.name, printed);
      close (out);
    }
  cr_expect_gt (bad->answered, 0);
  wy_scripted_free (bad);
  platform_fixture_free (&w);
  g_free (entry);
  g_free (program);
}
