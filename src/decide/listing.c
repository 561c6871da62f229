/* When the results of a job are listed for its trainer.

   The load answered is the end of a step: some hundred items are done, and the
   last dozen, the longest, end within a second or two.  A trainer goes on when
   enough groups are whole, and asks for results about twice a second.  Listed
   one by one, each of the last results answers a question with something that
   the trainer can't go on with, and the one that it waits for comes in the
   pause before the next question.  All trainers then idle for most of a second
   in each step.  So the last results wait for each other: the question stays
   open until enough groups are whole, and is answered with all of them.  */
#include "decide/listing.h"

enum
{
  /* The last one result in so many waits.  More of them, long as they are,
     would not fit into one transaction, and the trainer would read them in two
     answers; and they would all travel at the moment when it waits.  */
  LAST_DIVISOR = 24
};

/* Whether results that are known wait for others.  They do not once they are
   due: each group counts for itself then, and a late one is still of use.  */
bool
wy_listing_is_deferred (const struct wy_listing_options *o)
{
  if (o->stopping || o->due_ms <= 0 || o->age_ms >= o->due_ms
      || o->complete_groups >= o->wanted_groups)
    return false;
  return o->items - o->results < (o->items + LAST_DIVISOR - 1) / LAST_DIVISOR;
}
