/* Checking of completions.  The engine stand-in writes each token as
   " RUN:INDEX", the last one followed by a full stop, so that the text itself
   shows whether it is complete and from a single run.  */
#include <stdlib.h>
#include <string.h>

#include "standin/callers.h"

/* Return whether TEXT is the complete text of a single run.  */
enum wy_text_verdict
wy_callers_check_text (const char *text)
{
  char **tokens = g_strsplit (text, " ", -1);
  enum wy_text_verdict v = WY_TEXT_PARTIAL;
  const char *first = tokens[0] ? tokens[1] : NULL;
  const char *colon = first ? strchr (first, ':') : NULL;
  size_t n = colon ? (size_t)(colon - first) + 1 : 0;
  long next = 0;

  for (char **t = first ? tokens + 1 : tokens; *t && n; t++)
    {
      char *end;

      if (strncmp (*t, first, n) != 0 || strtol (*t + n, &end, 10) != next
          || v == WY_TEXT_COMPLETE)
        {
          v = WY_TEXT_SPLICED;
          break;
        }
      next++;
      if (*end == '.')
        v = WY_TEXT_COMPLETE;
    }
  g_strfreev (tokens);
  return v;
}

/* Return the concatenated texts of the server-sent EVENTS, which the caller
   frees.  *DONE is set to whether the final event was among them.  */
char *
wy_callers_join_events (const char *events, bool *done)
{
  GString *text = g_string_new (NULL);
  char **lines = g_strsplit (events, "\n", -1);

  *done = false;
  for (char **l = lines; *l; l++)
    {
      json_t *j;
      const char *piece;

      if (!g_str_has_prefix (*l, "data: "))
        continue;
      j = json_loads (*l + strlen ("data: "), 0, NULL);
      piece = json_string_value (json_object_get (j, "text"));
      if (piece)
        g_string_append (text, piece);
      if (json_is_true (json_object_get (j, "done")))
        *done = true;
      json_decref (j);
    }
  g_strfreev (lines);
  return g_string_free (text, FALSE);
}
