/* Timeline writer.

   A stamp is 48 bits of wall time in milliseconds and 16 bits of counter.  A
   process never writes a stamp that is not above all stamps it has seen, so
   an event that another one caused sorts after it even when the clocks of
   the two processes differ.  */
#include "trace/trace.h"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "trace/json_fields.h"

enum
{
  STAMP_COUNTER_BITS = 16,
  /* Most lines are shorter.  */
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
  uint64_t last;
  uint64_t seq;
  GQueue ring; /* char *, oldest first */
  uint64_t ring_first;
  uint32_t ring_size;
};

/* Open a timeline as O says.  Returns 0 or WY_TRACE_EOPEN.  */
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

/* A stamp above all stamps written or seen so far.  */
uint64_t
wy_trace_timestamp (struct wy_trace *t)
{
  uint64_t now = (uint64_t)wy_clock_wall_ms (t->clock) << STAMP_COUNTER_BITS;

  t->last = now > t->last ? now : t->last + 1;
  return t->last;
}

/* Take note of a stamp that came from another process.  */
void
wy_trace_observe (struct wy_trace *t, uint64_t stamp)
{
  if (stamp > t->last)
    t->last = stamp;
}

/* Identifier of this start of the process.  */
const char *
wy_trace_incarnation (const struct wy_trace *t)
{
  return t->incarnation;
}

static void
keep (struct wy_trace *t, char *line)
{
  g_queue_push_tail (&t->ring, line);
  if (t->ring.length <= t->ring_size)
    return;
  g_free (g_queue_pop_head (&t->ring));
  t->ring_first++;
}

/* LINE, N bytes with its end, goes out in one call, so that a process killed
   at any moment leaves whole lines only.  */
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

/* Write EVENT with the fields that FMT and the arguments name, in the
   notation of json_pack, such as "{s:s, s:I}"; FMT may be NULL.  T may be
   NULL, then nothing is written.  */
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
  keep (t, g_string_free (line, FALSE));
}

/* Append to OUT the lines kept in memory that come after line number AFTER
   (0: all).  Returns the number of the newest line.  */
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
