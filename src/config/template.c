/* Validation of settings templates before they are deployed.

   A template has placeholders {{name}}; {{#name}} and {{/name}} enclose a
   repeated part, and {{,}} stands for the separator of repetitions.  The
   values are known only at deployment, so each placeholder is filled with a
   sample value that its setting allows.  Loading the result then finds
   unknown and missing keys and invalid literal values; unterminated
   placeholders are found here.  */
#include "config/template.h"

#include <string.h>

static const char sample_string[] = "127.0.0.1:1";

/* The setting whose key LINE begins with, or NULL.  An optional line has a
   {{#name}} before the key.  */
static const struct wy_setting *
find_setting (const char *line, const struct wy_setting *table, size_t n)
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
      g_string_append (out, sample_string);
      return;
    }
  switch (s->kind)
    {
    case WY_SETTING_STRING:
    case WY_SETTING_LIST:
      g_string_append (out, sample_string);
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

/* Append the value for the placeholder NAME of N bytes; section marks and
   separators have none.  */
static void
fill_placeholder (GString *out, const char *name, size_t n,
                  const struct wy_setting *s)
{
  bool mark = n && (*name == '#' || *name == '/' || *name == ',');

  if (!mark)
    append_sample (out, s);
}

/* Append LINE of N bytes with its placeholders filled.  Adds to DEPTH for each
   section that begins and subtracts for each that ends.  Returns false if a
   placeholder is unterminated or empty, or a section ends that is not
   open.  */
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
      fill_placeholder (out, open + 2, (size_t)(close - open) - 2, s);
      line = close + 2;
    }
  g_string_append_len (out, line, end - line);
  return true;
}

/* TEXT, the template at PATH, with sample values in its placeholders; line
   numbers stay the same.  The caller frees the result.  Returns NULL if a
   placeholder or section is malformed, with the error appended to ERRORS.  */
char *
wy_template_fill_samples (const char *path, const char *text,
                          const struct wy_setting *table, size_t n,
                          GString *errors)
{
  GString *out = g_string_new (NULL);
  size_t line_number = 1;
  bool ok = true;

  for (const char *line = text; *line; line_number++)
    {
      size_t size = strcspn (line, "\n");
      const struct wy_setting *s = find_setting (line, table, n);
      int depth = 0;

      if (!fill_line (out, line, size, s, &depth) || depth != 0)
        {
          g_string_append_printf (
              errors,
              "%s:%zu: %s: placeholder not closed, {{name}} is allowed\n",
              path, line_number, s ? s->key : "?");
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
