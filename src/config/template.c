/* Checks a template of settings before anything is deployed from it.

   Places are written {{name}}; {{#name}} and {{/name}} enclose what is
   repeated, {{,}} what stands between.  Whoever deploys knows the values, so
   the check puts a sample that the setting allows into each place: what is
   left to be found are unknown and missing keys, values written out, and
   places that do not close.  */
#include "config/template.h"

#include <string.h>

static const char text_sample[] = "127.0.0.1:1";

/* The setting that LINE sets; a line that is there only where a value is
   begins with the place that says so.  */
static const struct wy_setting *
setting_of (const char *line, const struct wy_setting *table, size_t n)
{
  const char *close
      = g_str_has_prefix (line, "{{#") ? strstr (line, "}}") : NULL;
  size_t key;

  if (close)
    line = close + 2;
  key = strcspn (line, ": ");

  for (size_t i = 0; i < n; i++)
    if (strlen (table[i].key) == key && !strncmp (table[i].key, line, key))
      return &table[i];
  return NULL;
}

static void
append_sample (GString *out, const struct wy_setting *s)
{
  if (!s)
    {
      g_string_append (out, text_sample);
      return;
    }
  switch (s->kind)
    {
    case WY_SETTING_STRING:
    case WY_SETTING_LIST:
      g_string_append (out, text_sample);
      break;
    case WY_SETTING_INTEGER:
      g_string_append_printf (out, "%.0f", s->min);
      break;
    case WY_SETTING_REAL:
      g_string_append_printf (out, "%g", s->min);
      break;
    case WY_SETTING_BOOL:
      g_string_append (out, "true");
      break;
    case WY_SETTING_CHOICE:
      g_string_append (out, s->choices[0]);
      break;
    }
}

/* What stands for the place NAME of N bytes.  */
static void
fill (GString *out, const char *name, size_t n, const struct wy_setting *s)
{
  bool mark = n && (*name == '#' || *name == '/' || *name == ',');

  if (!mark)
    append_sample (out, s);
}

/* Append LINE of N bytes with its places filled.  False: one does not close,
   or is empty.  */
static bool
fill_line (GString *out, const char *line, size_t n,
           const struct wy_setting *s, int *depth)
{
  const char *end = line + n;

  while (line < end)
    {
      const char *open = memmem (line, (size_t)(end - line), "{{", 2);
      const char *close;

      if (!open)
        break;
      close = memmem (open, (size_t)(end - open), "}}", 2);
      if (!close || close == open + 2)
        return false;
      g_string_append_len (out, line, open - line);
      *depth += open[2] == '#' ? 1 : open[2] == '/' ? -1 : 0;
      if (*depth < 0)
        return false;
      fill (out, open + 2, (size_t)(close - open) - 2, s);
      line = close + 2;
    }
  g_string_append_len (out, line, end - line);
  return true;
}

/* TEXT, the template at PATH, with a sample in each place, line for line; the
   caller frees it.  NULL: a place is wrong, and ERRORS says which.  */
char *
wy_template_fill_samples (const char *path, const char *text,
                          const struct wy_setting *table, size_t n,
                          GString *errors)
{
  GString *out = g_string_new (NULL);
  size_t number = 1;
  bool ok = true;

  for (const char *line = text; *line; number++)
    {
      size_t size = strcspn (line, "\n");
      const struct wy_setting *s = setting_of (line, table, n);
      int depth = 0;

      if (!fill_line (out, line, size, s, &depth) || depth != 0)
        {
          g_string_append_printf (
              errors, "%s:%zu: %s: place not closed, {{name}} is allowed\n",
              path, number, s ? s->key : "?");
          ok = false;
        }
      line += size;
      if (*line == '\n')
        {
          g_string_append_c (out, '\n');
          line++;
        }
    }
  if (ok)
    return g_string_free (out, FALSE);
  g_string_free (out, TRUE);
  return NULL;
}
