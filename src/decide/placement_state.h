/* State of the placement table; inside the package only.  */
#ifndef WY_DECIDE_PLACEMENT_STATE_H
#define WY_DECIDE_PLACEMENT_STATE_H

#include "decide/placement.h"

#define WY_PREFIX_WAYS 4

struct wy_target
{
  struct wy_target_options o;
  bool used;
  bool placeable; /* not leaving, not closing */
  uint64_t rank;  /* place in the order that all entries share */
  uint32_t pos_az;
  uint32_t callers; /* own, in flight */
  uint32_t rollouts;
  int32_t callers_since; /* own starts less ends since the report */
  int32_t rollouts_since;
  struct wy_load_report report;
  int64_t report_ms;
  int64_t refused_until_ms;
  double slowness;          /* measured over expected pace */
  uint32_t paces;           /* measurements behind it */
  uint32_t failures;        /* in a row */
  uint32_t ejections;       /* in a row */
  int64_t ejected_until_ms; /* 0: never ejected since it was sound */
};

struct wy_prefix
{
  uint64_t hash; /* 0: free */
  uint32_t slot;
  int64_t seen_ms;
};

struct wy_slot_list
{
  uint32_t *slot;
  uint32_t n;
};

struct wy_placement
{
  struct wy_placement_options o;
  struct wy_target *target;
  struct wy_slot_list all;
  struct wy_slot_list az[WY_PLACEMENT_AZS_MAX];
  struct wy_prefix *prefix; /* o.prefix_slots sets of WY_PREFIX_WAYS */
  double slowness;          /* of all targets, smoothed */
  uint32_t ejected;
  int64_t callers;  /* on all targets, as reported and started since */
  int64_t rollouts; /* running on all targets, as reported */
};

void wy_prefix_note (struct wy_placement *p, uint64_t hash, uint32_t slot,
                     int64_t now_ms);
void wy_prefix_drop (struct wy_placement *p, uint64_t hash, uint32_t slot);
uint32_t wy_prefix_holders (const struct wy_placement *p, uint64_t hash,
                            int64_t now_ms, uint32_t out[WY_PREFIX_WAYS]);
uint32_t wy_target_callers (const struct wy_placement *p,
                            const struct wy_target *t, int64_t now_ms);
uint32_t wy_target_rollouts (const struct wy_placement *p,
                             const struct wy_target *t, int64_t now_ms);
bool wy_target_admits (const struct wy_placement *p, const struct wy_target *t,
                       enum wy_work_class work_class, int64_t now_ms);
void wy_target_pace (struct wy_placement *p, struct wy_target *t, double ratio,
                     int64_t now_ms);
void wy_target_outcome (struct wy_placement *p, struct wy_target *t,
                        enum wy_outcome outcome, int64_t now_ms);

#endif
