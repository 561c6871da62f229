/* wyctl explain: the log lines of all processes about one request, job, item
   or usage window.

   The cause of a failure is often in lines that don't name the id: those of
   the job that an item belongs to, of the target that it ran on, of a store
   that became unreachable or an entry that failed meanwhile.  The output joins
   these with the lines that name the id, in the order of time.  Lines that are
   incomplete or not log lines are skipped and counted, as the last line of a
   file is often incomplete.  */
#include "ctl/ctl.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Related lines so long before and after the id's own are shown as
     well.  */
  AROUND_MS = 2000,
  MS_PER_S = 1000
};

struct log_line
{
  json_t *doc;
  double t_s;
  const char *event;
  bool selected;
};

/* The lines to show, and the names in them that related lines share.  */
struct selection
{
  GPtrArray *lines; /* struct log_line */
  GHashTable *jobs;
  GHashTable *targets;
  GHashTable *services;
  GHashTable *processes;
  bool has_usage; /* a selected line is about usage */
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
add_line (struct selection *s, const char *text)
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
read_file (struct selection *s, const char *path)
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
add_name (GHashTable *set, const char *text)
{
  if (*text)
    g_hash_table_add (set, g_strdup (text));
}

static void
select_line (struct selection *s, struct log_line *l)
{
  l->selected = true;
  if (s->from_s == 0 || l->t_s < s->from_s)
    s->from_s = l->t_s;
  if (l->t_s > s->to_s)
    s->to_s = l->t_s;
  s->has_usage = s->has_usage || g_str_has_prefix (l->event, "usage.");
  add_name (s->processes, text_of (l, "process"));
  add_name (s->targets, text_of (l, "target"));
  add_name (s->jobs, text_of (l, "job"));
  add_name (s->services, text_of (l, "service"));
}

/* Whether TEXT is ID, or the key of the job ID: "ORGANISATION/ID".  */
static bool
is_id (const char *text, const char *id)
{
  const char *name = strrchr (text, '/');

  return !strcmp (text, id) || (name && !strcmp (name + 1, id));
}

/* Whether L is about the usage window with the number ID.  */
static bool
is_window (const struct log_line *l, const char *id)
{
  json_t *window = json_object_get (l->doc, "window");
  char *end;

  return json_is_integer (window)
         && json_integer_value (window) == strtoll (id, &end, 10) && !*end;
}

static bool
names_id (const struct log_line *l, const char *id)
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
select_naming (struct selection *s, const char *id)
{
  uint32_t n = 0;

  for (guint i = 0; i < s->lines->len; i++)
    {
      struct log_line *l = g_ptr_array_index (s->lines, i);

      if (!names_id (l, id))
        continue;
      select_line (s, l);
      n++;
    }
  return n;
}

static void
select_jobs (struct selection *s)
{
  for (guint i = 0; i < s->lines->len; i++)
    {
      struct log_line *l = g_ptr_array_index (s->lines, i);

      if (!l->selected && g_str_has_prefix (l->event, "job.")
          && g_hash_table_contains (s->jobs, text_of (l, "id")))
        select_line (s, l);
    }
}

static bool
is_around (const struct selection *s, const struct log_line *l)
{
  double around_s = (double)AROUND_MS / MS_PER_S;

  return l->t_s >= s->from_s - around_s && l->t_s <= s->to_s + around_s;
}

/* Whether L reports a change of something that the selected lines depend on: a
   target, a process, its store or configuration, an entry, the duties.  */
static bool
is_related (const struct selection *s, const struct log_line *l)
{
  if (g_str_has_prefix (l->event, "target."))
    return g_hash_table_contains (s->targets, text_of (l, "id"))
           || (g_hash_table_contains (s->services, text_of (l, "service"))
               && g_hash_table_contains (s->processes,
                                         text_of (l, "process")));
  /* Failures of single store calls are left out: there are dozens while the
     store is unreachable.  */
  if (!strcmp (l->event, "store.lost") || !strcmp (l->event, "store.regained")
      || g_str_has_prefix (l->event, "process.")
      || g_str_has_prefix (l->event, "config."))
    return g_hash_table_contains (s->processes, text_of (l, "process"));
  return !strcmp (l->event, "entry.gone")
         || (s->has_usage && g_str_has_prefix (l->event, "duties."));
}

static void
select_related (struct selection *s)
{
  for (guint i = 0; i < s->lines->len; i++)
    {
      struct log_line *l = g_ptr_array_index (s->lines, i);

      if (!l->selected && is_around (s, l) && is_related (s, l))
        l->selected = true;
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
print_line (const struct wy_ctl *ctl, const struct selection *s,
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
print_selection (const struct wy_ctl *ctl, struct selection *s, const char *id)
{
  uint32_t n = select_naming (s, id);

  if (n == 0)
    {
      fprintf (stderr, "wyctl: no log line names %s\n", id);
      return WY_CTL_FAILED;
    }
  select_jobs (s);
  select_related (s);
  for (guint i = 0; i < s->lines->len; i++)
    {
      const struct log_line *l = g_ptr_array_index (s->lines, i);

      if (l->selected)
        print_line (ctl, s, l);
    }
  if (s->unreadable)
    fprintf (stderr,
             "wyctl: skipped %u lines that are not complete log lines\n",
             s->unreadable);
  return WY_CTL_OK;
}

/* Print the lines about the id ARGS[0] from the log files that follow it.  */
int
wy_ctl_explain (const struct wy_ctl *ctl, char **args, int n)
{
  struct selection s = { .lines = g_ptr_array_new_with_free_func (free_line),
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
    rc = print_selection (ctl, &s, args[0]);
  g_ptr_array_free (s.lines, TRUE);
  g_hash_table_destroy (s.jobs);
  g_hash_table_destroy (s.targets);
  g_hash_table_destroy (s.services);
  g_hash_table_destroy (s.processes);
  return rc;
}
