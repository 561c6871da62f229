/* The result of an item.  */
#include "jobs/result.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/text.h"

/* Return an empty result of ITEM.  */
struct wy_result *
wy_result_new (const char *item)
{
  struct wy_result *r = g_new0 (struct wy_result, 1);

  r->item = g_strdup (item);
  r->text = g_string_new (NULL);
  r->versions = g_array_new (FALSE, FALSE, sizeof (int64_t));
  return r;
}

/* Free R, which may be NULL.  */
void
wy_result_free (struct wy_result *r)
{
  if (!r)
    return;
  g_free (r->item);
  g_string_free (r->text, TRUE);
  g_free (r->score);
  g_array_free (r->versions, TRUE);
  g_free (r);
}

/* Add VERSION to the weights that generated the text.  */
void
wy_result_add_version (struct wy_result *r, int64_t version)
{
  for (guint i = 0; i < r->versions->len; i++)
    if (g_array_index (r->versions, int64_t, i) == version)
      return;
  g_array_append_val (r->versions, version);
}

static bool
is_text (const struct wy_result *r)
{
  return wy_text_is_valid (r->item, strlen (r->item))
         && wy_text_is_valid (r->text->str, r->text->len)
         && (!r->score || wy_text_is_valid (r->score, strlen (r->score)));
}

/* Write R as JSON for the store to OUT; the caller frees it.  Return 0, or
   WY_RESULT_ENOTEXT if R has bytes that the store can't keep; OUT is then
   unchanged.  */
int
wy_result_encode (const struct wy_result *r, char **out)
{
  json_t *versions;
  json_t *doc;
  char *text;

  if (!is_text (r))
    return WY_RESULT_ENOTEXT;
  versions = json_array ();
  for (guint i = 0; i < r->versions->len; i++)
    json_array_append_new (
        versions, json_integer (g_array_index (r->versions, int64_t, i)));
  doc = json_pack ("{s:s, s:b, s:s%, s:o}", "item", r->item, "given_up",
                   r->given_up, "text", r->text->str, r->text->len, "versions",
                   versions);
  if (r->score)
    json_object_set_new (doc, "score", json_string (r->score));
  text = json_dumps (doc, JSON_COMPACT);
  *out = g_strdup (text);
  free (text);
  json_decref (doc);
  return 0;
}

/* Parse a result; NULL if it is malformed.  */
struct wy_result *
wy_result_decode (const void *p, size_t n)
{
  json_t *doc = json_loadb (p, n, 0, NULL);
  const char *item = json_string_value (json_object_get (doc, "item"));
  struct wy_result *r = NULL;
  json_t *text = json_object_get (doc, "text");
  json_t *v;
  size_t i;

  if (item)
    {
      r = wy_result_new (item);
      r->given_up = json_is_true (json_object_get (doc, "given_up"));
      if (json_is_string (text))
        g_string_append_len (r->text, json_string_value (text),
                             (gssize)json_string_length (text));
      r->score = g_strdup (json_string_value (json_object_get (doc, "score")));
      json_array_foreach (json_object_get (doc, "versions"), i, v)
          wy_result_add_version (r, json_integer_value (v));
    }
  json_decref (doc);
  return r;
}
