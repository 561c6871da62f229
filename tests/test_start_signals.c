/* Signals that reach a program before it has started.  */
#include <criterion/criterion.h>
#include <fcntl.h>
#include <signal.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>

#include "support/ports.h"
#include "support/proc.h"

enum
{
  SETTLE_US = 100000,
  TRIES = 100
};

/* Start the program NAME, whose settings TEXT with the port %u it only gets
   after NUMBER was sent to it.  Returns the status with which it has ended by
   the second signal, SIGTERM.  */
static int
start_with_signal (const char *name, const char *text, int number)
{
  const char *bin = g_getenv ("WY_BIN");
  char *program = g_build_filename (bin ? bin : "build/bin", name, NULL);
  char *dir = g_dir_make_tmp ("wy-signal-XXXXXX", NULL);
  char *path = g_build_filename (dir, "settings.yaml", NULL);
  char *settings = g_strdup_printf (text, wy_test_port (), wy_test_port (),
                                    wy_test_port (), wy_test_port ());
  int status = -1;
  GPid pid;
  int fd;

  cr_assert_eq (mkfifo (path, 0600), 0);
  cr_assert (
      g_spawn_async (NULL, (char *[]){ program, "--config", path, NULL }, NULL,
                     G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDOUT_TO_DEV_NULL,
                     wy_end_with_parent, NULL, &pid, NULL));
  fd = open (path, O_WRONLY);
  cr_assert_geq (fd, 0);
  kill (pid, number);
  g_usleep (SETTLE_US);
  cr_expect_eq (waitpid (pid, &status, WNOHANG), 0, "%s has ended", name);
  cr_assert_eq (write (fd, settings, strlen (settings)),
                (ssize_t)strlen (settings));
  close (fd);
  unlink (path);
  g_usleep (SETTLE_US);
  kill (pid, SIGTERM);
  for (int i = 0; i < TRIES && waitpid (pid, &status, WNOHANG) == 0; i++)
    g_usleep (SETTLE_US);
  rmdir (dir);
  g_free (settings);
  g_free (path);
  g_free (dir);
  g_free (program);
  return status;
}

#define GATE                                                                  \
  "name: g\navailability_zone: z\ncallers_address: 127.0.0.1:%u\n"            \
  "ready_address: 127.0.0.1:%u\npeers_address: 127.0.0.1:%u\n"                \
  "metrics_address: 127.0.0.1:%u\nstore_address: 127.0.0.1:1\n"               \
  "seeds: []\nduties: []\nmemory_mb: 120\ngrace_s: 4\n"
#define ORDERER                                                               \
  "name: o\ntarget_address: 127.0.0.1:%u\nservice: s\n"                       \
  "metrics_address: 127.0.0.1:%u\nstore_address: 127.0.0.1:1\nseeds: []\n"

static void
expect_normal_end (int status)
{
  cr_expect (WIFEXITED (status) && WEXITSTATUS (status) == 0, "status %d",
             status);
}

/* Guards against a gate that a request to reload its settings ends, since it
   comes while the gate starts.  */
Test (start_signals, gate_sighup, .timeout = 30)
{
  expect_normal_end (start_with_signal ("wygated", GATE, SIGHUP));
}

/* Guards against a stop that counts as a failure since it comes while the
   gate starts.  */
Test (start_signals, gate_sigterm, .timeout = 30)
{
  expect_normal_end (start_with_signal ("wygated", GATE, SIGTERM));
}

/* The same as gate_sighup, for the orderer.  */
Test (start_signals, orderer_sighup, .timeout = 30)
{
  expect_normal_end (start_with_signal ("wyorderd", ORDERER, SIGHUP));
}
