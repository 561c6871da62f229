/* wyctl: printing, the Chrome trace, and exit codes without an entry.  */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/chrome.h"
#include "ctl/ctl.h"

static char *
printed (const char *json)
{
  char *text = NULL;
  size_t n = 0;
  FILE *f = open_memstream (&text, &n);
  json_t *o = json_loads (json, 0, NULL);

  wy_ctl_print (f, o);
  json_decref (o);
  fclose (f);
  return text;
}

Test (ctl, lists_of_objects_become_tables)
{
  char *text = printed ("{\"revision\":7,\"none\":[],\"changes\":[\"a\"],"
                        "\"targets\":[{\"id\":\"engine-1\",\"up\":true},"
                        "{\"id\":\"e2\",\"up\":false}]}");

  cr_assert_str_eq (text, "revision: 7\nnone: none\nchanges:\n  a\ntargets:\n"
                          "id        up     \n"
                          "engine-1  true   \n"
                          "e2        false  \n");
  free (text);
}

Test (ctl, runs_and_requests_become_bars)
{
  static const char text[]
      = "{\"hlc\":65536,\"proc\":\"a\",\"inc\":\"1\",\"seq\":1,"
        "\"ev\":\"run.start\",\"run\":\"u\"}\n"
        "{\"hlc\":131072,\"proc\":\"a\",\"inc\":\"1\",\"seq\":2,"
        "\"ev\":\"run.end\",\"run\":\"u\"}\n"
        "{\"hlc\":196608,\"proc\":\"a\",\"inc\":\"1\",\"seq\":3,"
        "\"ev\":\"process.stop\",\"cut\":0}\n";
  struct wy_timeline t;
  GString *error = g_string_new (NULL);
  json_t *trace;
  json_t *events;

  wy_timeline_init (&t);
  cr_assert_eq (wy_timeline_parse (&t, "t", text, strlen (text), error), 0);
  cr_assert_eq (wy_timeline_finish (&t, error), 0);
  trace = wy_chrome_trace (&t);
  events = json_object_get (trace, "traceEvents");
  cr_assert_eq (json_array_size (events), 4U);
  for (size_t i = 0; i < 4; i++)
    {
      static const char *const ph[] = { "M", "b", "e", "i" };
      json_t *e = json_array_get (events, i);
      cr_assert_str_eq (json_string_value (json_object_get (e, "ph")), ph[i]);
    }
  json_decref (trace);
  wy_timeline_free (&t);
  g_string_free (error, TRUE);
}

static int
run (const char *const *args)
{
  char *argv[8] = { NULL };
  int argc = 0;

  for (; args[argc]; argc++)
    argv[argc] = g_strdup (args[argc]);
  return wy_ctl_main (argc, argv);
}

/* No entry listens, or the command line is invalid.  Scripts distinguish the
   two by the exit code.  */
Test (ctl, exit_codes)
{
  static const struct
  {
    const char *args[7];
    int rc;
  } cases[] = {
    { { "wyctl", "--entry", "127.0.0.1:1", "status" }, WY_CTL_UNREACHABLE },
    { { "wyctl" }, WY_CTL_USAGE },
    { { "wyctl", "dance" }, WY_CTL_USAGE },
    { { "wyctl", "plan" }, WY_CTL_USAGE },
    { { "wyctl", "plan", "/nonexistent.json" }, WY_CTL_USAGE },
    { { "wyctl", "apply", "/nonexistent.json" }, WY_CTL_USAGE },
    { { "wyctl", "check" }, WY_CTL_USAGE },
    { { "wyctl", "check", "/dev/null" }, WY_CTL_USAGE },
    { { "wyctl", "--config", "/nonexistent.yaml", "status" }, WY_CTL_USAGE },
    { { "wyctl", "--version" }, WY_CTL_OK },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    cr_assert_eq (run (cases[i].args), cases[i].rc, "case %zu", i);
}
