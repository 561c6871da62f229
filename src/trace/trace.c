/* Timeline writer.

   A timestamp is 48 bits of wall-clock time in milliseconds and a 16-bit
   counter.  Each timestamp is greater than all that the process has written or
   observed, so that an effect sorts after its cause even if the clocks of the
   two processes differ.  */
#include "trace/trace.h"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "trace/json_fields.h"

enum
{
  STAMP_COUNTER_BITS = 16,
  /* Initial size; most lines are shorter.  */
  LINE_SIZE_BYTES = 256,
  RING_SIZE_DEFAULT = 4096,
  FILE_MODE = 0644
};

struct wy_trace
{
  char *process;
  char *incarnation;
  const struct wy_clock *clock;
  int fd; /* -1: no file */
  uint64_t last_timestamp;
  uint64_t seq;
  GQueue ring; /* char *, oldest first */
  uint64_t ring_first;
  uint32_t ring_size;
};

/* Open a timeline with options O and store it in OUT.  Returns 0 or
   WY_TRACE_EOPEN.  */
int
wy_trace_new (struct wy_trace **out, const struct wy_trace_options *o)
{
  struct wy_trace *t;
  int fd = -1;

  if (o->path && *o->path)
    {
      fd = open (o->path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                 FILE_MODE);
      if (fd < 0)
        return WY_TRACE_EOPEN;
    }
  t = g_malloc0 (sizeof *t);
  t->process = g_strdup (o->process);
  t->incarnation = g_strdup (o->incarnation);
  t->clock = o->clock;
  t->fd = fd;
  t->ring_size = o->ring_size ? o->ring_size : RING_SIZE_DEFAULT;
  t->ring_first = 1;
  g_queue_init (&t->ring);
  *out = t;
  return 0;
}

/* Close the file and free T.  */
void
wy_trace_free (struct wy_trace *t)
{
  if (!t)
    return;
  if (t->fd >= 0)
    close (t->fd);
  g_queue_clear_full (&t->ring, g_free);
  g_free (t->process);
  g_free (t->incarnation);
  g_free (t);
}

/* A new timestamp, greater than all written or observed so far.  */
uint64_t
wy_trace_timestamp (struct wy_trace *t)
{
  uint64_t now = (uint64_t)wy_clock_wall_ms (t->clock) << STAMP_COUNTER_BITS;

  t->last_timestamp = now > t->last_timestamp ? now : t->last_timestamp + 1;
  return t->last_timestamp;
}

/* Observe STAMP, a timestamp received from another process.  */
void
wy_trace_observe (struct wy_trace *t, uint64_t stamp)
{
  if (stamp > t->last_timestamp)
    t->last_timestamp = stamp;
}

/* Identifies this start of the process.  */
const char *
wy_trace_incarnation (const struct wy_trace *t)
{
  return t->incarnation;
}

static void
ring_push (struct wy_trace *t, char *line)
{
  g_queue_push_tail (&t->ring, line);
  if (t->ring.length <= t->ring_size)
    return;
  g_free (g_queue_pop_head (&t->ring));
  t->ring_first++;
}

/* Write LINE, N bytes including the newline, in one system call, so that the
   file has complete lines only, even if the process is killed.  */
static void
write_line (int fd, const char *line, size_t n)
{
  size_t done = 0;

  while (done < n)
    {
      ssize_t w = write (fd, line + done, n - done);
      if (w <= 0)
        break;
      done += (size_t)w;
    }
}

/* Write EVENT with the fields given by FMT and the arguments, as for
   json_pack, such as "{s:s, s:I}".  FMT may be NULL.  If T is NULL, nothing is
   written.  */
void
wy_trace_event (struct wy_trace *t, const char *event, const char *fmt, ...)
{
  GString *line;
  va_list ap;

  if (!t)
    return;
  line = g_string_sized_new (LINE_SIZE_BYTES);
  g_string_append_c (line, '{');
  wy_json_fields_integer (line, "hlc", (int64_t)wy_trace_timestamp (t));
  wy_json_fields_string (line, "proc", t->process);
  wy_json_fields_string (line, "inc", t->incarnation);
  wy_json_fields_integer (line, "seq", (int64_t)++t->seq);
  wy_json_fields_string (line, "ev", event);
  if (fmt)
    {
      va_start (ap, fmt);
      wy_json_fields_pack (line, fmt, ap);
      va_end (ap);
    }
  g_string_append (line, "}\n");
  if (t->fd >= 0)
    write_line (t->fd, line->str, line->len);
  g_string_truncate (line, line->len - 1);
  ring_push (t, g_string_free (line, FALSE));
}

/* Append to OUT the lines in memory after line number AFTER (0: all).  Returns
   the number of the newest line.  */
uint64_t
wy_trace_read (struct wy_trace *t, uint64_t after, GString *out)
{
  uint64_t n = t->ring_first;

  for (GList *l = t->ring.head; l; l = l->next, n++)
    {
      if (n <= after)
        continue;
      g_string_append (out, l->data);
      g_string_append_c (out, '\n');
    }
  return n - 1;
}
