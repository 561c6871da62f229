/* A range of the replicas of a service in the order of their addresses.  */
#ifndef WY_GATE_TARGET_RANGE_H
#define WY_GATE_TARGET_RANGE_H

#include <stdbool.h>
#include <stdint.h>

struct wy_target;
struct wy_targets;

/* Keys of the first and the last address.  */
struct wy_target_range
{
  uint64_t first;
  uint64_t last;
};

/* The ready targets of one service, ranked as orderers rank them.  */
struct wy_target_ranks;

struct wy_target_ranks *wy_target_ranks_new (const struct wy_targets *t,
                                             const char *service);
void wy_target_ranks_free (struct wy_target_ranks *r);
uint32_t wy_target_ranks_count (const struct wy_target_ranks *r);
bool wy_target_ranks_range (const struct wy_target_ranks *r, uint32_t first,
                            uint32_t count, struct wy_target_range *out);
bool wy_target_range_has (const struct wy_target_range *r,
                          const struct wy_target *g);

#endif
