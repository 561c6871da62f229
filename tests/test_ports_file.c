/* The file to which a program writes its ports.  */
#include <criterion/criterion.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "support/proc.h"

enum
{
  LIMIT_MS = 20000,
  POLL_MS = 10
};

static const char before[] = "http 1\n";

struct program
{
  const char *name;
  const char *kind; /* NULL: none */
  const char *settings;
};

static const struct program programs[] = {
  { "wyentryd", NULL,
    "name: e\navailability_zone: z\nkey_1: 1:k\ntable: 127.0.0.1:1\n"
    "objects: 127.0.0.1:1\nlist: 127.0.0.1:1\nlog_level: error\n" },
  { "wyagentd", NULL,
    "name: a\navailability_zone: z\nkey_1: 1:k\ntarget_kind: service\n"
    "target_name: s\ntarget_port: 1\nlog_level: error\n" },
  { "wystandin", "list", "name: l\n" },
};

static char *
read_file (const char *path)
{
  char *text = NULL;

  cr_assert (g_file_get_contents (path, &text, NULL, NULL), "%s", path);
  return text;
}

static pid_t
launch (const struct program *p, const char *settings)
{
  const char *dir = g_getenv ("WY_BIN");
  char *path = g_build_filename (dir ? dir : "build/bin", p->name, NULL);
  const char *argv[5] = { path };
  int n = 1;
  GPid pid;

  if (p->kind)
    argv[n++] = p->kind;
  argv[n++] = "--config";
  argv[n++] = settings;
  cr_assert (g_spawn_async (NULL, (char **)argv, NULL,
                            G_SPAWN_DO_NOT_REAP_CHILD, wy_end_with_parent,
                            NULL, &pid, NULL));
  g_free (path);
  return pid;
}

/* Processes that wait for a program read its ports as soon as the file exists
   or has changed.  If the file were truncated and then written, a reader in
   between would find no port and connect to port 0.  So a new file must
   replace the old one by a rename, and the old one stay unchanged.  */
Test (ports_file, replaced_atomically)
{
  for (size_t i = 0; i < G_N_ELEMENTS (programs); i++)
    {
      char *dir = g_dir_make_tmp ("wy-ports-XXXXXX", NULL);
      char *ports = g_build_filename (dir, "ports", NULL);
      char *old = g_build_filename (dir, "old", NULL);
      char *settings = g_build_filename (dir, "settings.yaml", NULL);
      char *text = g_strdup_printf ("%sports_file: %s\n", programs[i].settings,
                                    ports);
      char *current = NULL;
      pid_t pid;

      g_file_set_contents (settings, text, -1, NULL);
      g_file_set_contents (ports, before, -1, NULL);
      cr_assert_eq (link (ports, old), 0);
      pid = launch (&programs[i], settings);
      for (int ms = 0;
           ms < LIMIT_MS && (!current || !strcmp (current, before));
           ms += POLL_MS)
        {
          wy_sleep_ms (POLL_MS);
          g_free (current);
          current = read_file (ports);
        }
      cr_expect_str_neq (current, before, "%s", programs[i].name);
      g_free (current);
      current = read_file (old);
      cr_expect_str_eq (current, before, "%s", programs[i].name);
      g_free (current);
      kill (pid, SIGKILL);
      waitpid (pid, NULL, 0);
      g_unlink (settings);
      g_unlink (old);
      g_unlink (ports);
      g_rmdir (dir);
      g_free (text);
      g_free (settings);
      g_free (old);
      g_free (ports);
      g_free (dir);
    }
}
