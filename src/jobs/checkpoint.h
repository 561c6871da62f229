/* Text of unfinished items, kept in the store.

   A trainer ends a job when it has enough groups and puts the others into a
   later job under the same ids.  Those are the ones with the longest items,
   so without their text each of them would take the longest time again.  And
   an entry that dies in the middle of a step would take with it what its
   longest items have been made of so far.  */
#ifndef WY_JOBS_CHECKPOINT_H
#define WY_JOBS_CHECKPOINT_H

#include "jobs/active_job.h"

#define WY_CARRY_TABLE "wy-carried"

struct wy_carry; /* what was read for one job */

void wy_carry_keep (struct wy_owned *o);
void wy_carry_save (struct wy_owned *o, bool running);
void wy_carry_detach (struct wy_owned *o);
void wy_carry_read (struct wy_gate_env *env, const char *part,
                    void (*on_read) (void *ctx, struct wy_carry *c),
                    void *ctx);
uint32_t wy_carry_apply (struct wy_carry *c, struct wy_owned *o);
void wy_carry_free (struct wy_carry *c);

#endif
