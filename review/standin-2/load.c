/* Clients that send requests which may run at most once, each on a connection
   that it keeps, and retry as the pages allow: after 429 or 503, on a new
   connection, with a new id.

   Usage: load RECORD HOST TARGET CLIENTS SECONDS PAUSE_MS LIMIT_MS PORT...  */
#include "common.h"

static char **args;
static int n_ports;
static int64_t until_ms;
static int64_t pause_ms;

static bool
call_once (int *fd, int port, const char *id, int *status)
{
  char *buf = malloc (HEAD_MAX + 1);
  struct timeval tv = { atoi (args[7]) / 1000, atoi (args[7]) % 1000 * 1000 };
  char text[64];
  size_t used = 0;
  size_t head_n = 0;
  bool keep = false;
  int n;

  *status = 0;
  if (*fd < 0)
    *fd = connect_to (port, 0, 0);
  if (*fd >= 0)
    {
      setsockopt (*fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof tv);
      n = snprintf (buf, HEAD_MAX,
                    "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n"
                    "Deadline-Milliseconds: %s\r\nContent-Length: 4\r\n\r\n"
                    "body",
                    args[3], args[2], id, args[7]);
      if (write_all (*fd, buf, (size_t)n))
        head_n = read_head (*fd, buf, &used);
    }
  if (head_n)
    {
      size_t total;

      sscanf (buf, "HTTP/1.1 %d", status);
      keep = !(field (buf, "Connection", text, sizeof text)
               && !strcasecmp (text, "close"));
      field (buf, "Content-Length", text, sizeof text);
      total = strtoul (text, NULL, 10) + head_n;
      while (used < total)
        {
          char piece[4096];
          ssize_t k = recv (*fd, piece, sizeof piece, 0);

          if (k <= 0)
            {
              keep = false;
              *status = 0;
              break;
            }
          used += (size_t)k;
        }
    }
  if (!keep && *fd >= 0)
    {
      close (*fd);
      *fd = -1;
    }
  record ("client %s was answered %d", id, *status);
  free (buf);
  return *status == 200;
}

static void *
client_main (void *arg)
{
  int c = (int)(intptr_t)arg;
  int fd = -1;

  for (int k = 0; now_ms () < until_ms; k++)
    {
      char id[64];
      int status;

      snprintf (id, sizeof id, "c%d-%d-1", c, k);
      call_once (&fd, atoi (args[8 + c % n_ports]), id, &status);
      if (status == 503 || status == 429)
        {
          int other = -1;

          sleep_ms (100);
          snprintf (id, sizeof id, "c%d-%d-2", c, k);
          call_once (&other, atoi (args[8 + (c + 1) % n_ports]), id, &status);
          if (other >= 0)
            close (other);
        }
      sleep_ms (pause_ms / 2 + (c * 37 + k * 101) % (pause_ms + 1));
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  pthread_t threads[256];
  int n;

  if (argc < 9)
    return 2;
  signal (SIGPIPE, SIG_IGN);
  record_open (argv[1]);
  args = argv;
  n_ports = argc - 8;
  n = atoi (argv[4]);
  until_ms = now_ms () + atoll (argv[5]) * 1000;
  pause_ms = atoll (argv[6]);
  for (int i = 0; i < n && i < 256; i++)
    pthread_create (&threads[i], NULL, client_main, (void *)(intptr_t)i);
  for (int i = 0; i < n && i < 256; i++)
    pthread_join (threads[i], NULL);
  return 0;
}
