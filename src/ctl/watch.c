/* Commands that can run until they are interrupted: watch and events.  */
#include "ctl/ctl.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "ctl/chrome.h"

enum
{
  WATCH_INTERVAL_S = 1
};

/* Show the status every WATCH_INTERVAL_S seconds until a request fails.  */
int
wy_ctl_watch (const struct wy_ctl *ctl, char **args, int n)
{
  for (;;)
    {
      int rc;

      if (isatty (STDOUT_FILENO))
        printf ("\033[H\033[2J");
      rc = wy_ctl_status (ctl, args, n);
      fflush (stdout);
      if (rc)
        return rc;
      sleep (WATCH_INTERVAL_S);
    }
}

static const char *
field (const json_t *o, const char *key)
{
  const char *v = json_string_value (json_object_get (o, key));

  return v ? v : "";
}

static void
print_event (const json_t *o)
{
  const char *key;
  json_t *v;

  printf ("%-12s %-18s", field (o, "proc"), field (o, "ev"));
  json_object_foreach ((json_t *)o, key, v)
  {
    char *text;

    if (!strcmp (key, "hlc") || !strcmp (key, "proc") || !strcmp (key, "inc")
        || !strcmp (key, "seq") || !strcmp (key, "ev"))
      continue;
    text = json_dumps (v, JSON_ENCODE_ANY | JSON_COMPACT);
    printf (" %s=%s", key, text);
    free (text);
  }
  putchar ('\n');
}

/* Print the lines of TEXT.  Returns the sequence number of the last one, or
   AFTER if there is none, from which the next request continues.  The number
   is read from the lines and not counted, as an entry that has evicted old
   lines continues with later ones.  */
static uint64_t
print_lines (const struct wy_ctl *ctl, const char *text, uint64_t after)
{
  char **lines = g_strsplit (text, "\n", -1);

  for (char **l = lines; *l; l++)
    {
      json_t *o;

      if (!**l)
        continue;
      o = json_loads (*l, 0, NULL);
      if (json_is_integer (json_object_get (o, "seq")))
        after = (uint64_t)json_integer_value (json_object_get (o, "seq"));
      if (ctl->json || !o)
        puts (*l);
      else
        print_event (o);
      json_decref (o);
    }
  g_strfreev (lines);
  return after;
}

static int
events_of_entry (const struct wy_ctl *ctl)
{
  uint64_t after = 0;

  for (;;)
    {
      struct wy_ctl_response r;
      char *path
          = g_strdup_printf ("/v1/events?after=%" G_GUINT64_FORMAT, after);

      wy_ctl_call (ctl, "GET", path, NULL, &r);
      g_free (path);
      if (r.status != 200)
        return wy_ctl_print_response (ctl, &r);
      after = print_lines (ctl, r.text, after);
      wy_ctl_response_clear (&r);
      if (!ctl->follow)
        return WY_CTL_OK;
      fflush (stdout);
      sleep (WATCH_INTERVAL_S);
    }
}

/* Print the events of an entry, or with --chrome write the timeline files ARGS
   as one trace for a viewer.  */
int
wy_ctl_events (const struct wy_ctl *ctl, char **args, int n)
{
  if (ctl->chrome)
    return wy_ctl_chrome (ctl->chrome, (const char *const *)args, n);
  return events_of_entry (ctl);
}
