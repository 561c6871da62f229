/* Parser of the configuration document.  It reports all errors and where they
   are, not only the first, so that an operator can correct them in one
   edit.  */
#include "config/document.h"

#include <math.h>
#include <stdarg.h>
#include <string.h>

enum
{
  NAME_MAX_BYTES = 64,
  /* In weight versions; a larger bound is taken for a mistake.  */
  STALENESS_BOUND_MAX = 1000
};

struct parser
{
  GString *errors;
  bool failed;
};

static void add_error (struct parser *p, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

static void
add_error (struct parser *p, const char *fmt, ...)
{
  va_list ap;

  p->failed = true;
  if (!p->errors)
    return;
  if (p->errors->len)
    g_string_append (p->errors, "; ");
  va_start (ap, fmt);
  g_string_append_vprintf (p->errors, fmt, ap);
  va_end (ap);
}

/* Names become parts of row keys and paths.  */
static bool
is_valid_name (const char *s)
{
  if (!s || !*s || strlen (s) > NAME_MAX_BYTES)
    return false;
  for (; *s; s++)
    if (!g_ascii_isalnum (*s) && !strchr ("._-", *s))
      return false;
  return true;
}

static char *
parse_name (struct parser *p, const json_t *x, const char *where)
{
  const char *s = json_string_value (x);

  if (!is_valid_name (s))
    {
      add_error (p, "%s: must be a name of letters, digits, '.', '_', '-'",
                 where);
      s = "";
    }
  return g_strdup (s);
}

static gint
compare_strings (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}

static GPtrArray *
parse_names (struct parser *p, const json_t *list, const char *where)
{
  GPtrArray *out = g_ptr_array_new_with_free_func (g_free);

  if (list && !json_is_array (list))
    add_error (p, "%s: must be a list", where);
  for (size_t i = 0; i < json_array_size (list); i++)
    g_ptr_array_add (out, parse_name (p, json_array_get (list, i), where));
  g_ptr_array_sort (out, compare_strings);
  for (guint i = 1; i < out->len; i++)
    if (!strcmp (out->pdata[i - 1], out->pdata[i]))
      add_error (p, "%s: \"%s\" is listed twice", where,
                 (char *)out->pdata[i]);
  return out;
}

static void
check_keys (struct parser *p, const json_t *x, const char *where,
            const char *const *known)
{
  const char *key;
  json_t *value;

  if (!json_is_object (x))
    {
      add_error (p, "%s: must be an object", where);
      return;
    }
  json_object_foreach ((json_t *)x, key, value)
  {
    if (!g_strv_contains (known, key))
      add_error (p, "%s: unknown key \"%s\"", where, key);
  }
}

static struct wy_model_config *
parse_model (struct parser *p, const json_t *x)
{
  static const char *const known[] = { "name", NULL };
  struct wy_model_config *m = g_new0 (struct wy_model_config, 1);

  check_keys (p, x, "models", known);
  m->name = parse_name (p, json_object_get (x, "name"), "models: name");
  return m;
}

static struct wy_service_config *
parse_service (struct parser *p, const json_t *x)
{
  static const char *const known[]
      = { "name", "members", "previous", "effective_ms", NULL };
  struct wy_service_config *s = g_new0 (struct wy_service_config, 1);

  check_keys (p, x, "services", known);
  s->name = parse_name (p, json_object_get (x, "name"), "services: name");
  s->members
      = parse_names (p, json_object_get (x, "members"), "services: members");
  s->previous
      = parse_names (p, json_object_get (x, "previous"), "services: previous");
  s->effective_ms = json_integer_value (json_object_get (x, "effective_ms"));
  return s;
}

static struct wy_trainer_config *
parse_trainer (struct parser *p, const json_t *x)
{
  static const char *const known[] = { "name", "worth", NULL };
  struct wy_trainer_config *t = g_new0 (struct wy_trainer_config, 1);
  const json_t *worth = json_object_get (x, "worth");

  check_keys (p, x, "trainers", known);
  t->name = parse_name (p, json_object_get (x, "name"), "trainers: name");
  t->worth = worth ? json_number_value (worth) : 1;
  if (!(t->worth > 0) || !isfinite (t->worth))
    add_error (p, "trainers: worth: must be a number above 0");
  return t;
}

static void
parse_weighs (struct parser *p, const json_t *x, struct wy_yard_config *y)
{
  const char *s = json_string_value (json_object_get (x, "weighs"));

  if (!s || !strcmp (s, "staleness"))
    y->weighs = WY_WEIGHS_STALENESS;
  else if (!strcmp (s, "idle"))
    y->weighs = WY_WEIGHS_IDLE;
  else
    add_error (p, "yards: weighs: must be \"staleness\" or \"idle\"");
}

static void
parse_staleness_bound (struct parser *p, const json_t *x,
                       struct wy_yard_config *y)
{
  const json_t *bound = json_object_get (x, "staleness_bound");
  json_int_t n = json_integer_value (bound);

  if (!json_is_integer (bound) || n < 0 || n > STALENESS_BOUND_MAX)
    {
      add_error (
          p,
          "yards: staleness_bound: must be an integer number of versions, "
          "0 to %d",
          STALENESS_BOUND_MAX);
      return;
    }
  y->staleness_bound = (uint32_t)n;
}

static struct wy_yard_config *
parse_yard (struct parser *p, const json_t *x)
{
  static const char *const known[]
      = { "name",    "model",    "weighs", "staleness_bound",
          "scoring", "trainers", NULL };
  struct wy_yard_config *y = g_new0 (struct wy_yard_config, 1);
  const json_t *trainers = json_object_get (x, "trainers");
  const char *scoring = json_string_value (json_object_get (x, "scoring"));

  check_keys (p, x, "yards", known);
  y->name = parse_name (p, json_object_get (x, "name"), "yards: name");
  y->model = parse_name (p, json_object_get (x, "model"), "yards: model");
  parse_weighs (p, x, y);
  parse_staleness_bound (p, x, y);
  y->scoring = g_strdup (scoring ? scoring : "");
  if (scoring && !strchr (scoring, ':'))
    add_error (p, "yards: scoring: must be \"host:port\"");
  y->trainers = g_ptr_array_new ();
  for (size_t i = 0; i < json_array_size (trainers); i++)
    g_ptr_array_add (y->trainers,
                     parse_trainer (p, json_array_get (trainers, i)));
  return y;
}

static void
check_yards (struct parser *p, const struct wy_document *d)
{
  for (guint i = 0; i < d->yards->len; i++)
    {
      const struct wy_yard_config *y = d->yards->pdata[i];

      if (!wy_document_model (d, y->model))
        add_error (p, "yards: %s: no model \"%s\" in the document", y->name,
                   y->model);
      if (wy_document_yard (d, y->name) != y)
        add_error (p, "yards: \"%s\" is listed twice", y->name);
      for (guint k = 0; k < y->trainers->len; k++)
        {
          const struct wy_trainer_config *t = y->trainers->pdata[k];
          if (wy_yard_config_trainer (y, t->name) != t)
            add_error (p, "yards: %s: trainer \"%s\" is listed twice", y->name,
                       t->name);
        }
    }
}

static void
check_names (struct parser *p, const struct wy_document *d)
{
  for (guint i = 0; i < d->services->len; i++)
    {
      const struct wy_service_config *s = d->services->pdata[i];
      if (wy_document_service (d, s->name) != s)
        add_error (p, "services: \"%s\" is listed twice", s->name);
    }
  for (guint i = 0; i < d->models->len; i++)
    {
      const struct wy_model_config *m = d->models->pdata[i];
      if (wy_document_model (d, m->name) != m)
        add_error (p, "models: \"%s\" is listed twice", m->name);
    }
  check_yards (p, d);
}

static const json_t *
get_list (struct parser *p, const json_t *json, const char *key)
{
  const json_t *list = json_object_get (json, key);

  if (list && !json_is_array (list))
    add_error (p, "%s: must be a list", key);
  return list;
}

/* Parse JSON into OUT, which the caller frees.  Returns 0, or
   WY_CONFIG_EVALUE with all errors appended to ERRORS, which may be NULL.  */
int
wy_document_parse (struct wy_document **out, const json_t *json,
                   GString *errors)
{
  static const char *const known[]
      = { "models", "services", "yards", "drained", "unblocked", NULL };
  struct parser p = { .errors = errors };
  struct wy_document *d = g_new0 (struct wy_document, 1);
  const json_t *list;

  check_keys (&p, json, "document", known);
  d->models = g_ptr_array_new ();
  d->services = g_ptr_array_new ();
  d->yards = g_ptr_array_new ();
  list = get_list (&p, json, "models");
  for (size_t i = 0; i < json_array_size (list); i++)
    g_ptr_array_add (d->models, parse_model (&p, json_array_get (list, i)));
  list = get_list (&p, json, "services");
  for (size_t i = 0; i < json_array_size (list); i++)
    g_ptr_array_add (d->services,
                     parse_service (&p, json_array_get (list, i)));
  list = get_list (&p, json, "yards");
  for (size_t i = 0; i < json_array_size (list); i++)
    g_ptr_array_add (d->yards, parse_yard (&p, json_array_get (list, i)));
  d->drained = parse_names (&p, json_object_get (json, "drained"), "drained");
  d->unblocked
      = parse_names (&p, json_object_get (json, "unblocked"), "unblocked");
  check_names (&p, d);
  if (!p.failed)
    {
      *out = d;
      return 0;
    }
  wy_document_free (d);
  return WY_CONFIG_EVALUE;
}

/* Like wy_document_parse, from the SIZE_BYTES of TEXT; also returns
   WY_CONFIG_ESYNTAX, if TEXT is not JSON.  */
int
wy_document_parse_text (struct wy_document **out, const char *text,
                        size_t size_bytes, GString *errors)
{
  json_error_t error;
  json_t *json = json_loadb (text, size_bytes, JSON_REJECT_DUPLICATES, &error);
  int err;

  if (!json)
    {
      if (errors)
        g_string_append_printf (errors, "line %d: %s", error.line, error.text);
      return WY_CONFIG_ESYNTAX;
    }
  err = wy_document_parse (out, json, errors);
  json_decref (json);
  return err;
}
