/* A client that keeps its connection open: it asks for one stream, pauses, and
   asks for another one on the same connection, unless the response said that the
   connection closes or the connection has been closed meanwhile.

   Usage: stream-client RECORD PORT HOST TARGET ID AT_MS LIMIT_MS
   The second request is sent when the time of day is AT_MS, in ms.  Exits with 0
   if its answer was complete or a refusal, or it could not be sent here; with 1
   if the connection ended before; with 2 if the first one failed.  */
#include "common.h"

#include <sys/time.h>

static int64_t
time_of_day_ms (void)
{
  struct timeval t;

  gettimeofday (&t, NULL);
  return (int64_t)t.tv_sec * 1000 + t.tv_usec / 1000;
}

/* Send the request ID and read its answer.  Returns its status, 0 if the
   connection ended before the answer was complete.  *KEEP: whether the
   connection stays open.  */
static int
stream (int fd, char **argv, const char *id, bool *keep)
{
  char *buf = malloc (HEAD_MAX + 1);
  char text[64];
  char request[2048];
  size_t used = 0;
  size_t head_n;
  size_t total = 0;
  int64_t started = now_ms ();
  int status = 0;
  int events = 0;
  int n;
  char tail[8] = "";

  n = snprintf (request, sizeof request,
                "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n"
                "Deadline-Milliseconds: %s\r\nModel: m0\r\n"
                "Token-Counts: 1016,200\r\nPrompt-Prefix: 9c2e41:1000,5d07b8:"
                "16\r\nContent-Length: 0\r\n\r\n",
                argv[4], argv[3], id, argv[7]);
  if (!write_all (fd, request, (size_t)n))
    return -1;
  record ("client %s sent its whole request to port %s", id, argv[2]);
  head_n = read_head (fd, buf, &used);
  if (!head_n)
    {
      record ("client %s: the connection ended after %lld ms with no answer",
              id, (long long)(now_ms () - started));
      free (buf);
      return 0;
    }
  sscanf (buf, "HTTP/1.1 %d", &status);
  *keep = !field (buf, "Connection", text, sizeof text)
          || strcasecmp (text, "close") != 0;
  if (field (buf, "Content-Length", text, sizeof text))
    {
      record ("client %s was answered %d after %lld ms", id, status,
              (long long)(now_ms () - started));
      free (buf);
      *keep = false;
      return status;
    }
  memmove (buf, buf + head_n, used - head_n);
  used -= head_n;
  for (;;)
    {
      ssize_t k;

      for (size_t i = 0; i + 3 < used; i++)
        events += !memcmp (buf + i, "id: ", 4);
      if (used)
        {
          size_t m = used < 7 ? used : 7;

          memmove (tail, tail + m, 7 - m);
          memcpy (tail + 7 - m, buf + used - m, m);
          total += used;
        }
      if (!memcmp (tail, "\r\n0\r\n\r\n", 7))
        break;
      k = recv (fd, buf, HEAD_MAX, 0);
      if (k < 0 && errno == EINTR)
        {
          used = 0;
          continue;
        }
      if (k <= 0)
        {
          record ("client %s: the connection ended after %lld ms, after %d "
                  "events (%s)",
                  id, (long long)(now_ms () - started), events,
                  k ? strerror (errno) : "end of the stream");
          free (buf);
          return 0;
        }
      used = (size_t)k;
    }
  record ("client %s has the whole answer after %lld ms: status=%d events=%d "
          "close=%d",
          id, (long long)(now_ms () - started), status, events, !*keep);
  free (buf);
  return status;
}

int
main (int argc, char **argv)
{
  char id[128];
  char c;
  bool keep = true;
  int status;
  int fd;

  if (argc != 8)
    return 2;
  record_open (argv[1]);
  fd = connect_to (atoi (argv[2]), 0, 0);
  if (fd < 0)
    return 2;
  snprintf (id, sizeof id, "%s-1", argv[5]);
  if (stream (fd, argv, id, &keep) != 200 || !keep)
    return 2;
  sleep_ms (atoll (argv[6]) - time_of_day_ms ());
  snprintf (id, sizeof id, "%s-2", argv[5]);
  if (recv (fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) == 0)
    {
      record ("client %s finds its connection closed and goes elsewhere", id);
      return 0;
    }
  status = stream (fd, argv, id, &keep);
  return status != 0 ? 0 : 1;
}
