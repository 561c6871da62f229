/* Timeline reader.

   A checker that skipped input it can't read could pass a run that violates an
   invariant, so any sign of incomplete input is an error: a line that is not
   an event, a last line without a newline, a gap in the sequence numbers of a
   process, and a process without process.stop or process.crash for which no
   event records a kill.  */
#include "check/timeline.h"

#include <stdbool.h>
#include <string.h>

enum
{
  TIMESTAMP_COUNTER_BITS = 16
};

static void
event_free (gpointer p)
{
  struct wy_event *e = p;

  json_decref (e->fields);
  g_free (e);
}

/* Set up T without events.  */
void
wy_timeline_init (struct wy_timeline *t)
{
  t->events = g_ptr_array_new_with_free_func (event_free);
}

/* Free all events of T.  */
void
wy_timeline_free (struct wy_timeline *t)
{
  g_ptr_array_free (t->events, TRUE);
}

/* Text field KEY of E; "" when there is none.  */
const char *
wy_event_text (const struct wy_event *e, const char *key)
{
  const char *v = json_string_value (json_object_get (e->fields, key));

  return v ? v : "";
}

/* Integer field KEY of E, or FALLBACK.  */
int64_t
wy_event_number (const struct wy_event *e, const char *key, int64_t fallback)
{
  json_t *v = json_object_get (e->fields, key);

  return json_is_integer (v) ? json_integer_value (v) : fallback;
}

/* Wall-clock time of E in milliseconds, from its timestamp.  */
int64_t
wy_event_ms (const struct wy_event *e)
{
  return (int64_t)(e->hlc >> TIMESTAMP_COUNTER_BITS);
}

static struct wy_event *
parse_line (const char *p, size_t n)
{
  json_t *o = json_loadb (p, n, 0, NULL);
  struct wy_event *e;

  if (!json_is_object (o) || !json_is_integer (json_object_get (o, "hlc"))
      || !json_is_integer (json_object_get (o, "seq"))
      || !json_is_string (json_object_get (o, "proc"))
      || !json_is_string (json_object_get (o, "inc"))
      || !json_is_string (json_object_get (o, "ev")))
    {
      json_decref (o);
      return NULL;
    }
  e = g_new0 (struct wy_event, 1);
  e->fields = o;
  e->hlc = (uint64_t)json_integer_value (json_object_get (o, "hlc"));
  e->seq = (uint64_t)json_integer_value (json_object_get (o, "seq"));
  e->process = wy_event_text (e, "proc");
  e->incarnation = wy_event_text (e, "inc");
  e->name = wy_event_text (e, "ev");
  return e;
}

/* Add the events of TEXT, the content of the file NAME, to T.  Returns 0, or
   WY_CHECK_EMALFORMED or WY_CHECK_ETRUNCATED with the reason in ERROR.  */
int
wy_timeline_parse (struct wy_timeline *t, const char *name, const char *text,
                   size_t size_bytes, GString *error)
{
  const char *p = text;
  const char *end = text + size_bytes;

  for (unsigned line = 1; p < end; line++)
    {
      const char *nl = memchr (p, '\n', (size_t)(end - p));
      struct wy_event *e;

      if (!nl)
        {
          g_string_append_printf (
              error, "%s:%u: the last line is incomplete\n", name, line);
          return WY_CHECK_ETRUNCATED;
        }
      e = parse_line (p, (size_t)(nl - p));
      if (!e)
        {
          g_string_append_printf (error, "%s:%u: not an event\n", name, line);
          return WY_CHECK_EMALFORMED;
        }
      g_ptr_array_add (t->events, e);
      p = nl + 1;
    }
  return 0;
}

static gint
by_timestamp (gconstpointer a, gconstpointer b)
{
  const struct wy_event *x = *(const struct wy_event *const *)a;
  const struct wy_event *y = *(const struct wy_event *const *)b;
  int c;

  if (x->hlc != y->hlc)
    return x->hlc < y->hlc ? -1 : 1;
  c = strcmp (x->process, y->process);
  if (c == 0)
    c = strcmp (x->incarnation, y->incarnation);
  if (c)
    return c;
  return x->seq < y->seq ? -1 : x->seq > y->seq;
}

/* Events of one incarnation of a process.  */
struct sequence
{
  uint64_t last_seq;
  bool ended;
};

static char *
incarnation_key (const struct wy_event *e)
{
  return g_strdup_printf ("%s/%s", e->process, e->incarnation);
}

static int
verify_sequences (const struct wy_timeline *t, GHashTable *sequences,
                  GString *error)
{
  for (guint i = 0; i < t->events->len; i++)
    {
      const struct wy_event *e = t->events->pdata[i];
      char *key = incarnation_key (e);
      struct sequence *s = g_hash_table_lookup (sequences, key);

      if (!s)
        {
          s = g_new0 (struct sequence, 1);
          g_hash_table_insert (sequences, g_strdup (key), s);
        }
      if (e->seq != s->last_seq + 1)
        {
          g_string_append_printf (error,
                                  "%s: event %" G_GUINT64_FORMAT
                                  " follows event %" G_GUINT64_FORMAT "\n",
                                  key, e->seq, s->last_seq);
          g_free (key);
          return WY_CHECK_ETRUNCATED;
        }
      s->last_seq = e->seq;
      s->ended = !strcmp (e->name, "process.stop")
                 || !strcmp (e->name, "process.crash");
      g_free (key);
    }
  return 0;
}

static bool
was_killed (const struct wy_timeline *t, const char *key)
{
  for (guint i = 0; i < t->events->len; i++)
    {
      const struct wy_event *e = t->events->pdata[i];
      const char *target;
      size_t n;

      if (strcmp (e->name, "fault.injected") != 0
          || strcmp (wy_event_text (e, "kind"), "kill") != 0)
        continue;
      target = wy_event_text (e, "target");
      n = strlen (target);
      if (!strncmp (key, target, n) && key[n] == '/')
        return true;
    }
  return false;
}

/* Sort the events of T by their timestamps and verify that none is missing.
   Returns 0, or WY_CHECK_EEMPTY or WY_CHECK_ETRUNCATED with the reason in
   ERROR.  */
int
wy_timeline_finish (struct wy_timeline *t, GString *error)
{
  GHashTable *sequences;
  GHashTableIter it;
  gpointer key;
  gpointer value;
  int err;

  if (t->events->len == 0)
    {
      g_string_append (error, "no events\n");
      return WY_CHECK_EEMPTY;
    }
  g_ptr_array_sort (t->events, by_timestamp);
  sequences = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  err = verify_sequences (t, sequences, error);
  g_hash_table_iter_init (&it, sequences);
  while (!err && g_hash_table_iter_next (&it, &key, &value))
    {
      if (((struct sequence *)value)->ended || was_killed (t, key))
        continue;
      g_string_append_printf (error,
                              "%s: ends without process.stop, and no event "
                              "records that it was killed\n",
                              (char *)key);
      err = WY_CHECK_ETRUNCATED;
    }
  g_hash_table_destroy (sequences);
  return err;
}

/* Read the N files at PATHS into T, which wy_timeline_init has set up, and
   finish it with wy_timeline_finish.  Returns 0, or a negative enum
   wy_check_error with the reason in ERROR.  */
int
wy_timeline_load (struct wy_timeline *t, const char *const *paths, size_t n,
                  GString *error)
{
  for (size_t i = 0; i < n; i++)
    {
      char *text = NULL;
      gsize size = 0;
      GError *gerror = NULL;
      int err;

      if (!g_file_get_contents (paths[i], &text, &size, &gerror))
        {
          g_string_append_printf (error, "%s\n", gerror->message);
          g_error_free (gerror);
          return WY_CHECK_EOPEN;
        }
      if (size == 0)
        {
          g_string_append_printf (error, "%s: empty\n", paths[i]);
          g_free (text);
          return WY_CHECK_EEMPTY;
        }
      err = wy_timeline_parse (t, paths[i], text, size, error);
      g_free (text);
      if (err)
        return err;
    }
  return wy_timeline_finish (t, error);
}
