/* Text of items that their job's end cut short, kept for the next job.

   A trainer ends a job when it has enough groups and puts the others into a
   later job under the same ids.  Those are the ones with the longest items,
   so without their text each of them would take the longest time again.  */
#ifndef WY_JOBS_CARRY_H
#define WY_JOBS_CARRY_H

#include "jobs/owned.h"

struct wy_carry; /* what was read for one job */

void wy_carry_save (struct wy_owned *o, bool all);
void wy_carry_read (struct wy_gate_env *env, const char *model,
                    void (*on_read) (void *ctx, struct wy_carry *c),
                    void *ctx);
uint32_t wy_carry_apply (struct wy_carry *c, struct wy_owned *o);
void wy_carry_free (struct wy_carry *c);

#endif
