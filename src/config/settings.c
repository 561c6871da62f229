/* Loader of settings files, on libyaml.

   libcyaml validates against a schema too, but reports an invalid value as a
   backtrace of nested entries.  Operators get one line that names the file,
   the line and what is allowed, so the nodes of libyaml, which have a line
   number, are checked here against the table.  */
#include "config/settings.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <yaml.h>

struct loader
{
  const char *path;
  yaml_document_t doc;
  const struct wy_setting *table;
  size_t n;
  void *out;
  GString *errors;
  bool failed;
};

static void
add_error (struct loader *l, size_t line, const char *key, const char *what,
           const char *allowed)
{
  l->failed = true;
  g_string_append_printf (l->errors, "%s:%zu: %s: %s, %s\n", l->path, line,
                          key, what, allowed);
}

static char *
describe_allowed (const struct wy_setting *s)
{
  char *list;
  char *text;

  switch (s->kind)
    {
    case WY_SETTING_STRING:
      return g_strdup ("a text is allowed");
    case WY_SETTING_INTEGER:
      return g_strdup_printf ("a whole number from %.0f to %.0f is allowed",
                              s->min, s->max);
    case WY_SETTING_REAL:
      return g_strdup_printf ("a number from %g to %g is allowed", s->min,
                              s->max);
    case WY_SETTING_BOOL:
      return g_strdup ("true or false is allowed");
    case WY_SETTING_CHOICE:
      list = g_strjoinv (", ", (char **)s->choices);
      text = g_strdup_printf ("one of %s is allowed", list);
      g_free (list);
      return text;
    case WY_SETTING_LIST:
      return g_strdup ("a list of texts is allowed");
    }
  return g_strdup ("");
}

static bool
parse_integer (const struct wy_setting *s, const char *v, void *field)
{
  char *end;
  long long n;

  errno = 0;
  n = strtoll (v, &end, 10);
  if (errno || end == v || *end || (double)n < s->min || (double)n > s->max)
    return false;
  *(int64_t *)field = n;
  return true;
}

static bool
parse_real (const struct wy_setting *s, const char *v, void *field)
{
  char *end;
  double x;

  errno = 0;
  x = strtod (v, &end);
  if (errno || end == v || *end || isnan (x) || x < s->min || x > s->max)
    return false;
  *(double *)field = x;
  return true;
}

static bool
parse_bool (const char *v, void *field)
{
  bool on = !strcmp (v, "true");

  if (!on && strcmp (v, "false") != 0)
    return false;
  *(bool *)field = on;
  return true;
}

static bool
parse_choice (const struct wy_setting *s, const char *v, void *field)
{
  for (int64_t i = 0; s->choices[i]; i++)
    if (!strcmp (s->choices[i], v))
      {
        *(int64_t *)field = i;
        return true;
      }
  return false;
}

/* Parse the scalar V of setting S into FIELD.  Returns false if V is not
   allowed.  */
static bool
parse_scalar (const struct wy_setting *s, const char *v, void *field)
{
  switch (s->kind)
    {
    case WY_SETTING_STRING:
      g_free (*(char **)field);
      *(char **)field = g_strdup (v);
      return true;
    case WY_SETTING_INTEGER:
      return parse_integer (s, v, field);
    case WY_SETTING_REAL:
      return parse_real (s, v, field);
    case WY_SETTING_BOOL:
      return parse_bool (v, field);
    case WY_SETTING_CHOICE:
      return parse_choice (s, v, field);
    case WY_SETTING_LIST:
      return false;
    }
  return false;
}

static bool
parse_list (struct loader *l, const yaml_node_t *node, void *field)
{
  GPtrArray *list = *(GPtrArray **)field;

  g_ptr_array_set_size (list, 0);
  for (yaml_node_item_t *i = node->data.sequence.items.start;
       i < node->data.sequence.items.top; i++)
    {
      yaml_node_t *item = yaml_document_get_node (&l->doc, *i);
      if (item->type != YAML_SCALAR_NODE)
        return false;
      g_ptr_array_add (list, g_strdup ((char *)item->data.scalar.value));
    }
  return true;
}

static void
load_value (struct loader *l, const struct wy_setting *s,
            const yaml_node_t *node)
{
  void *field = (char *)l->out + s->offset;
  bool ok = false;
  char *allowed;

  if (node->type == YAML_SCALAR_NODE)
    ok = parse_scalar (s, (char *)node->data.scalar.value, field);
  else if (node->type == YAML_SEQUENCE_NODE && s->kind == WY_SETTING_LIST)
    ok = parse_list (l, node, field);
  if (ok)
    return;
  allowed = describe_allowed (s);
  add_error (l, node->start_mark.line + 1, s->key, "invalid value", allowed);
  g_free (allowed);
}

static void
set_defaults (struct loader *l)
{
  for (size_t i = 0; i < l->n; i++)
    {
      const struct wy_setting *s = &l->table[i];
      void *field = (char *)l->out + s->offset;

      if (s->kind == WY_SETTING_LIST)
        *(GPtrArray **)field = g_ptr_array_new_with_free_func (g_free);
      else if (s->default_value)
        parse_scalar (s, s->default_value, field);
    }
}

static void
load_pair (struct loader *l, const yaml_node_pair_t *pair, bool *given)
{
  yaml_node_t *key = yaml_document_get_node (&l->doc, pair->key);
  yaml_node_t *value = yaml_document_get_node (&l->doc, pair->value);
  size_t line = key->start_mark.line + 1;
  const char *name;

  if (key->type != YAML_SCALAR_NODE)
    {
      add_error (l, line, "?", "not a key", "a text is allowed");
      return;
    }
  name = (char *)key->data.scalar.value;
  for (size_t i = 0; i < l->n; i++)
    if (!strcmp (l->table[i].key, name))
      {
        if (given[i])
          add_error (l, line, name, "given twice", "one value is allowed");
        given[i] = true;
        load_value (l, &l->table[i], value);
        return;
      }
  add_error (l, line, name, "unknown key", "see docs/CONFIG.md for the keys");
}

static void
load_mapping (struct loader *l, const yaml_node_t *root)
{
  bool *given = g_new0 (bool, l->n);

  for (yaml_node_pair_t *p = root->data.mapping.pairs.start;
       p < root->data.mapping.pairs.top; p++)
    load_pair (l, p, given);
  for (size_t i = 0; i < l->n; i++)
    if (!given[i] && !l->table[i].default_value
        && l->table[i].kind != WY_SETTING_LIST)
      add_error (l, root->start_mark.line + 1, l->table[i].key, "missing",
                 "the key must be given");
  g_free (given);
}

static int
load_document (struct loader *l, const char *text, size_t size_bytes)
{
  yaml_parser_t parser;
  yaml_node_t *root;
  int err = 0;

  if (!yaml_parser_initialize (&parser))
    return WY_CONFIG_ESYNTAX;
  yaml_parser_set_input_string (&parser, (const unsigned char *)text,
                                size_bytes);
  if (!yaml_parser_load (&parser, &l->doc))
    {
      g_string_append_printf (l->errors, "%s:%zu: ?: %s, YAML is allowed\n",
                              l->path, parser.problem_mark.line + 1,
                              parser.problem ? parser.problem : "not YAML");
      yaml_parser_delete (&parser);
      return WY_CONFIG_ESYNTAX;
    }
  root = yaml_document_get_root_node (&l->doc);
  if (root && root->type == YAML_MAPPING_NODE)
    load_mapping (l, root);
  else
    {
      add_error (l, 1, "?", "not a mapping", "key: value lines are allowed");
      err = WY_CONFIG_ESYNTAX;
    }
  yaml_document_delete (&l->doc);
  yaml_parser_delete (&parser);
  return err ? err : l->failed ? WY_CONFIG_EVALUE : 0;
}

/* Load the SIZE_BYTES of YAML at TEXT into the struct OUT, which must be
   zeroed, as described by the N rows of TABLE.  Each error is appended to
   ERRORS as a line "PATH:LINE: key: error, what is allowed".  Returns 0,
   WY_CONFIG_ESYNTAX or WY_CONFIG_EVALUE; OUT needs wy_settings_free in any
   case.  */
int
wy_settings_parse (const char *path, const char *text, size_t size_bytes,
                   const struct wy_setting *table, size_t n, void *out,
                   GString *errors)
{
  struct loader l
      = { .path = path, .table = table, .n = n, .out = out, .errors = errors };

  set_defaults (&l);
  return load_document (&l, text, size_bytes);
}

/* Like wy_settings_parse, from the file PATH; also returns
   WY_CONFIG_EOPEN.  */
int
wy_settings_load (const char *path, const struct wy_setting *table, size_t n,
                  void *out, GString *errors)
{
  char *text = NULL;
  gsize size = 0;
  GError *error = NULL;
  int err;

  if (!g_file_get_contents (path, &text, &size, &error))
    {
      g_string_append_printf (errors, "%s:0: ?: %s, a file is allowed\n", path,
                              error->message);
      g_error_free (error);
      return WY_CONFIG_EOPEN;
    }
  err = wy_settings_parse (path, text, size, table, n, out, errors);
  g_free (text);
  return err;
}

/* Free the strings and lists that wy_settings_load stored in OUT.  */
void
wy_settings_free (const struct wy_setting *table, size_t n, void *out)
{
  for (size_t i = 0; i < n; i++)
    {
      void *field = (char *)out + table[i].offset;

      if (table[i].kind == WY_SETTING_STRING)
        g_clear_pointer ((char **)field, g_free);
      else if (table[i].kind == WY_SETTING_LIST && *(GPtrArray **)field)
        g_ptr_array_free (*(GPtrArray **)field, TRUE);
    }
}

/* Append a row of a Markdown table per setting to OUT.  */
void
wy_settings_describe (const struct wy_setting *table, size_t n, GString *out)
{
  for (size_t i = 0; i < n; i++)
    {
      const struct wy_setting *s = &table[i];
      char *allowed = describe_allowed (s);

      g_string_append_printf (out, "| `%s` | %s | %s | %s | %s |\n", s->key,
                              s->unit ? s->unit : "",
                              s->default_value             ? s->default_value
                              : s->kind == WY_SETTING_LIST ? "empty"
                                                           : "must be given",
                              allowed, s->help);
      g_free (allowed);
    }
}
