/* Timeline of all processes in the Chrome trace format: a row per process, a
   bar per run and per request, an instant event for everything else.  */
#include "ctl/chrome.h"

#include <string.h>

#include "ctl/ctl.h"

enum
{
  US_PER_MS = 1000,
  TIMESTAMP_COUNTER_MASK = 0xffff
};

/* A pair of events that the trace shows as a bar.  */
struct bar
{
  const char *begins;
  const char *ends[4];
  const char *id; /* field that joins begin and end */
  const char *category;
};

static const struct bar bars[] = {
  { "run.start", { "run.end" }, "run", "run" },
  { "request.received",
    { "request.answered", "request.refused", "request.broken",
      "request.abandoned" },
    "req",
    "request" },
};

static const char *
phase_of (const struct wy_event *e, const struct bar **bar)
{
  for (size_t i = 0; i < G_N_ELEMENTS (bars); i++)
    {
      *bar = &bars[i];
      if (!strcmp (e->name, bars[i].begins))
        return "b";
      for (size_t k = 0; k < G_N_ELEMENTS (bars[i].ends); k++)
        if (bars[i].ends[k] && !strcmp (e->name, bars[i].ends[k]))
          return "e";
    }
  *bar = NULL;
  return "i";
}

static json_int_t
row_of (GHashTable *rows, json_t *out, const char *process)
{
  gpointer row = g_hash_table_lookup (rows, process);

  if (row)
    return GPOINTER_TO_INT (row);
  row = GINT_TO_POINTER ((int)g_hash_table_size (rows) + 1);
  g_hash_table_insert (rows, (char *)process, row);
  json_array_append_new (out, json_pack ("{s:s, s:s, s:i, s:{s:s}}", "ph", "M",
                                         "name", "process_name", "pid",
                                         GPOINTER_TO_INT (row), "args", "name",
                                         process));
  return GPOINTER_TO_INT (row);
}

/* The events of T as a Chrome trace, to be freed with json_decref.  */
json_t *
wy_chrome_trace (const struct wy_timeline *t)
{
  json_t *out = json_array ();
  GHashTable *rows = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < t->events->len; i++)
    {
      const struct wy_event *e = t->events->pdata[i];
      const struct bar *bar;
      const char *ph = phase_of (e, &bar);
      json_int_t row = row_of (rows, out, e->process);
      json_int_t us
          = wy_event_ms (e) * US_PER_MS
            + (json_int_t)(e->hlc & TIMESTAMP_COUNTER_MASK) % US_PER_MS;
      json_t *o = json_pack ("{s:s, s:I, s:I, s:i, s:s, s:O}", "ph", ph, "ts",
                             us, "pid", row, "tid", 1, "name",
                             bar ? bar->category : e->name, "args", e->fields);

      if (bar)
        {
          json_object_set_new (o, "cat", json_string (bar->category));
          json_object_set_new (o, "id",
                               json_string (wy_event_text (e, bar->id)));
        }
      else
        json_object_set_new (o, "s", json_string ("p"));
      json_array_append_new (out, o);
    }
  g_hash_table_destroy (rows);
  return json_pack ("{s:o, s:s}", "traceEvents", out, "displayTimeUnit", "ms");
}

/* Write the timeline of the N files at PATHS to the file OUT.  Returns an enum
   wy_ctl_exit.  */
int
wy_ctl_chrome (const char *out, const char *const *paths, int n)
{
  struct wy_timeline t;
  GString *error = g_string_new (NULL);
  json_t *trace;
  int rc = WY_CTL_USAGE;

  wy_timeline_init (&t);
  if (n < 1 || wy_timeline_load (&t, paths, (size_t)n, error))
    {
      fprintf (stderr, "wyctl: %s",
               n < 1 ? "timeline files are needed\n" : error->str);
      goto end;
    }
  trace = wy_chrome_trace (&t);
  rc = json_dump_file (trace, out, JSON_COMPACT) ? WY_CTL_FAILED : WY_CTL_OK;
  json_decref (trace);
end:
  wy_timeline_free (&t);
  g_string_free (error, TRUE);
  return rc;
}
