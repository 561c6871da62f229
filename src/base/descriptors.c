/* Descriptors of the process.  */
#include "base/descriptors.h"

#include <sys/resource.h>

/* Number of descriptors that the process may open: WANTED, 0 for any number,
   but not more than the system allows.  */
uint32_t
wy_descriptor_limit (uint64_t wanted)
{
  struct rlimit limit;
  uint64_t n = wanted && wanted < UINT32_MAX ? wanted : UINT32_MAX;

  if (!getrlimit (RLIMIT_NOFILE, &limit) && limit.rlim_cur < n)
    n = limit.rlim_cur;
  return (uint32_t)n;
}
