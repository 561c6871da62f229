/* Programs whose address is in use.  */
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>

struct program
{
  const char *name;
  const char *kind;     /* NULL: none */
  const char *settings; /* %d is a port that is in use */
};

static const struct program programs[] = {
  { "wygated", NULL,
    "name: g\navailability_zone: z\ncallers_address: 127.0.0.1:%d\n"
    "ready_address: 127.0.0.1:1\npeers_address: 127.0.0.1:1\n"
    "store_address: 127.0.0.1:1\n" },
  { "wyorderd", NULL,
    "name: o\ntarget_address: 127.0.0.1:1\nservice: s\n"
    "store_address: 127.0.0.1:1\nmetrics_address: 127.0.0.1:%d\n" },
  { "wyentryd", NULL,
    "name: e\navailability_zone: z\nkey_1: 1:k\ntable: 127.0.0.1:1\n"
    "objects: 127.0.0.1:1\nlist: 127.0.0.1:1\nport: %d\n" },
  { "wyagentd", NULL,
    "name: a\navailability_zone: z\nkey_1: 1:k\ntarget_kind: service\n"
    "target_name: s\ntarget_port: 1\nhttp_port: %d\n" },
  { "wystandin", "list", "name: l\nport: %d\n" },
  { "wystandin", "proxy",
    "name: p\nlinks: [\"%d=127.0.0.1:1\"]\nports_file: /dev/null\n" },
};

static int
listen_on_any (uint16_t *port)
{
  struct sockaddr_in a
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t n = sizeof a;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  cr_assert_eq (bind (fd, (const struct sockaddr *)&a, sizeof a), 0);
  cr_assert_eq (listen (fd, 1), 0);
  cr_assert_eq (getsockname (fd, (struct sockaddr *)&a, &n), 0);
  *port = ntohs (a.sin_port);
  return fd;
}

/* Run P with settings that name PORT; returns its output, and its exit status
   in STATUS.  */
static char *
run (const struct program *p, uint16_t port, int *status)
{
  const char *bin = g_getenv ("WY_BIN");
  char *program = g_build_filename (bin ? bin : "build/bin", p->name, NULL);
  char *number = g_strdup_printf ("%d", port);
  char **parts = g_strsplit (p->settings, "%d", 2);
  char *text = g_strjoinv (number, parts);
  char *path = NULL;
  int fd = g_file_open_tmp ("wy-start-XXXXXX.yaml", &path, NULL);
  char *command;
  char *out = NULL;

  close (fd);
  cr_assert (g_file_set_contents (path, text, -1, NULL));
  command = g_strdup_printf ("%s %s --config %s 2>&1", program,
                             p->kind ? p->kind : "", path);
  cr_assert (g_spawn_sync (NULL, (char *[]){ "/bin/sh", "-c", command, NULL },
                           NULL, 0, NULL, NULL, &out, NULL, status, NULL));
  g_unlink (path);
  g_free (command);
  g_free (path);
  g_free (text);
  g_strfreev (parts);
  g_free (number);
  g_free (program);
  return out;
}

/* A program can't listen on its port.  Guards against an error that names
   neither the address nor the reason.  */
Test (start_errors, address_in_use)
{
  for (size_t i = 0; i < G_N_ELEMENTS (programs); i++)
    {
      uint16_t port;
      int fd = listen_on_any (&port);
      char *number = g_strdup_printf ("%d", port);
      int status = 0;
      char *out = run (&programs[i], port, &status);

      cr_expect_neq (status, 0, "%s", programs[i].name);
      cr_expect (strstr (out, "address already in use")
                     && strstr (out, number),
                 "%s %s: %s", programs[i].name,
                 programs[i].kind ? programs[i].kind : "", out);
      g_free (out);
      g_free (number);
      close (fd);
    }
}
