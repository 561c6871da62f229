/* When the results of a job are listed for its trainer to read.

   A trainer goes on when enough groups of its step are complete, and polls for
   results about twice a second with requests that stay open until there is a
   result.  At the end of a step some hundred items are done, and the last
   dozen, the longest, end within a second or two.  If they were listed one by
   one, each would end a poll without letting the trainer go on, and the result
   that it needs would arrive in the pause before the next poll: all trainers
   would idle for most of a second in each step.  So the last results are
   listed together, when enough groups are complete, and the poll stays open
   until then.  */
#include "decide/listing.h"

enum
{
  /* The last 1 / LAST_DIVISOR of the results are deferred.  More of them,
     being the longest, would not fit into one transaction and the trainer
     would need two polls to read them; and all would be transferred while it
     waits.  */
  LAST_DIVISOR = 24,
  /* Results are not deferred from this time before they are due: a group is on
     time if it is listed then, and a write of the store takes tens of ms, or
     some hundred when it is slow.  */
  WRITE_MARGIN_MS = 300
};

/* Whether known results are held back until more are known.  They aren't when
   they are nearly due, or if the job exceeds the capacity: then each complete
   group is useful by itself.  */
bool
wy_listing_is_deferred (const struct wy_listing_options *o)
{
  if (o->stopping || o->due_ms <= 0 || o->exceeds_capacity
      || o->age_ms >= o->due_ms - WRITE_MARGIN_MS
      || o->complete_groups >= o->wanted_groups)
    return false;
  return o->items - o->results < (o->items + LAST_DIVISOR - 1) / LAST_DIVISOR;
}
