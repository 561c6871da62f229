/* State of the placement table; private to the placement modules.  */
#ifndef WY_DECIDE_PLACEMENT_STATE_H
#define WY_DECIDE_PLACEMENT_STATE_H

#include "decide/placement.h"

/* Associativity of the table of cached prefixes.  */
#define WY_PLACEMENT_PREFIX_WAYS 4

struct wy_placement_target
{
  struct wy_target_options o;
  bool used;
  bool is_candidate; /* neither draining nor closing */
  uint64_t rank;     /* sort key; the same at all entries */
  uint32_t az_index; /* in the list of its zone */
  uint32_t callers;  /* requests of this entry in flight */
  uint32_t rollouts;
  int32_t
      callers_delta; /* started less ended by this entry since the report */
  int32_t rollouts_delta;
  struct wy_load_report report;
  int64_t report_ms; /* when the report was made */
  int64_t refused_until_ms;
  double slowness; /* smoothed ratio of measured to expected time per token */
  uint32_t slowness_samples; /* measurements since the last ejection */
  uint32_t failures;         /* in a row */
  uint32_t ejections;        /* in a row */
  int64_t ejected_until_ms;  /* 0: healthy */
};

struct wy_placement_prefix
{
  uint64_t hash; /* 0: free */
  uint32_t slot;
  int64_t updated_ms;
};

struct wy_placement_slot_list
{
  uint32_t *slot;
  uint32_t n;
};

struct wy_placement
{
  struct wy_placement_options o;
  struct wy_placement_target *target;
  struct wy_placement_slot_list all;
  struct wy_placement_slot_list az[WY_PLACEMENT_AZS_MAX];
  struct wy_placement_prefix *prefix; /* o.prefix_slots sets */
  double slowness;                    /* smoothed mean of all targets */
  uint32_t ejected;
  int64_t callers;  /* on all targets, as reported and since started */
  int64_t rollouts; /* running on all targets, as reported */
};

void wy_placement_prefix_add (struct wy_placement *p, uint64_t hash,
                              uint32_t slot, int64_t now_ms);
void wy_placement_prefix_remove (struct wy_placement *p, uint64_t hash,
                                 uint32_t slot);
uint32_t wy_placement_prefix_holders (const struct wy_placement *p,
                                      uint64_t hash, int64_t now_ms,
                                      uint32_t out[WY_PLACEMENT_PREFIX_WAYS]);
uint32_t wy_placement_target_callers (const struct wy_placement *p,
                                      const struct wy_placement_target *t,
                                      int64_t now_ms);
uint32_t wy_placement_target_rollouts (const struct wy_placement *p,
                                       const struct wy_placement_target *t,
                                       int64_t now_ms);
bool wy_placement_target_admits (const struct wy_placement *p,
                                 const struct wy_placement_target *t,
                                 enum wy_work_class work_class,
                                 int64_t now_ms);
void wy_placement_record_slowness (struct wy_placement *p,
                                   struct wy_placement_target *t, double ratio,
                                   int64_t now_ms);
void wy_placement_record_outcome (struct wy_placement *p,
                                  struct wy_placement_target *t,
                                  enum wy_outcome outcome, int64_t now_ms);

#endif
