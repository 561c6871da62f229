/* Checkpoints: partial text of unfinished items in the store.

   A trainer ends a job when it has enough groups, and submits the remaining
   groups in a later job under the same ids.  These contain the longest items,
   which without a checkpoint would take the longest time again.  Likewise, if
   an entry fails in the middle of a step, the entry that takes over would have
   to generate its longest items anew.  */
#ifndef WY_JOBS_CHECKPOINT_H
#define WY_JOBS_CHECKPOINT_H

#include "jobs/active_job.h"

#define WY_CHECKPOINT_TABLE "wy-carried"

struct wy_checkpoint; /* what was read for one job */

void wy_checkpoint_write_for_takeover (struct wy_active_job *o);
void wy_checkpoint_write_for_next_job (struct wy_active_job *o, bool running);
void wy_checkpoint_detach (struct wy_active_job *o);
void wy_checkpoint_read (struct wy_gate_env *env, const char *partition,
                         void (*on_read) (void *ctx, struct wy_checkpoint *c),
                         void *ctx);
uint32_t wy_checkpoint_apply (struct wy_checkpoint *c,
                              struct wy_active_job *o);
void wy_checkpoint_free (struct wy_checkpoint *c);

#endif
