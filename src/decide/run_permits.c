/* Permits to run requests that may crash targets.

   When a target has crashed under a request, its caller repeats it at several
   entries, and all of them hold it until targets have returned.  If each ran
   it once, they would crash all targets again at the same moment.  So one
   entry, which all others agree on, gives permits: the next run starts after
   the previous one has ended, and its entry has told of a crash by then.  */
#include "decide/run_permits.h"

#include <stddef.h>

/* Give a permit for the request with FINGERPRINT to the run TOKEN, for
   DURATION_MS or until it is released.  Returns false if another run has it,
   or all slots are in use.  */
bool
wy_run_permits_take (struct wy_run_permits *p, uint64_t fingerprint,
                     uint64_t token, int64_t duration_ms, int64_t now_ms)
{
  struct wy_run_permit *found = NULL;

  for (uint32_t i = 0; i < WY_RUN_PERMITS_MAX; i++)
    {
      struct wy_run_permit *e = &p->slot[i];
      bool is_free = e->fingerprint == 0 || e->until_ms <= now_ms;

      if (!is_free && e->fingerprint == fingerprint && e->token != token)
        return false;
      if (is_free || e->fingerprint == fingerprint)
        found = e;
    }
  if (!found)
    return false;
  found->fingerprint = fingerprint;
  found->token = token;
  found->until_ms
      = now_ms
        + (duration_ms < WY_RUN_PERMIT_MAX_MS ? duration_ms
                                              : WY_RUN_PERMIT_MAX_MS);
  return true;
}

/* The run TOKEN of the request with FINGERPRINT has ended.  */
void
wy_run_permits_release (struct wy_run_permits *p, uint64_t fingerprint,
                        uint64_t token)
{
  for (uint32_t i = 0; i < WY_RUN_PERMITS_MAX; i++)
    if (p->slot[i].fingerprint == fingerprint && p->slot[i].token == token)
      p->slot[i].fingerprint = 0;
}
