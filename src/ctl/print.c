/* JSON responses as text: a line for each scalar, a table for a list of
   objects.  */
#include "ctl/ctl.h"

#include <stdlib.h>
#include <string.h>

static char *
cell (const json_t *v)
{
  char *raw;
  char *text;

  if (!v || json_is_null (v))
    return g_strdup ("-");
  if (json_is_string (v))
    return g_strdup (json_string_value (v));
  raw = json_dumps (v,
                    JSON_ENCODE_ANY | JSON_COMPACT | JSON_REAL_PRECISION (6));
  text = g_strdup (raw);
  free (raw);
  return text;
}

static size_t
column_width (const json_t *rows, const char *key)
{
  size_t width = strlen (key);
  size_t i;
  json_t *row;

  json_array_foreach (rows, i, row)
  {
    char *c = cell (json_object_get (row, key));
    if (strlen (c) > width)
      width = strlen (c);
    g_free (c);
  }
  return width;
}

static void
print_table (FILE *f, const json_t *rows)
{
  json_t *first = json_array_get (rows, 0);
  size_t i;
  json_t *row;
  const char *key;
  json_t *value;

  json_object_foreach (first, key, value)
      fprintf (f, "%-*s  ", (int)column_width (rows, key), key);
  fputc ('\n', f);
  json_array_foreach (rows, i, row)
  {
    json_object_foreach (first, key, value)
    {
      char *c = cell (json_object_get (row, key));
      fprintf (f, "%-*s  ", (int)column_width (rows, key), c);
      g_free (c);
    }
    fputc ('\n', f);
  }
}

static void
print_list (FILE *f, const json_t *list)
{
  size_t i;
  json_t *item;

  json_array_foreach (list, i, item)
  {
    char *c = cell (item);
    fprintf (f, "  %s\n", c);
    g_free (c);
  }
}

/* Print the JSON value O on F as text.  */
void
wy_ctl_print (FILE *f, const json_t *o)
{
  const char *key;
  json_t *v;
  char *c;

  if (!json_is_object (o))
    {
      c = cell (o);
      fprintf (f, "%s\n", c);
      g_free (c);
      return;
    }
  json_object_foreach ((json_t *)o, key, v)
  {
    if (json_is_array (v) && json_is_object (json_array_get (v, 0)))
      {
        fprintf (f, "%s:\n", key);
        print_table (f, v);
      }
    else if (json_is_array (v))
      {
        fprintf (f, "%s:%s\n", key, json_array_size (v) ? "" : " none");
        print_list (f, v);
      }
    else
      {
        c = cell (v);
        fprintf (f, "%s: %s\n", key, c);
        g_free (c);
      }
  }
}
