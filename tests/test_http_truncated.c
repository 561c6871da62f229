/* Responses that end before they are complete.  */
#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "http/error.h"
#include "support/proc.h"

#define CHUNKED "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"

struct response
{
  const char *head;
  const char *rest; /* sent after the client has had time to read the head */
  int status;
  size_t size_bytes;
};

struct server
{
  int fd;
  const struct response *response;
};

/* Accept one connection, send the response in two parts and close it.  */
static gpointer
serve (gpointer p)
{
  const struct server *s = p;
  char request[1024];
  int c = accept (s->fd, NULL, NULL);

  cr_assert_gt (read (c, request, sizeof request), 0);
  cr_assert_gt (write (c, s->response->head, strlen (s->response->head)), 0);
  wy_sleep_ms (20);
  cr_assert_geq (write (c, s->response->rest, strlen (s->response->rest)), 0);
  close (c);
  return NULL;
}

static uint16_t
listen_any (int *fd)
{
  struct sockaddr_in a = { .sin_family = AF_INET };
  socklen_t n = sizeof a;

  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  *fd = socket (AF_INET, SOCK_STREAM, 0);
  cr_assert_eq (bind (*fd, (struct sockaddr *)&a, sizeof a), 0);
  cr_assert_eq (listen (*fd, 1), 0);
  cr_assert_eq (getsockname (*fd, (struct sockaddr *)&a, &n), 0);
  return ntohs (a.sin_port);
}

/* A target crashes while it sends a response, and the connection closes inside
   a chunk, between two chunks or before content-length bytes.  A client that
   took this for the end would pass on a partial response as complete.  */
Test (http_truncated, truncated_responses_are_errors)
{
  static const struct response responses[] = {
    { CHUNKED, "3\r\nabc\r\n0\r\n\r\n", 200, 3 },
    { CHUNKED "3\r\nabc\r\n0\r\n\r\n", "", 200, 3 },
    { CHUNKED "3\r\nabc\r\n", "0\r\n\r\n", 200, 3 },
    { CHUNKED "3\r\nabc\r\n", "", WY_HTTP_EINCOMPLETE, 3 },
    { CHUNKED "3\r\nabc\r\n", "3\r\nde", WY_HTTP_EINCOMPLETE, 5 },
    { CHUNKED, "", WY_HTTP_EINCOMPLETE, 0 },
    { "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabc", "de", 200, 5 },
    { "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabc", "",
      WY_HTTP_EINCOMPLETE, 3 },
    { "HTTP/1.1 200 OK\r\ncont", "", WY_HTTP_EINCOMPLETE, 0 },
  };

  for (size_t i = 0; i < sizeof responses / sizeof *responses; i++)
    {
      struct server s = { .response = &responses[i] };
      uint16_t port = listen_any (&s.fd);
      GThread *t = g_thread_new ("server", serve, &s);
      size_t n;
      int status;

      g_free (wy_fetch_bytes (port, "/", &n, &status));
      g_thread_join (t);
      cr_expect_eq (status, responses[i].status, "case %zu: %d", i, status);
      cr_expect_eq (n, responses[i].size_bytes, "case %zu: %zu", i, n);
      close (s.fd);
    }
}
