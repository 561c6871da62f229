/* Event stream of a model run.

   The events are forwarded unchanged.  Their tokens are counted and the weight
   versions are collected from the tokens.  The engine's summary in the last
   event is only compared with these: if they differ, the versions of the
   sample aren't proven.  A token of another run, or one that is missing or
   repeated, would corrupt the response to the caller, so it ends the run.  */
#include "agent/token_stream.h"

#include <string.h>

#include <jansson.h>

enum
{
  /* Limit of one event; a token has a few bytes.  */
  EVENT_LIMIT_BYTES = 1 << 20
};

/* Initialize T for the tokens of RUN, which is not copied.  */
void
wy_token_stream_init (struct wy_token_stream *t, const char *run)
{
  memset (t, 0, sizeof *t);
  t->run = run;
  t->partial = g_string_new (NULL);
  t->segments = g_array_new (FALSE, FALSE, sizeof (struct wy_segment));
}

/* Free the members of T.  */
void
wy_token_stream_clear (struct wy_token_stream *t)
{
  if (!t->partial)
    return;
  g_string_free (t->partial, TRUE);
  g_array_unref (t->segments);
  g_free (t->finish);
  memset (t, 0, sizeof *t);
}

static void
add_token (struct wy_token_stream *t, int64_t version)
{
  struct wy_segment s = { version, t->n, t->n + 1 };
  struct wy_segment *last
      = t->segments->len ? &g_array_index (t->segments, struct wy_segment,
                                           t->segments->len - 1)
                         : NULL;

  if (last && last->version == version)
    last->to++;
  else
    g_array_append_val (t->segments, s);
  t->n++;
}

static bool
same_segments (const struct wy_token_stream *t, const json_t *list)
{
  json_t *g;
  size_t i;

  if (json_array_size (list) != t->segments->len)
    return false;
  json_array_foreach (list, i, g)
  {
    const struct wy_segment *s
        = &g_array_index (t->segments, struct wy_segment, i);

    if (json_integer_value (json_object_get (g, "version")) != s->version
        || json_integer_value (json_object_get (g, "from")) != s->from
        || json_integer_value (json_object_get (g, "to")) != s->to)
      return false;
  }
  return true;
}

static int
read_last_event (struct wy_token_stream *t, const json_t *event)
{
  const char *finish = json_string_value (json_object_get (event, "finish"));

  if (!finish)
    return WY_TOKEN_STREAM_EEVENT;
  if (!strcmp (finish, "exported"))
    {
      t->exported = true;
      return 0;
    }
  t->done = true;
  g_free (t->finish);
  t->finish = g_strdup (finish);
  t->proven = json_integer_value (json_object_get (event, "tokens")) == t->n
              && same_segments (t, json_object_get (event, "segments"));
  return 0;
}

static int
read_token (struct wy_token_stream *t, const json_t *event)
{
  const json_t *i = json_object_get (event, "i");
  const json_t *version = json_object_get (event, "version");

  if (!json_is_integer (i) || !json_is_integer (version))
    return WY_TOKEN_STREAM_EEVENT;
  if (json_integer_value (i) != t->n)
    return WY_TOKEN_STREAM_ESEQUENCE;
  add_token (t, json_integer_value (version));
  return 0;
}

static int
read_event (struct wy_token_stream *t, const char *p, size_t n)
{
  static const char prefix[] = "data: ";
  size_t skip = sizeof prefix - 1;
  json_t *event;
  const char *run;
  int err;

  if (n < skip || memcmp (p, prefix, skip) != 0)
    return WY_TOKEN_STREAM_EEVENT;
  event = json_loadb (p + skip, n - skip, 0, NULL);
  run = json_string_value (json_object_get (event, "run"));
  if (!run)
    err = WY_TOKEN_STREAM_EEVENT;
  else if (strcmp (run, t->run) != 0)
    err = WY_TOKEN_STREAM_ERUN;
  else if (json_is_true (json_object_get (event, "done")))
    err = read_last_event (t, event);
  else
    err = read_token (t, event);
  json_decref (event);
  return err;
}

/* Parse N bytes at P and append the complete events to OUT.  Returns 0 or an
   enum wy_token_stream_error; OUT then contains the events before the invalid
   one.  */
int
wy_token_stream_feed (struct wy_token_stream *t, const char *p, size_t n,
                      GByteArray *out)
{
  size_t off = 0;
  int err = 0;

  g_string_append_len (t->partial, p, (gssize)n);
  while (!err && !t->done)
    {
      const char *start = t->partial->str + off;
      const char *end = strstr (start, "\n\n");
      size_t size;

      if (!end)
        break;
      size = (size_t)(end - start);
      err = read_event (t, start, size);
      if (!err && !t->exported)
        g_byte_array_append (out, (const guint8 *)start, (guint)size + 2);
      off += size + 2;
    }
  g_string_erase (t->partial, 0, (gssize)off);
  if (!err && t->partial->len > EVENT_LIMIT_BYTES)
    err = WY_TOKEN_STREAM_ETOOLONG;
  return err;
}
