/* HTTP/1.1 server and client: which connections are closed when memory is
   short.  */
#include <criterion/criterion.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/platform_fixture.h"

enum
{
  SHED_BUDGET_BYTES = 800000,
  SHED_RESPONSE_BYTES = 8000000,
  SHED_REQUEST_BYTES = 16000000,
  SLOW_READ_BYTES = 512
};

static struct platform_fixture w;
static struct wy_memory_account memory;
static GString *shed_ids;

static void
on_large_request (void *ctx, struct wy_h1_request *r)
{
  char *body = g_strnfill (SHED_RESPONSE_BYTES, 'x');

  wy_h1_respond (r, 200, NULL, 0, body, SHED_RESPONSE_BYTES);
  g_free (body);
}

static void
on_shed_reader (void *ctx, const struct wy_h1_request *r, size_t unsent_bytes,
                uint32_t silent_ms)
{
  g_string_append (shed_ids, wy_h1_head_get (wy_h1_head (r), "Attempt-Id"));
  cr_expect_geq (silent_ms, WY_H1_SILENT_READER_MS);
}

static int
connect_reader (uint16_t port, const char *id)
{
  struct sockaddr_in a = platform_loopback (port);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int buffer = 4096;
  char *text = g_strdup_printf (
      "GET / HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\n\r\n", id);

  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  cr_assert_eq (connect (fd, (const struct sockaddr *)&a, sizeof a), 0);
  cr_assert_eq (write (fd, text, strlen (text)), (ssize_t)strlen (text));
  g_free (text);
  return fd;
}

/* Read a little, as a slow reader does, until another reader was closed.  */
static bool
read_slowly_until_shed (void *fd)
{
  char bytes[SLOW_READ_BYTES];

  recv (*(int *)fd, bytes, sizeof bytes, MSG_DONTWAIT);
  return memory.sheds > 0;
}

/* Memory is short, and of two readers one takes nothing and the other little.
   The kernel may accept nothing for the slow one for seconds, until a third of
   its buffer is free, yet only the silent one may be closed.  */
Test (h1_memory, only_silent_readers_are_closed)
{
  struct wy_h1_server_options o = { .loop = &w.loop,
                                    .host = "127.0.0.1",
                                    .limits = { 512, 64, 600, 60000, 100 },
                                    .memory = &memory,
                                    .on_request = on_large_request,
                                    .on_shed = on_shed_reader };
  struct wy_h1_server *server;
  int slow;
  int silent;

  platform_fixture_init (&w);
  wy_memory_account_init (&memory, SHED_BUDGET_BYTES);
  shed_ids = g_string_new (NULL);
  cr_assert_eq (wy_h1_server_new (&server, &o), 0);
  slow = connect_reader (wy_h1_server_port (server), "slow");
  silent = connect_reader (wy_h1_server_port (server), "silent");
  cr_assert (platform_fixture_run_until (&w, read_slowly_until_shed, &slow));
  platform_fixture_run_ms (&w, 20);
  cr_expect_str_eq (shed_ids->str, "silent");
  cr_expect_eq (wy_h1_server_connections (server), 1);
  close (slow);
  close (silent);
  platform_fixture_run_ms (&w, 20);
  cr_expect_eq (memory.total_bytes, 0);
  wy_h1_server_free (server);
  platform_fixture_free (&w);
  g_string_free (shed_ids, TRUE);
}

static void
on_shed_call_end (void *ctx, int err)
{
  *(int *)ctx = err;
}

static bool
has_ended (void *err)
{
  return *(int *)err != 0;
}

/* A peer accepts a connection and never reads.  When memory is short, the call
   must end, and not hold its request for as long as its caller waits.  */
Test (h1_memory, call_to_silent_peer_is_ended)
{
  struct sockaddr_in a = platform_loopback (0);
  socklen_t n = sizeof a;
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  char *body = g_strnfill (SHED_REQUEST_BYTES, 'x');
  int err = 0;
  struct wy_h1_client_options o = { .loop = &w.loop,
                                    .connect_timeout_ms = 500,
                                    .idle_timeout_ms = 5000,
                                    .memory = &memory };
  struct wy_h1_call_options call = { .method = "POST",
                                     .target = "/",
                                     .body = body,
                                     .body_size_bytes = SHED_REQUEST_BYTES,
                                     .on_end = on_shed_call_end,
                                     .ctx = &err };
  struct wy_h1_client *client;

  platform_fixture_init (&w);
  wy_memory_account_init (&memory, SHED_BUDGET_BYTES);
  cr_assert_eq (bind (listener, (const struct sockaddr *)&a, sizeof a), 0);
  cr_assert_eq (listen (listener, 1), 0);
  cr_assert_eq (getsockname (listener, (struct sockaddr *)&a, &n), 0);
  client = wy_h1_client_new (&o);
  call.address = a;
  wy_h1_call_start (client, &call);
  cr_assert (platform_fixture_run_until (&w, has_ended, &err));
  cr_expect_eq (err, WY_H1_ERESET);
  cr_expect_eq (memory.sheds, 1);
  platform_fixture_run_ms (&w, 20);
  cr_expect_eq (memory.total_bytes, 0);
  wy_h1_client_close (client);
  platform_fixture_free (&w);
  g_free (body);
  close (listener);
}

/* What an entry still has to do when it stops may ask its client, which is
   closed.  Guards against an entry that ends with a signal then.  */
Test (h1_memory, closed_client_stays_valid)
{
  struct wy_h1_client_options o
      = { .loop = &w.loop, .connect_timeout_ms = 300, .idle_timeout_ms = 300 };
  struct sockaddr_in a = platform_loopback (1);
  struct wy_h1_client *c;

  platform_fixture_init (&w);
  c = wy_h1_client_new (&o);
  wy_h1_client_close (c);
  platform_fixture_run_ms (&w, 20);
  cr_expect_eq (wy_h1_client_idle_count (c, &a), 0);
  platform_fixture_free (&w);
}

static bool
has_no_connection (void *server)
{
  return wy_h1_server_connections (server) == 0;
}

/* A client leaves its response unread for good.  Its connection would be held
   for as long as it likes, though memory is not short.  */
Test (h1_memory, reader_that_takes_nothing_is_closed)
{
  struct wy_h1_server_options o
      = { .loop = &w.loop,
          .host = "127.0.0.1",
          .limits = { 512, 64, 600, 60000, 100 },
          .clients = { .reader_timeout_ms = WY_H1_SILENT_READER_MS },
          .on_request = on_large_request };
  struct wy_h1_server *server;
  int silent;

  platform_fixture_init (&w);
  cr_assert_eq (wy_h1_server_new (&server, &o), 0);
  silent = connect_reader (wy_h1_server_port (server), "silent");
  platform_fixture_run_ms (&w, 100);
  cr_assert_eq (wy_h1_server_connections (server), 1);
  cr_expect (platform_fixture_run_until (&w, has_no_connection, server));
  close (silent);
  wy_h1_server_free (server);
  platform_fixture_free (&w);
}
