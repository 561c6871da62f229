/* Retry budget.

   Under overload, each rejected request that is retried elsewhere adds load to
   targets that are overloaded as well.  Without a common limit, retries
   multiply the load, and the number of retries per request rises with the
   rejections.  The budget limits retries to a share of the first attempts.  */
#include "decide/retry.h"

#include "decide/errors.h"

/* Enough for single slow or draining targets, and too few to add much load. */
#define PERCENT 10
/* Allows all requests of a failed target to be retried at once.  */
#define BURST 20
#define RETRY_COST_PERCENT 100

/* Initialize B, with the full burst available.  */
void
wy_retry_init (struct wy_retry_budget *b, const struct wy_retry_options *o)
{
  b->percent = o->percent ? o->percent : PERCENT;
  b->cap_percent = (o->burst ? o->burst : BURST) * RETRY_COST_PERCENT;
  b->available_percent = b->cap_percent;
  b->requests = 0;
  b->retries = 0;
  b->denied = 0;
}

/* Count a first attempt.  */
void
wy_retry_request (struct wy_retry_budget *b)
{
  b->requests++;
  b->available_percent += b->percent;
  if (b->available_percent > b->cap_percent)
    b->available_percent = b->cap_percent;
}

/* Take one retry from B.  Returns 0, or WY_DECIDE_EBUDGET if none is left.  */
int
wy_retry_take (struct wy_retry_budget *b)
{
  if (b->available_percent < RETRY_COST_PERCENT)
    {
      b->denied++;
      return WY_DECIDE_EBUDGET;
    }
  b->available_percent -= RETRY_COST_PERCENT;
  b->retries++;
  return 0;
}
