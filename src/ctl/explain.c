/* wyctl explain: the story of one request, job or item from the log lines of
   all processes.

   The lines that name the id come first to mind, but its cause often stands
   in others: the job that an item belongs to, the target that it ran on, a
   store lost or an entry gone while it lasted.  Those are joined in, in the
   order of their times.  Lines that are torn or no log lines are counted and
   passed over: the end of a file is often one.  */
#include "ctl/ctl.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* What happened so long before and after is shown as well.  */
  AROUND_MS = 2000,
  MS_PER_S = 1000
};

struct log_line
{
  json_t *doc;
  double t_s;
  const char *event;
  bool chosen;
};

struct story
{
  GPtrArray *lines; /* struct log_line */
  GHashTable *jobs;
  GHashTable *targets;
  GHashTable *services;
  GHashTable *processes;
  bool of_usage; /* the story of a window of usage */
  uint32_t unreadable;
  double from_s;
  double to_s;
};

static void
free_line (gpointer p)
{
  struct log_line *l = p;

  json_decref (l->doc);
  g_free (l);
}

static const char *
text_of (const struct log_line *l, const char *key)
{
  const char *v = json_string_value (json_object_get (l->doc, key));

  return v ? v : "";
}

static void
add_line (struct story *s, const char *text)
{
  const char *start = strchr (text, '{');
  json_t *doc = start ? json_loads (start, 0, NULL) : NULL;
  const char *event = json_string_value (json_object_get (doc, "event"));
  json_t *t = json_object_get (doc, "t");
  struct log_line *l;

  if (!event || !json_is_number (t))
    {
      s->unreadable++;
      json_decref (doc);
      return;
    }
  l = g_new0 (struct log_line, 1);
  l->doc = doc;
  l->event = event;
  l->t_s = json_number_value (t);
  g_ptr_array_add (s->lines, l);
}

static bool
read_file (struct story *s, const char *path)
{
  char *text = NULL;
  char **lines;
  GError *error = NULL;

  if (!g_file_get_contents (path, &text, NULL, &error))
    {
      fprintf (stderr, "wyctl: %s\n", error->message);
      g_error_free (error);
      return false;
    }
  lines = g_strsplit (text, "\n", -1);
  for (char **l = lines; *l; l++)
    if (**l)
      add_line (s, *l);
  g_strfreev (lines);
  g_free (text);
  return true;
}

static gint
by_time (gconstpointer a, gconstpointer b)
{
  const struct log_line *x = *(struct log_line *const *)a;
  const struct log_line *y = *(struct log_line *const *)b;

  return x->t_s < y->t_s ? -1 : x->t_s > y->t_s;
}

static void
remember (GHashTable *set, const char *text)
{
  if (*text)
    g_hash_table_add (set, g_strdup (text));
}

static void
choose (struct story *s, struct log_line *l)
{
  l->chosen = true;
  if (s->from_s == 0 || l->t_s < s->from_s)
    s->from_s = l->t_s;
  if (l->t_s > s->to_s)
    s->to_s = l->t_s;
  s->of_usage = s->of_usage || g_str_has_prefix (l->event, "usage.");
  remember (s->processes, text_of (l, "process"));
  remember (s->targets, text_of (l, "target"));
  remember (s->jobs, text_of (l, "job"));
  remember (s->services, text_of (l, "service"));
}

/* Whether TEXT is ID, or the key of a job ID: "ORGANISATION/ID".  */
static bool
is_id (const char *text, const char *id)
{
  const char *name = strrchr (text, '/');

  return !strcmp (text, id) || (name && !strcmp (name + 1, id));
}

/* Whether L is about the window of usage with the number ID.  */
static bool
is_window (const struct log_line *l, const char *id)
{
  json_t *window = json_object_get (l->doc, "window");
  char *end;

  return json_is_integer (window)
         && json_integer_value (window) == strtoll (id, &end, 10) && !*end;
}

static bool
names (const struct log_line *l, const char *id)
{
  const char *key;
  json_t *v;

  json_object_foreach (l->doc, key, v)
  {
    if (json_is_string (v) && is_id (json_string_value (v), id))
      return true;
  }
  return is_window (l, id);
}

static uint32_t
choose_named (struct story *s, const char *id)
{
  uint32_t n = 0;

  for (guint i = 0; i < s->lines->len; i++)
    {
      struct log_line *l = g_ptr_array_index (s->lines, i);

      if (!names (l, id))
        continue;
      choose (s, l);
      n++;
    }
  return n;
}

static void
choose_jobs (struct story *s)
{
  for (guint i = 0; i < s->lines->len; i++)
    {
      struct log_line *l = g_ptr_array_index (s->lines, i);

      if (!l->chosen && g_str_has_prefix (l->event, "job.")
          && g_hash_table_contains (s->jobs, text_of (l, "id")))
        choose (s, l);
    }
}

static bool
is_around (const struct story *s, const struct log_line *l)
{
  double around_s = (double)AROUND_MS / MS_PER_S;

  return l->t_s >= s->from_s - around_s && l->t_s <= s->to_s + around_s;
}

/* Whether L tells what became of something that the story depends on.  */
static bool
is_cause (const struct story *s, const struct log_line *l)
{
  if (g_str_has_prefix (l->event, "target."))
    return g_hash_table_contains (s->targets, text_of (l, "id"))
           || (g_hash_table_contains (s->services, text_of (l, "service"))
               && g_hash_table_contains (s->processes,
                                         text_of (l, "process")));
  /* Single calls fail by the dozen while the store is away.  */
  if (!strcmp (l->event, "store.lost") || !strcmp (l->event, "store.regained")
      || g_str_has_prefix (l->event, "process.")
      || g_str_has_prefix (l->event, "config."))
    return g_hash_table_contains (s->processes, text_of (l, "process"));
  return !strcmp (l->event, "entry.gone")
         || (s->of_usage && g_str_has_prefix (l->event, "duties."));
}

static void
choose_causes (struct story *s)
{
  for (guint i = 0; i < s->lines->len; i++)
    {
      struct log_line *l = g_ptr_array_index (s->lines, i);

      if (!l->chosen && is_around (s, l) && is_cause (s, l))
        l->chosen = true;
    }
}

static void
print_value (json_t *v)
{
  if (json_is_string (v))
    fputs (json_string_value (v), stdout);
  else if (json_is_integer (v))
    printf ("%lld", (long long)json_integer_value (v));
  else
    printf ("%g", json_number_value (v));
}

static void
print_line (const struct wy_ctl *ctl, const struct story *s,
            const struct log_line *l)
{
  const char *key;
  json_t *v;

  if (ctl->json)
    {
      json_dumpf (l->doc, stdout, JSON_COMPACT);
      putchar ('\n');
      return;
    }
  printf ("%+9.3f  %-24s %-20s", l->t_s - s->from_s, text_of (l, "process"),
          l->event);
  json_object_foreach (l->doc, key, v)
  {
    if (!strcmp (key, "t") || !strcmp (key, "process")
        || !strcmp (key, "incarnation") || !strcmp (key, "event"))
      continue;
    printf (" %s=", key);
    print_value (v);
  }
  putchar ('\n');
}

static GHashTable *
new_set (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

static int
tell (const struct wy_ctl *ctl, struct story *s, const char *id)
{
  uint32_t n = choose_named (s, id);

  if (n == 0)
    {
      fprintf (stderr, "wyctl: no line names %s\n", id);
      return WY_CTL_FAILED;
    }
  choose_jobs (s);
  choose_causes (s);
  for (guint i = 0; i < s->lines->len; i++)
    {
      const struct log_line *l = g_ptr_array_index (s->lines, i);

      if (l->chosen)
        print_line (ctl, s, l);
    }
  if (s->unreadable)
    fprintf (stderr, "wyctl: %u lines could not be read\n", s->unreadable);
  return WY_CTL_OK;
}

/* Tell the story of the id ARGS[0] from the log files that follow.  */
int
wy_ctl_explain (const struct wy_ctl *ctl, char **args, int n)
{
  struct story s = { .lines = g_ptr_array_new_with_free_func (free_line),
                     .jobs = new_set (),
                     .targets = new_set (),
                     .services = new_set (),
                     .processes = new_set () };
  int rc = WY_CTL_OK;

  if (n < 2)
    {
      fprintf (stderr, "wyctl: an id and log files are needed\n");
      rc = WY_CTL_USAGE;
    }
  for (int i = 1; i < n && rc == WY_CTL_OK; i++)
    if (!read_file (&s, args[i]))
      rc = WY_CTL_USAGE;
  g_ptr_array_sort (s.lines, by_time);
  if (rc == WY_CTL_OK)
    rc = tell (ctl, &s, args[0]);
  g_ptr_array_free (s.lines, TRUE);
  g_hash_table_destroy (s.jobs);
  g_hash_table_destroy (s.targets);
  g_hash_table_destroy (s.services);
  g_hash_table_destroy (s.processes);
  return rc;
}
