/* Request bodies of completions and parsing of their event streams.  */
#include "entry/completion_text.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/id.h"
#include "entry/entry.h"

enum
{
  /* Prompts that have this many first bytes in common are taken to share a
     cached prefix: enough to cover an application's common preamble, short
     enough to end before its questions differ.  */
  PREFIX_BYTES = 256,
  DECIMAL = 10,
  DIGITS_MAX = 18
};

/* Write to OUT the JSON request body for the engine: C with request id ID.  */
void
wy_completion_body (const struct wy_completion_params *c, const char *id,
                    GString *out)
{
  json_t *j = json_pack ("{s:s, s:s, s:s, s:I}", "request_id", id, "model",
                         c->model, "prompt", c->prompt, "max_tokens",
                         (json_int_t)c->max_tokens);
  char *text;

  if (c->min_version)
    json_object_set_new (j, "min_version", json_integer (c->min_version));
  text = json_dumps (j, JSON_COMPACT);
  g_string_assign (out, text);
  free (text);
  json_decref (j);
}

/* Hash of the prefix of PROMPT that other prompts may share; 0 when PROMPT is
   too short for caching to matter.  */
uint64_t
wy_completion_prefix (const char *prompt)
{
  if (strnlen (prompt, PREFIX_BYTES) < PREFIX_BYTES)
    return 0;
  return wy_hash64 (prompt, PREFIX_BYTES, 0);
}

struct events
{
  GString *text;
  char *run;
  json_int_t next;
  bool done;
};

/* A parsed token event.  The texts are borrowed and not NUL-terminated.  */
struct event
{
  const char *run;
  const char *text;
  size_t run_n;
  size_t text_n;
  json_int_t i;
};

static bool
skip_literal (const char **p, const char *end, const char *what)
{
  size_t n = strlen (what);

  if ((size_t)(end - *p) < n || memcmp (*p, what, n) != 0)
    return false;
  *p += n;
  return true;
}

/* Reads a JSON string without escapes, up to and including the closing
   quote.  */
static bool
read_plain_string (const char **p, const char *end, const char **text,
                   size_t *n)
{
  *text = *p;
  while (*p < end && **p != '"' && **p != '\\' && (unsigned char)**p >= ' ')
    ++*p;
  *n = (size_t)(*p - *text);
  return skip_literal (p, end, "\"");
}

static bool
read_digits (const char **p, const char *end, json_int_t *out)
{
  const char *from = *p;

  for (*out = 0; *p < end && g_ascii_isdigit (**p) && *p - from < DIGITS_MAX;
       ++*p)
    *out = *out * DECIMAL + (**p - '0');
  return *p > from;
}

/* Parses a token event of N bytes at P in the exact form that engines write.
   There is one event per token, and parsing all of them with a JSON parser
   dominated the entry's CPU time for a response.  Returns false for any other
   form, which is left to the JSON parser.  */
static bool
parse_plain_event (const char *p, size_t n, struct event *out)
{
  const char *end = p + n;
  json_int_t version;

  while (p < end && *p == ' ')
    p++;
  return skip_literal (&p, end, "{\"run\":\"")
         && read_plain_string (&p, end, &out->run, &out->run_n)
         && skip_literal (&p, end, ",\"i\":") && read_digits (&p, end, &out->i)
         && skip_literal (&p, end, ",\"text\":\"")
         && read_plain_string (&p, end, &out->text, &out->text_n)
         && skip_literal (&p, end, ",\"version\":")
         && read_digits (&p, end, &version) && skip_literal (&p, end, "}")
         && p == end;
}

static int
append_token (struct events *v, const struct event *e)
{
  if (v->done || e->i != v->next++)
    return WY_ENTRY_ERESPONSE;
  if (!v->run)
    v->run = g_strndup (e->run, e->run_n);
  else if (strlen (v->run) != e->run_n
           || memcmp (v->run, e->run, e->run_n) != 0)
    return WY_ENTRY_ERESPONSE;
  g_string_append_len (v->text, e->text, (gssize)e->text_n);
  return 0;
}

static int
handle_event (struct events *v, const char *p, size_t n)
{
  struct event e = { 0 };
  json_t *j;
  int err = WY_ENTRY_ERESPONSE;

  if (parse_plain_event (p, n, &e))
    return append_token (v, &e);
  j = json_loadb (p, n, 0, NULL);
  e.run = json_string_value (json_object_get (j, "run"));
  e.text = json_string_value (json_object_get (j, "text"));
  e.i = json_integer_value (json_object_get (j, "i"));
  if (e.run && json_is_true (json_object_get (j, "done")))
    {
      if (!v->done && (!v->run || !strcmp (v->run, e.run)))
        err = 0;
      v->done = true;
    }
  else if (e.run && e.text)
    {
      e.run_n = strlen (e.run);
      e.text_n = strlen (e.text);
      err = append_token (v, &e);
    }
  json_decref (j);
  return err;
}

/* Append to OUT the text of the completion that EVENTS, a complete event
   stream, contains.  Returns WY_ENTRY_ERESPONSE unless these are the events of
   one run, in order and complete: mixed tokens of two runs must not pass
   unnoticed.  */
int
wy_completion_text (const GString *events, GString *out)
{
  static const char prefix[] = "data:";
  struct events v = { .text = out };
  const char *p = events->str;
  const char *end = p + events->len;
  int err = 0;

  while (!err && p < end)
    {
      const char *line_end = memchr (p, '\n', (size_t)(end - p));
      size_t n = line_end ? (size_t)(line_end - p) : (size_t)(end - p);

      if (n > sizeof prefix && !memcmp (p, prefix, sizeof prefix - 1))
        err = handle_event (&v, p + sizeof prefix - 1, n - sizeof prefix + 1);
      p += n + 1;
    }
  g_free (v.run);
  return !err && v.done ? 0 : WY_ENTRY_ERESPONSE;
}
