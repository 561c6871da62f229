/* Structured log lines on standard output.  */
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
  /* Lines wait at most so long, so that a burst costs one write.  */
  FLUSH_MS = 100,
  FLUSH_BYTES = 16384,
  /* A reader that has stopped reading costs lines, not memory.  */
  KEPT_BYTES = 262144,
  /* Lines a second that are written; the rest of a flood is counted.  */
  LINES_PER_S = 2000,
  /* Of these, and of the bytes kept, one part in so many is for lines on
     requests and jobs alone: they are what a caller's complaint is traced by,
     and are left out last.  */
  REQUEST_DIVISOR = 4
};

static struct
{
  bool open;
  GString *out;
  uv_timer_t timer;
  bool waiting;
  char process[64];
  char incarnation[64];
  uint64_t dropped;
  uint64_t dropped_requests; /* lines on requests and jobs among them */
  uint64_t told_dropped;
  uint64_t told_requests;
  int64_t second;
  uint32_t lines;
} note;

static void
now (struct timespec *ts)
{
  clock_gettime (CLOCK_REALTIME, ts);
}

/* Write what waits, as far as the reader takes it.  */
void
wy_json_log_flush (void)
{
  ssize_t n;

  if (!note.open || note.out->len == 0)
    return;
  n = write (STDOUT_FILENO, note.out->str, note.out->len);
  if (n > 0)
    g_string_erase (note.out, 0, n);
  else if (n < 0 && errno != EAGAIN && errno != EINTR)
    {
      /* The reader is gone for good.  */
      note.dropped++;
      g_string_truncate (note.out, 0);
    }
}

static void arm (void);

static void
on_timer (uv_timer_t *t)
{
  note.waiting = false;
  wy_json_log_flush ();
  if (note.out->len)
    arm ();
}

static void
arm (void)
{
  if (note.waiting)
    return;
  note.waiting = true;
  uv_timer_start (&note.timer, on_timer, FLUSH_MS, 0);
}

static bool
is_number (const char *v, size_t n)
{
  size_t i = *v == '-' ? 1 : 0;

  /* Longer runs of digits are identifiers.  */
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

/* Turn "key=value key=value" into JSON members.  */
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
is_of_request (const char *event)
{
  return g_str_has_prefix (event, "request.")
         || g_str_has_prefix (event, "job.");
}

static bool
admit (const struct timespec *ts, const char *event)
{
  bool request = is_of_request (event);
  uint32_t part = request ? REQUEST_DIVISOR : REQUEST_DIVISOR - 1;

  if (ts->tv_sec != note.second)
    {
      note.second = ts->tv_sec;
      note.lines = 0;
    }
  if (note.out->len < (size_t)KEPT_BYTES / REQUEST_DIVISOR * part
      && note.lines < LINES_PER_S / REQUEST_DIVISOR * part)
    {
      note.lines++;
      return true;
    }
  note.dropped++;
  note.dropped_requests += request;
  return false;
}

static void
append_head (const struct timespec *ts, const char *event)
{
  g_string_append_printf (note.out,
                          "{\"t\":%lld.%03ld,\"process\":\"%s\","
                          "\"incarnation\":\"%s\",\"event\":\"%s\"",
                          (long long)ts->tv_sec, ts->tv_nsec / 1000000,
                          note.process, note.incarnation, event);
}

static void
tell_dropped (const struct timespec *ts)
{
  if (note.dropped == note.told_dropped)
    return;
  append_head (ts, "log.dropped");
  g_string_append_printf (
      note.out, ",\"lines\":%llu,\"of_requests\":%llu}\n",
      (unsigned long long)(note.dropped - note.told_dropped),
      (unsigned long long)(note.dropped_requests - note.told_requests));
  note.told_dropped = note.dropped;
  note.told_requests = note.dropped_requests;
}

/* Log EVENT with the pairs that FMT gives, such as "id=%s age_ms=%d".
   Values hold no spaces.  */
void
wy_json_log (const char *event, const char *fmt, ...)
{
  char pairs[LINE_SIZE_BYTES];
  struct timespec ts;
  va_list ap;

  if (!note.open)
    return;
  now (&ts);
  if (!admit (&ts, event))
    return;
  va_start (ap, fmt);
  vsnprintf (pairs, sizeof pairs, fmt, ap);
  va_end (ap);
  tell_dropped (&ts);
  append_head (&ts, event);
  append_pairs (note.out, pairs);
  g_string_append (note.out, "}\n");
  if (note.out->len >= FLUSH_BYTES)
    wy_json_log_flush ();
  if (note.out->len)
    arm ();
}

/* Start logging as PROCESS; INCARNATION tells its starts apart.  When open
   already, only the names change.  */
void
wy_json_log_open (struct uv_loop_s *loop, const char *process,
                  const char *incarnation)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  g_strlcpy (note.process, process, sizeof note.process);
  g_strlcpy (note.incarnation, incarnation, sizeof note.incarnation);
  if (note.open)
    return;
  note.out = g_string_sized_new (FLUSH_BYTES);
  uv_timer_init (loop, &note.timer);
  uv_unref ((uv_handle_t *)&note.timer);
  note.open = true;
}

/* Lines that were not written.  */
uint64_t
wy_json_log_dropped (void)
{
  return note.dropped;
}

/* Write what waits and stop logging.  */
void
wy_json_log_close (void)
{
  if (!note.open)
    return;
  wy_json_log_flush ();
  note.open = false;
  g_string_free (note.out, TRUE);
  uv_close ((uv_handle_t *)&note.timer, NULL);
}
