/* wystandin: stand-ins for the systems around the service, for tests and the
   demo.  */
#include <stdio.h>
#include <string.h>

#include "config/program.h"
#include "standin/kinds.h"

static const struct wy_standin_kind *const kinds[] = { &wy_standin_engine,
                                                       &wy_standin_service,
                                                       &wy_standin_table,
                                                       &wy_standin_weights,
                                                       &wy_standin_scoring,
                                                       &wy_standin_list,
                                                       &wy_standin_trainer,
                                                       &wy_standin_callers,
                                                       &wy_standin_platform,
                                                       &wy_standin_proxy,
                                                       &wy_standin_crowd,
                                                       &wy_standin_keepers,
                                                       NULL };

static int
help (FILE *out, int rc)
{
  fputs ("Usage: wystandin KIND --config FILE\n\nKinds:\n", out);
  for (size_t i = 0; kinds[i]; i++)
    fprintf (out, "  %-9s %s\n", kinds[i]->name, kinds[i]->summary);
  fputs ("\nwystandin KIND --help shows the options of a kind.\n", out);
  return rc;
}

int
main (int argc, char **argv)
{
  if (argc < 2)
    return help (stderr, WY_EXIT_USAGE);
  if (!strcmp (argv[1], "--help") || !strcmp (argv[1], "-h"))
    return help (stdout, WY_EXIT_OK);
  if (!strcmp (argv[1], "--version"))
    {
      printf ("wystandin %s\n", WY_VERSION);
      return WY_EXIT_OK;
    }
  for (size_t i = 0; kinds[i]; i++)
    if (!strcmp (argv[1], kinds[i]->name))
      {
        argv[1] = argv[0];
        return wy_standin_main (kinds[i], argc - 1, argv + 1);
      }
  fprintf (stderr, "wystandin: unknown kind %s; see --help\n", argv[1]);
  return WY_EXIT_USAGE;
}
