/* Reading of completions: the stand-in engine names the run and the index in
   the text of each token (" RUN:INDEX", the last one with a full stop), so a
   text proves by itself whether it is whole and of one run.  */
#include <stdlib.h>
#include <string.h>

#include "standin/callers.h"

/* Tell whether TEXT is the whole text of one run.  */
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

/* Join the texts of the server-sent EVENTS, to be freed by the caller; DONE
   tells whether the last event was there.  */
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
