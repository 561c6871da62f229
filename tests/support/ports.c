/* Ports for programs that a test starts.  */
#include "support/ports.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

enum
{
  /* Below those that the system gives to connections, so that they stay free
     until the program has started, and while it starts again.  A test locks a
     block.  */
  PORT_FIRST = 28000,
  PORT_BLOCK = 40,
  PORT_BLOCKS = 100
};

static bool
is_free (uint16_t port)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons (port) };
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool ok;

  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  ok = bind (fd, (const struct sockaddr *)&a, sizeof a) == 0
       && listen (fd, 1) == 0;
  close (fd);
  return ok;
}

/* The first of PORT_BLOCK ports that no other test gets while this process
   lives.  */
static uint16_t
reserve_ports (void)
{
  char *locks = g_build_filename (g_get_tmp_dir (), "waxwing-ports", NULL);
  int first = 0;
  bool locked = false;

  g_mkdir_with_parents (locks, 0700);
  for (int i = 0; i < PORT_BLOCKS && !locked; i++)
    {
      char *path;
      int fd;

      first = PORT_FIRST + (int)(getpid () + i) % PORT_BLOCKS * PORT_BLOCK;
      path = g_strdup_printf ("%s/%d", locks, first);
      fd = open (path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
      locked = fd >= 0 && flock (fd, LOCK_EX | LOCK_NB) == 0;
      if (fd >= 0 && !locked)
        close (fd);
      g_free (path);
    }
  g_free (locks);
  cr_assert (locked, "all blocks of ports are in use");
  return (uint16_t)first;
}

/* The next free port of this process's block, which is used again from its
   beginning at its end.  */
uint16_t
wy_test_port (void)
{
  static uint16_t first;
  static uint16_t next;

  if (!first)
    next = first = reserve_ports ();
  for (int i = 0; i < PORT_BLOCK; i++)
    {
      uint16_t port = next;

      next = next + 1 < first + PORT_BLOCK ? next + 1 : first;
      if (is_free (port))
        return port;
    }
  cr_assert_fail ("no port of the block is free");
  return 0;
}
