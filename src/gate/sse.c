/* Parser for server-sent events (text/event-stream).

   Only complete events are passed on.  A replica may fail in the middle of an
   event, and the run that continues on another replica sends that event
   again.  */
#include "gate/sse.h"

#include <stdlib.h>
#include <string.h>

#include "platform/request_wire.h"

enum
{
  ID_DIGITS_MAX = 15,
  /* With the line feed before it.  */
  BLANK_LINE_MAX_BYTES = 3
};

/* Initialize E for a new stream.  */
void
wy_sse_init (struct wy_sse_parser *e)
{
  e->partial_event = g_string_new (NULL);
  e->data = g_string_new (NULL);
  e->scanned_bytes = 0;
  e->last_id = -1;
}

/* Free the buffers of E.  */
void
wy_sse_clear (struct wy_sse_parser *e)
{
  g_string_free (e->partial_event, TRUE);
  g_string_free (e->data, TRUE);
}

/* Whether the input so far ends inside an event.  */
bool
wy_sse_has_partial (const struct wy_sse_parser *e)
{
  return e->partial_event->len > 0;
}

/* Whether the input can't be a stream of events: one has no end.  */
bool
wy_sse_is_too_long (const struct wy_sse_parser *e)
{
  return e->partial_event->len > WY_SSE_EVENT_MAX_BYTES;
}

static bool
field_value (const char *line, size_t n, const char *name, const char **value,
             size_t *value_n)
{
  size_t name_n = strlen (name);

  if (n <= name_n || strncmp (line, name, name_n) != 0 || line[name_n] != ':')
    return false;
  *value = line + name_n + 1;
  *value_n = n - name_n - 1;
  if (*value_n && **value == ' ')
    {
      (*value)++;
      (*value_n)--;
    }
  return true;
}

static int64_t
parse_id (const char *p, size_t n)
{
  int64_t id = 0;

  if (n == 0 || n > ID_DIGITS_MAX)
    return -1;
  for (size_t i = 0; i < n; i++)
    {
      if (p[i] < '0' || p[i] > '9')
        return -1;
      id = id * 10 + (p[i] - '0');
    }
  return id;
}

static void
parse_event (struct wy_sse_parser *e, const char *p, size_t n,
             struct wy_sse_event *out)
{
  const char *end = p + n;
  bool first_data = true;

  memset (out, 0, sizeof *out);
  out->raw = p;
  out->raw_n = n;
  out->id = -1;
  out->version = -1;
  g_string_truncate (e->data, 0);
  while (p < end)
    {
      const char *nl = memchr (p, '\n', (size_t)(end - p));
      size_t line_n = (size_t)((nl ? nl : end) - p);
      const char *v;
      size_t v_n;

      if (line_n && p[line_n - 1] == '\r')
        line_n--;
      if (field_value (p, line_n, "id", &v, &v_n))
        out->id = parse_id (v, v_n);
      else if (field_value (p, line_n, "data", &v, &v_n))
        {
          if (!first_data)
            g_string_append_c (e->data, '\n');
          first_data = false;
          g_string_append_len (e->data, v, (gssize)v_n);
        }
      else if (wy_event_weights_version (p, line_n, &out->version))
        out->has_version = true;
      p = nl ? nl + 1 : end;
    }
  out->data = e->data->str;
  out->data_n = e->data->len;
}

/* Length of the first complete event at P, including its blank line; 0: there
   is none.  No event ends in the first SCANNED bytes.  */
static size_t
event_size (const char *p, size_t n, size_t scanned)
{
  size_t first
      = scanned > BLANK_LINE_MAX_BYTES ? scanned - BLANK_LINE_MAX_BYTES : 0;

  for (size_t i = first; i + 1 < n; i++)
    {
      if (p[i] != '\n')
        continue;
      if (p[i + 1] == '\n')
        return i + 2;
      if (p[i + 1] == '\r' && i + 2 < n && p[i + 2] == '\n')
        return i + 3;
    }
  return 0;
}

/* Parse N more bytes of the stream and call ON_EVENT for each event that is
   complete.  */
void
wy_sse_feed (struct wy_sse_parser *e, const char *p, size_t n,
             void (*on_event) (void *ctx, const struct wy_sse_event *ev),
             void *ctx)
{
  size_t at = 0;
  size_t size;

  g_string_append_len (e->partial_event, p, (gssize)n);
  while ((size = event_size (e->partial_event->str + at,
                             e->partial_event->len - at, e->scanned_bytes)))
    {
      struct wy_sse_event ev;

      parse_event (e, e->partial_event->str + at, size, &ev);
      if (ev.id >= 0)
        e->last_id = ev.id;
      at += size;
      e->scanned_bytes = 0;
      on_event (ctx, &ev);
    }
  g_string_erase (e->partial_event, 0, (gssize)at);
  e->scanned_bytes = e->partial_event->len;
}
