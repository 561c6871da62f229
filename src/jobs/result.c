/* The result of an item.  */
#include "jobs/result.h"

#include <stdlib.h>

#include <jansson.h>

/* Return an empty result of ITEM.  */
struct wy_result *
wy_result_new (const char *item)
{
  struct wy_result *r = g_new0 (struct wy_result, 1);

  r->item = g_strdup (item);
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
  g_free (r->text);
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

/* Return R as JSON for the store; the caller frees it.  */
char *
wy_result_encode (const struct wy_result *r)
{
  json_t *versions = json_array ();
  json_t *doc;
  char *text;
  char *out;

  for (guint i = 0; i < r->versions->len; i++)
    json_array_append_new (
        versions, json_integer (g_array_index (r->versions, int64_t, i)));
  doc = json_pack ("{s:s, s:b, s:s, s:o}", "item", r->item, "given_up",
                   r->given_up, "text", r->text ? r->text : "", "versions",
                   versions);
  if (doc && r->score)
    json_object_set_new (doc, "score", json_string (r->score));
  text = doc ? json_dumps (doc, JSON_COMPACT) : NULL;
  out = g_strdup (text ? text : "");
  free (text);
  json_decref (doc);
  return out;
}

/* Parse a result; NULL if it is malformed.  */
struct wy_result *
wy_result_decode (const void *p, size_t n)
{
  json_t *doc = json_loadb (p, n, 0, NULL);
  const char *item = json_string_value (json_object_get (doc, "item"));
  struct wy_result *r = NULL;
  json_t *v;
  size_t i;

  if (item)
    {
      r = wy_result_new (item);
      r->given_up = json_is_true (json_object_get (doc, "given_up"));
      r->text = g_strdup (json_string_value (json_object_get (doc, "text")));
      r->score = g_strdup (json_string_value (json_object_get (doc, "score")));
      json_array_foreach (json_object_get (doc, "versions"), i, v)
          wy_result_add_version (r, json_integer_value (v));
    }
  json_decref (doc);
  return r;
}
