/* Command line, settings and exit codes common to all daemons.  */
#ifndef WY_CONFIG_PROGRAM_H
#define WY_CONFIG_PROGRAM_H

#include <stddef.h>

#include "config/settings.h"

enum wy_exit
{
  WY_EXIT_OK = 0,
  WY_EXIT_FAILED = 1,
  WY_EXIT_USAGE = 2
};

struct wy_program
{
  const char *name;
  const char *summary;
  const struct wy_setting *table;
  size_t n;
  void *settings;   /* zeroed */
  const char *path; /* settings file; set by wy_program_start */
};

int wy_program_start (struct wy_program *p, int argc, char **argv);

#endif
