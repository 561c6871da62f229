/* wyctl: the operators' command line.  */
#include "ctl/ctl.h"

int
main (int argc, char **argv)
{
  return wy_ctl_main (argc, argv);
}
