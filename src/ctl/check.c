/* wyctl check: verifies the invariants from timeline files.  */
#include "check/check.h"

#include "ctl/ctl.h"

static json_t *
as_json (const struct wy_check *c)
{
  json_t *list = json_array ();

  for (guint i = 0; i < c->violations->len; i++)
    {
      const struct wy_violation *v = c->violations->pdata[i];
      json_array_append_new (list, json_pack ("{s:s, s:s}", "invariant",
                                              v->invariant, "text", v->text));
    }
  return json_pack ("{s:I, s:I, s:o}", "invariants",
                    (json_int_t)wy_n_invariants, "events",
                    (json_int_t)c->timeline->events->len, "violations", list);
}

static void
print (const struct wy_ctl *ctl, const struct wy_check *c)
{
  if (ctl->json)
    {
      json_t *o = as_json (c);
      json_dumpf (o, stdout, JSON_COMPACT);
      putchar ('\n');
      json_decref (o);
      return;
    }
  for (guint i = 0; i < c->violations->len; i++)
    {
      const struct wy_violation *v = c->violations->pdata[i];
      printf ("%s: %s\n", v->invariant, v->text);
    }
  printf ("%zu invariants, %u events, %u violations\n", wy_n_invariants,
          c->timeline->events->len, c->violations->len);
}

/* Verify the N timeline files ARGS.  Exit code 0 if no invariant is violated,
   1 if one is, 2 if the files are incomplete or invalid.  */
int
wy_ctl_check (const struct wy_ctl *ctl, char **args, int n)
{
  struct wy_timeline t;
  struct wy_check c;
  GString *error = g_string_new (NULL);
  int rc = WY_CTL_USAGE;

  wy_timeline_init (&t);
  if (n < 1)
    fprintf (stderr, "wyctl: files are needed\n");
  else if (wy_timeline_load (&t, (const char *const *)args, (size_t)n, error))
    fprintf (stderr, "wyctl: %s", error->str);
  else
    {
      wy_check_run (&c, &t);
      print (ctl, &c);
      rc = c.violations->len ? WY_CTL_FAILED : WY_CTL_OK;
      wy_check_free (&c);
    }
  wy_timeline_free (&t);
  g_string_free (error, TRUE);
  return rc;
}
