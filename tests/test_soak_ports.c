/* The ports that scripts/platform.sh gives to the processes of a run.  */
#include <criterion/criterion.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  PORTS = 22,
  SEED = 299,
  BLOCK_PORTS = 40,
  FIRST_PORT = 16000 + SEED * BLOCK_PORTS
};

static char *locks;

static void
start (void)
{
  locks = g_dir_make_tmp ("wy-ports-XXXXXX", NULL);
  g_setenv ("TMPDIR", locks, TRUE);
}

/* Run SCRIPT after the functions are defined; the ports that it prints are
   added to SEEN.  Returns whether they are PORTS new ones per RUN.  */
static bool
prints_distinct_ports (const char *script, guint runs)
{
  char *text = g_strconcat ("set -u; BIN=; OUT=; . scripts/platform.sh; ",
                            script, NULL);
  char *argv[] = { "bash", "-c", text, NULL };
  char *out = NULL;
  int status = 1;
  GHashTable *seen = g_hash_table_new (g_direct_hash, g_direct_equal);
  char **words;
  guint n = 0;

  cr_assert (g_spawn_sync (NULL, argv, NULL, G_SPAWN_SEARCH_PATH, NULL, NULL,
                           &out, NULL, &status, NULL));
  words = g_strsplit_set (out, " \n", -1);
  for (char **w = words; *w; w++)
    if (**w)
      {
        n++;
        g_hash_table_add (seen, GINT_TO_POINTER (atoi (*w)));
      }
  g_strfreev (words);
  g_free (out);
  g_free (text);
  return status == 0 && n == PORTS * runs && g_hash_table_size (seen) == n;
}

static int
listen_on (uint16_t port)
{
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_port = htons (port),
                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  cr_assert_eq (bind (fd, (const struct sockaddr *)&a, sizeof a), 0);
  cr_assert_eq (listen (fd, 1), 0);
  return fd;
}

/* Another process listens on ports of the run.  Guards against a port that is
   given to two processes, so that one of them can't start.  */
Test (soak_ports, occupied_ports, .init = start)
{
  int fd[PORTS];

  for (int i = 0; i < PORTS; i++)
    fd[i] = listen_on ((uint16_t)(FIRST_PORT + i));
  cr_expect (
      prints_distinct_ports ("reserve_ports 22 299; echo \"${PORT[@]}\"", 1));
  for (int i = 0; i < PORTS; i++)
    close (fd[i]);
}

/* Two runs with one seed, or with neighbouring seeds, at the same time. Guards
   against ports that are found free by both before either listens.  */
Test (soak_ports, concurrent_runs, .init = start)
{
  cr_expect (prints_distinct_ports (
      "(reserve_ports 22 7; echo \"${PORT[@]}\"; exec sleep 2) & sleep .5;"
      "(reserve_ports 22 7; echo \"${PORT[@]}\"; exec sleep 1) &"
      "(reserve_ports 22 8; echo \"${PORT[@]}\"; exec sleep 1) & wait",
      3));
}
