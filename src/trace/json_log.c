/* Structured log on standard output.  */
#include "trace/json_log.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>
#include <uv.h>

enum
{
  LINE_SIZE_BYTES = 1024,
  /* Maximum time that lines are buffered, so that a burst needs one write.  */
  FLUSH_MS = 100,
  FLUSH_BYTES = 16384,
  /* Bound of the buffer while the reader does not read.  */
  BUFFER_MAX_BYTES = 262144,
  /* Lines above this rate are dropped and counted.  */
  LINES_PER_S = 2000,
  /* Of the rate and of the buffer, one part in this many is reserved for lines
     on requests and jobs.  They are dropped last, since they are needed to
     investigate a caller's problem.  */
  REQUEST_DIVISOR = 4
};

static struct
{
  bool open;
  GString *out;
  uv_timer_t timer;
  bool timer_armed;
  char process[64];
  char incarnation[64];
  uint64_t dropped;
  uint64_t dropped_requests; /* dropped lines on requests and jobs */
  uint64_t reported_dropped; /* as of the last log.dropped */
  uint64_t reported_dropped_requests;
  int64_t second;
  uint32_t lines;
} state;

static void
read_wall_clock (struct timespec *ts)
{
  clock_gettime (CLOCK_REALTIME, ts);
}

/* Write as many of the buffered bytes as the reader accepts.  */
void
wy_json_log_flush (void)
{
  ssize_t n;

  if (!state.open || state.out->len == 0)
    return;
  n = write (STDOUT_FILENO, state.out->str, state.out->len);
  if (n > 0)
    g_string_erase (state.out, 0, n);
  else if (n < 0 && errno != EAGAIN && errno != EINTR)
    {
      /* The reader has closed the stream.  */
      state.dropped++;
      g_string_truncate (state.out, 0);
    }
}

static void arm (void);

static void
on_timer (uv_timer_t *t)
{
  state.timer_armed = false;
  wy_json_log_flush ();
  if (state.out->len)
    arm ();
}

static void
arm (void)
{
  if (state.timer_armed)
    return;
  state.timer_armed = true;
  uv_timer_start (&state.timer, on_timer, FLUSH_MS, 0);
}

static bool
is_number (const char *v, size_t n)
{
  size_t i = *v == '-' ? 1 : 0;

  /* More than 15 digits are an identifier.  */
  if (n == i || n > 15 || (v[i] == '0' && n > i + 1))
    return false;
  for (; i < n; i++)
    if (v[i] < '0' || v[i] > '9')
      return false;
  return true;
}

static void
append_text (GString *out, const char *p, size_t n)
{
  g_string_append_c (out, '"');
  for (size_t i = 0; i < n; i++)
    {
      unsigned char c = (unsigned char)p[i];

      if (c == '"' || c == '\\')
        g_string_append_c (out, '\\');
      if (c < 0x20 || c >= 0x7f)
        g_string_append_printf (out, "\\u%04x", c);
      else
        g_string_append_c (out, (char)c);
    }
  g_string_append_c (out, '"');
}

/* Append PAIRS, "key=value key=value", to OUT as JSON members.  */
static void
append_pairs (GString *out, const char *pairs)
{
  while (*pairs)
    {
      size_t key = strcspn (pairs, "= ");
      const char *value;
      size_t n;

      if (pairs[key] != '=')
        return;
      value = pairs + key + 1;
      n = strcspn (value, " ");
      g_string_append_c (out, ',');
      append_text (out, pairs, key);
      g_string_append_c (out, ':');
      if (is_number (value, n))
        g_string_append_len (out, value, (gssize)n);
      else
        append_text (out, value, n);
      pairs = value + n;
      while (*pairs == ' ')
        pairs++;
    }
}

static bool
is_request_event (const char *event)
{
  return g_str_has_prefix (event, "request.")
         || g_str_has_prefix (event, "job.");
}

static bool
admit_line (const struct timespec *ts, const char *event)
{
  bool request = is_request_event (event);
  uint32_t share = request ? REQUEST_DIVISOR : REQUEST_DIVISOR - 1;

  if (ts->tv_sec != state.second)
    {
      state.second = ts->tv_sec;
      state.lines = 0;
    }
  if (state.out->len < (size_t)BUFFER_MAX_BYTES / REQUEST_DIVISOR * share
      && state.lines < LINES_PER_S / REQUEST_DIVISOR * share)
    {
      state.lines++;
      return true;
    }
  state.dropped++;
  state.dropped_requests += request;
  return false;
}

static void
append_head (const struct timespec *ts, const char *event)
{
  g_string_append_printf (state.out,
                          "{\"t\":%lld.%03ld,\"process\":\"%s\","
                          "\"incarnation\":\"%s\",\"event\":\"%s\"",
                          (long long)ts->tv_sec, ts->tv_nsec / 1000000,
                          state.process, state.incarnation, event);
}

static void
append_dropped (const struct timespec *ts)
{
  if (state.dropped == state.reported_dropped)
    return;
  append_head (ts, "log.dropped");
  g_string_append_printf (
      state.out, ",\"lines\":%llu,\"of_requests\":%llu}\n",
      (unsigned long long)(state.dropped - state.reported_dropped),
      (unsigned long long)(state.dropped_requests
                           - state.reported_dropped_requests));
  state.reported_dropped = state.dropped;
  state.reported_dropped_requests = state.dropped_requests;
}

/* Log EVENT with the pairs given by FMT and the arguments, such as
   "id=%s age_ms=%d".  Values must not contain spaces.  */
void
wy_json_log (const char *event, const char *fmt, ...)
{
  char pairs[LINE_SIZE_BYTES];
  struct timespec ts;
  va_list ap;

  if (!state.open)
    return;
  read_wall_clock (&ts);
  if (!admit_line (&ts, event))
    return;
  va_start (ap, fmt);
  vsnprintf (pairs, sizeof pairs, fmt, ap);
  va_end (ap);
  append_dropped (&ts);
  append_head (&ts, event);
  append_pairs (state.out, pairs);
  g_string_append (state.out, "}\n");
  if (state.out->len >= FLUSH_BYTES)
    wy_json_log_flush ();
  if (state.out->len)
    arm ();
}

/* Start logging with the names PROCESS and INCARNATION, which identifies one
   start of the process.  If the log is open already, only the names change. */
void
wy_json_log_open (struct uv_loop_s *loop, const char *process,
                  const char *incarnation)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  g_strlcpy (state.process, process, sizeof state.process);
  g_strlcpy (state.incarnation, incarnation, sizeof state.incarnation);
  if (state.open)
    return;
  state.out = g_string_sized_new (FLUSH_BYTES);
  uv_timer_init (loop, &state.timer);
  uv_unref ((uv_handle_t *)&state.timer);
  state.open = true;
}

/* Number of dropped lines.  */
uint64_t
wy_json_log_dropped (void)
{
  return state.dropped;
}

/* Flush the buffer and stop logging.  */
void
wy_json_log_close (void)
{
  if (!state.open)
    return;
  wy_json_log_flush ();
  state.open = false;
  g_string_free (state.out, TRUE);
  uv_close ((uv_handle_t *)&state.timer, NULL);
}
