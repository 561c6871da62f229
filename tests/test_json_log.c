/* Structured log on standard output.  */
#include <criterion/criterion.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>
#include <uv.h>

#include "trace/json_log.h"

static int fds[2];
static uv_loop_t loop;

static void
start (void)
{
  cr_assert_eq (pipe (fds), 0);
  cr_assert_geq (dup2 (fds[1], STDOUT_FILENO), 0);
  uv_loop_init (&loop);
  wy_json_log_open (&loop, "p-1", "inc");
}

/* Values from outside, such as an id with quotes, must not produce malformed
   JSON.  */
Test (json_log, lines_are_json)
{
  char buffer[4096];
  ssize_t n;
  json_t *doc;

  start ();
  wy_json_log ("e.happened", "id=%s n=%d big=%s neg=%d", "a\"b\\\x01", 7,
               "9876543210987654321", -3);
  wy_json_log_flush ();
  n = read (fds[0], buffer, sizeof buffer - 1);
  cr_assert_gt (n, 0);
  buffer[n] = '\0';
  doc = json_loads (buffer, JSON_DISABLE_EOF_CHECK, NULL);
  cr_assert_not_null (doc);
  cr_expect_str_eq (json_string_value (json_object_get (doc, "event")),
                    "e.happened");
  cr_expect_str_eq (json_string_value (json_object_get (doc, "id")),
                    "a\"b\\\x01");
  cr_expect_eq (json_integer_value (json_object_get (doc, "n")), 7);
  cr_expect_eq (json_integer_value (json_object_get (doc, "neg")), -3);
  cr_expect (json_is_string (json_object_get (doc, "big")));
  json_decref (doc);
  wy_json_log_close ();
}

/* Many lines are logged while the reader does not read.  The process must
   neither block nor buffer all lines, and must log the number of dropped lines
   when the reader continues.  */
Test (json_log, flood_without_a_reader)
{
  enum
  {
    FLOOD = 20000,
    PIPE_BYTES = 1 << 16
  };
  static char buffer[1 << 20];
  size_t size = 0;
  ssize_t n;

  start ();
  for (int i = 0; i < FLOOD; i++)
    wy_json_log ("flood", "i=%d", i);
  cr_expect_gt (wy_json_log_dropped (), 0);
  fcntl (fds[0], F_SETFL, O_NONBLOCK);
  /* Wait for the next second, which has a new rate limit.  */
  usleep (1100000);
  for (int round = 0; round < 50; round++)
    {
      while ((n = read (fds[0], buffer + size, sizeof buffer - 1 - size)) > 0)
        size += (size_t)n;
      wy_json_log ("after", "round=%d", round);
      wy_json_log_flush ();
    }
  buffer[size] = '\0';
  cr_expect_not_null (strstr (buffer, "log.dropped"));
  cr_expect_lt (size, (size_t)FLOOD * 60);
  wy_json_log_close ();
}

/* Many lines on items are logged in the second in which a caller's request
   fails. The line on the request must not be dropped, and the dropped lines
   are counted by kind.  */
Test (json_log, lines_on_requests_are_dropped_last)
{
  enum
  {
    FLOOD = 20000
  };
  static char buffer[1 << 22];
  size_t size = 0;
  ssize_t n;

  start ();
  fcntl (fds[0], F_SETFL, O_NONBLOCK);
  for (int i = 0; i < FLOOD; i++)
    {
      wy_json_log ("item.run_started", "i=%d", i);
      wy_json_log_flush ();
      while ((n = read (fds[0], buffer + size, sizeof buffer - 1 - size)) > 0)
        size += (size_t)n;
    }
  wy_json_log ("request.ended", "id=%s", "the-one");
  wy_json_log_flush ();
  while ((n = read (fds[0], buffer + size, sizeof buffer - 1 - size)) > 0)
    size += (size_t)n;
  buffer[size] = '\0';
  cr_expect_gt (wy_json_log_dropped (), 0);
  cr_expect_not_null (strstr (buffer, "the-one"));
  cr_expect_not_null (strstr (buffer, "\"of_requests\":0}"));
  wy_json_log_close ();
}
