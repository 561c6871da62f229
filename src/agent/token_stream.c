/* Event stream of a model run.

   The events are passed on byte by byte; on the way their tokens are counted
   and the weight versions collected from the tokens themselves.  The engine's
   own account in the last event is only compared with that: where the two
   differ, the sample's versions aren't proven.  A token of another run, left
   out or repeated would put foreign text into a caller's answer; it ends the
   run.  */
#include "agent/token_stream.h"

#include <string.h>

#include <jansson.h>

enum
{
  /* Of one event; a token has a few bytes.  */
  EVENT_LIMIT_BYTES = 1 << 20
};

/* Prepare T for the tokens of RUN, which is kept.  */
void
wy_tokens_init (struct wy_tokens *t, const char *run)
{
  memset (t, 0, sizeof *t);
  t->run = run;
  t->partial = g_string_new (NULL);
  t->segments = g_array_new (FALSE, FALSE, sizeof (struct wy_segment));
}

/* Free what T holds.  */
void
wy_tokens_clear (struct wy_tokens *t)
{
  if (!t->partial)
    return;
  g_string_free (t->partial, TRUE);
  g_array_unref (t->segments);
  g_free (t->finish);
  memset (t, 0, sizeof *t);
}

static void
add_token (struct wy_tokens *t, int64_t version)
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
same_segments (const struct wy_tokens *t, const json_t *list)
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
take_last (struct wy_tokens *t, const json_t *event)
{
  const char *finish = json_string_value (json_object_get (event, "finish"));

  if (!finish)
    return WY_TOKENS_EEVENT;
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
take_token (struct wy_tokens *t, const json_t *event)
{
  const json_t *i = json_object_get (event, "i");
  const json_t *version = json_object_get (event, "version");

  if (!json_is_integer (i) || !json_is_integer (version))
    return WY_TOKENS_EEVENT;
  if (json_integer_value (i) != t->n)
    return WY_TOKENS_ESEQUENCE;
  add_token (t, json_integer_value (version));
  return 0;
}

static int
take_event (struct wy_tokens *t, const char *p, size_t n)
{
  static const char prefix[] = "data: ";
  size_t skip = sizeof prefix - 1;
  json_t *event;
  const char *run;
  int err;

  if (n < skip || memcmp (p, prefix, skip) != 0)
    return WY_TOKENS_EEVENT;
  event = json_loadb (p + skip, n - skip, 0, NULL);
  run = json_string_value (json_object_get (event, "run"));
  if (!run)
    err = WY_TOKENS_EEVENT;
  else if (strcmp (run, t->run) != 0)
    err = WY_TOKENS_ERUN;
  else if (json_is_true (json_object_get (event, "done")))
    err = take_last (t, event);
  else
    err = take_token (t, event);
  json_decref (event);
  return err;
}

/* Take in N bytes at P and append the events that are whole to OUT.  Returns
   0 or what is wrong; OUT then has the events before it.  */
int
wy_tokens_feed (struct wy_tokens *t, const char *p, size_t n, GByteArray *out)
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
      err = take_event (t, start, size);
      if (!err && !t->exported)
        g_byte_array_append (out, (const guint8 *)start, (guint)size + 2);
      off += size + 2;
    }
  g_string_erase (t->partial, 0, (gssize)off);
  if (!err && t->partial->len > EVENT_LIMIT_BYTES)
    err = WY_TOKENS_ETOOLONG;
  return err;
}
