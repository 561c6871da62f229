/* Highest fencing token seen for each lease.  No I/O.  */
#ifndef WY_AGENT_FENCE_H
#define WY_AGENT_FENCE_H

#include <stdint.h>

struct wy_fences;

enum wy_fence_verdict
{
  WY_FENCE_ACCEPT,
  WY_FENCE_STALE,
  WY_FENCE_CONFIRM /* none known: the sender checks its lease and repeats */
};

struct wy_fences *wy_fences_new (void);
enum wy_fence_verdict wy_fences_check (struct wy_fences *f, const char *lease,
                                       int64_t fence, uint64_t sender,
                                       uint64_t pong_seq, uint64_t sent_seq);
void wy_fences_raise (struct wy_fences *f, const char *lease, int64_t fence);
int64_t wy_fences_highest (const struct wy_fences *f, const char *lease);

#endif
