/* A client that sends one request and reads the answer slowly but steadily.

   Usage: slow-reader RECORD PORT HOST METHOD TARGET ID LIMIT_MS
            BYTES_PER_100_MS
   Exits with 0 if the answer was complete within the time limit, 1 if the
   connection ended before, 3 if the time limit was reached, 2 if there was no
   answer at all.  */
#include "common.h"

enum
{
  /* As on an Ethernet link with a small window; the loopback interface takes
     segments of 64 KB, and its kernel would hold megabytes.  */
  SEGMENT_BYTES = 1460,
  RECEIVE_BUFFER_BYTES = 4096
};

int
main (int argc, char **argv)
{
  char request[2048];
  char *buf = malloc (HEAD_MAX + 1);
  char text[64];
  size_t used = 0;
  size_t total;
  size_t have;
  size_t step;
  int64_t started;
  int64_t limit;
  int status = 0;
  int fd;
  int n;

  if (argc != 9)
    return 2;
  record_open (argv[1]);
  limit = atoll (argv[7]);
  step = strtoul (argv[8], NULL, 10);
  fd = connect_to (atoi (argv[2]), SEGMENT_BYTES, RECEIVE_BUFFER_BYTES);
  if (fd < 0)
    {
      record ("client %s got no connection", argv[6]);
      return 2;
    }
  n = snprintf (request, sizeof request,
                "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n"
                "Wait-Milliseconds: 1000\r\n%s\r\n",
                argv[4], argv[5], argv[3], argv[6],
                strcmp (argv[4], "GET") ? "Content-Length: 0\r\n" : "");
  started = now_ms ();
  write_all (fd, request, (size_t)n);
  record ("client %s sent its whole request to port %s, limit_ms=%lld",
          argv[6], argv[2], (long long)limit);
  n = (int)read_head (fd, buf, &used);
  if (!n)
    {
      record ("client %s got no answer", argv[6]);
      return 2;
    }
  sscanf (buf, "HTTP/1.1 %d", &status);
  field (buf, "Content-Length", text, sizeof text);
  total = strtoul (text, NULL, 10);
  have = used - (size_t)n;
  record ("client %s has the head after %lld ms: status=%d length=%zu",
          argv[6], (long long)(now_ms () - started), status, total);
  while (have < total)
    {
      size_t want = total - have < step ? total - have : step;
      char *piece = malloc (want);
      ssize_t k;

      if (now_ms () - started > limit)
        {
          record ("client %s reached its time limit with %zu of %zu bytes",
                  argv[6], have, total);
          return 3;
        }
      k = recv (fd, piece, want, 0);
      if (k < 0 && errno == EINTR)
        k = 0;
      else if (k <= 0)
        {
          record ("client %s: the connection ended after %lld ms with %zu of "
                  "%zu bytes (%s)",
                  argv[6], (long long)(now_ms () - started), have, total,
                  k ? strerror (errno) : "end of the stream");
          return 1;
        }
      free (piece);
      have += (size_t)k;
      sleep_ms ((int64_t)(100 * (size_t)k / step));
    }
  record ("client %s has the whole answer after %lld ms: status=%d bytes=%zu",
          argv[6], (long long)(now_ms () - started), status, have);
  return status == 200 ? 0 : 2;
}
