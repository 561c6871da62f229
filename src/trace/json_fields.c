/* Prints the fields of a timeline event as JSON.

   Each request causes several events in each process on its way.  Building and
   printing a tree of JSON values for each event takes a third of an entry's
   time, so flat fields, which nearly all events have, are printed
   directly.  */
#include "trace/json_fields.h"

#include <inttypes.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

static void
put_key (GString *out, const char *key)
{
  if (out->len > 1)
    g_string_append_c (out, ',');
  g_string_append_c (out, '"');
  g_string_append (out, key);
  g_string_append (out, "\":");
}

static void
put_char (GString *out, unsigned char c, bool utf8)
{
  if (c == '"' || c == '\\')
    {
      g_string_append_c (out, '\\');
      g_string_append_c (out, (char)c);
    }
  else if (c < ' ')
    g_string_append_printf (out, "\\u%04x", c);
  else
    g_string_append_c (out, utf8 || c < 0x80 ? (char)c : '?');
}

static void
put_text (GString *out, const char *s)
{
  size_t n = strlen (s);
  bool utf8 = true;
  size_t plain = 0;

  while (plain < n && (unsigned char)s[plain] >= ' ' && s[plain] != '"'
         && s[plain] != '\\' && (unsigned char)s[plain] < 0x80)
    plain++;
  g_string_append_c (out, '"');
  g_string_append_len (out, s, (gssize)plain);
  /* Text from outside may not be valid UTF-8, but the line must be valid
     JSON.  */
  if (plain < n)
    utf8 = g_utf8_validate (s, -1, NULL);
  for (; plain < n; plain++)
    put_char (out, (unsigned char)s[plain], utf8);
  g_string_append_c (out, '"');
}

static void
put_number (GString *out, int64_t value)
{
  char text[24];
  char *p = text + sizeof text;
  uint64_t v = value < 0 ? 0 - (uint64_t)value : (uint64_t)value;

  do
    *--p = (char)('0' + v % 10);
  while (v /= 10);
  if (value < 0)
    *--p = '-';
  g_string_append_len (out, p, text + sizeof text - p);
}

static void
put_json (GString *out, const json_t *j)
{
  char *text = json_dumps (j, JSON_COMPACT | JSON_ENCODE_ANY);

  g_string_append (out, text ? text : "null");
  free (text);
}

/* Append field KEY with the string VALUE to OUT, an object not closed yet.
   NULL is printed as an empty string.  */
void
wy_json_fields_string (GString *out, const char *key, const char *value)
{
  put_key (out, key);
  put_text (out, value ? value : "");
}

/* Append field KEY with the number VALUE to OUT.  */
void
wy_json_fields_integer (GString *out, const char *key, int64_t value)
{
  put_key (out, key);
  put_number (out, value);
}

/* Whether FMT is an object with no nested values.  */
static bool
is_flat (const char *fmt)
{
  const char *p = fmt + 1;

  if (*fmt != '{')
    return false;
  while (p[0] == 's' && p[1] == ':' && p[2] && strchr ("siIboO", p[2]))
    {
      p += 3;
      if (*p == ',')
        p += p[1] == ' ' ? 2 : 1;
    }
  return p[0] == '}' && p[1] == 0;
}

static void
put_tree (GString *out, const char *fmt, va_list ap)
{
  json_t *fields = json_vpack_ex (NULL, 0, fmt, ap);
  const char *key;
  json_t *value;

  json_object_foreach (fields, key, value)
  {
    put_key (out, key);
    put_json (out, value);
  }
  json_decref (fields);
}

static void
put_value (GString *out, char kind, va_list *ap)
{
  json_t *j;
  int n;

  switch (kind)
    {
    case 's':
      {
        const char *s = va_arg (*ap, const char *);
        put_text (out, s ? s : "");
        return;
      }
    case 'i':
      n = va_arg (*ap, int);
      put_number (out, n);
      return;
    case 'I':
      put_number (out, va_arg (*ap, json_int_t));
      return;
    case 'b':
      g_string_append (out, va_arg (*ap, int) ? "true" : "false");
      return;
    default:
      j = va_arg (*ap, json_t *);
      put_json (out, j);
      if (kind == 'o')
        json_decref (j);
      return;
    }
}

/* Append to OUT the fields given by FMT and AP, as for json_pack.  */
void
wy_json_fields_pack (GString *out, const char *fmt, va_list ap)
{
  va_list rest;

  if (!is_flat (fmt))
    {
      put_tree (out, fmt, ap);
      return;
    }
  va_copy (rest, ap);
  for (const char *p = strchr (fmt, ':'); p; p = strchr (p + 1, ':'))
    {
      put_key (out, va_arg (rest, const char *));
      put_value (out, p[1], &rest);
    }
  va_end (rest);
}
