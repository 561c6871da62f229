/* The time per event of job items at targets, by the number of runs there.  */
#ifndef WY_GATE_TARGET_PACE_H
#define WY_GATE_TARGET_PACE_H

#include "gate/targets.h"

/* Why the choice is or isn't by load, for the log.  */
struct wy_pace_by_load
{
  bool on;
  bool percent_reported;
  double ratio; /* of the slowest third to the fastest */
  double slope;
};

void wy_target_record_events (struct wy_targets *t, struct wy_target *g,
                              double event_ms, int64_t now_ms);
void wy_target_record_percent (struct wy_targets *t, struct wy_target *g,
                               uint32_t percent, int64_t now_ms);
double wy_target_event_ms (struct wy_targets *t, const struct wy_target *g,
                           double unknown_ms, int64_t now_ms);
double wy_target_usual_event_ms (const struct wy_targets *t,
                                 const struct wy_target *g, int64_t now_ms);
bool wy_target_is_too_slow (const struct wy_targets *t,
                            const struct wy_target *g,
                            const struct wy_pace_item *i, int64_t now_ms);
bool wy_targets_are_paced_by_load (struct wy_targets *t, const char *service,
                                   int64_t now_ms);
bool wy_targets_by_load_changed (struct wy_targets *t, const char *service,
                                 struct wy_pace_by_load *out);

#endif
