/* Prints N free loopback ports.  Usage: ports N */
#include "common.h"

int
main (int argc, char **argv)
{
  int n = argc > 1 ? atoi (argv[1]) : 1;
  int fds[256];

  for (int i = 0; i < n && i < 256; i++)
    {
      struct sockaddr_in a = { .sin_family = AF_INET };
      socklen_t len = sizeof a;

      a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      fds[i] = socket (AF_INET, SOCK_STREAM, 0);
      if (bind (fds[i], (struct sockaddr *)&a, sizeof a)
          || getsockname (fds[i], (struct sockaddr *)&a, &len))
        return 2;
      printf ("%d\n", ntohs (a.sin_port));
    }
  return 0;
}
