/* Permits to run requests that may crash targets, one at a time each.  */
#ifndef WY_DECIDE_RUN_PERMITS_H
#define WY_DECIDE_RUN_PERMITS_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  WY_RUN_PERMITS_MAX = 1024,
  /* Longest time for which a permit is given.  */
  WY_RUN_PERMIT_MAX_MS = 10000
};

/* State of a permit for the run that has asked for it.  */
enum wy_permit_state
{
  WY_PERMIT_NONE, /* not asked for */
  WY_PERMIT_PENDING,
  WY_PERMIT_GRANTED,
  WY_PERMIT_BUSY,     /* another run has it */
  WY_PERMIT_BLOCKED,  /* the request must not run */
  WY_PERMIT_UNREACHED /* no entry that could give it has responded */
};

struct wy_run_permit
{
  uint64_t fingerprint; /* of the request; 0: free slot */
  uint64_t token;       /* of the run that has the permit */
  int64_t until_ms;
};

/* Zero-initialized.  */
struct wy_run_permits
{
  struct wy_run_permit slot[WY_RUN_PERMITS_MAX];
};

bool wy_run_permits_take (struct wy_run_permits *p, uint64_t fingerprint,
                          uint64_t token, int64_t duration_ms, int64_t now_ms);
void wy_run_permits_release (struct wy_run_permits *p, uint64_t fingerprint,
                             uint64_t token);

#endif
