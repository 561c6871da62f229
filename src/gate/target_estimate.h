/* Estimates of targets from their job items: lengths, times to the first
   event, loads of weights, and whether a target is full.  */
#ifndef WY_GATE_TARGET_ESTIMATE_H
#define WY_GATE_TARGET_ESTIMATE_H

#include "gate/targets.h"

bool wy_target_seems_free (const struct wy_target *g, int64_t now_ms);
double wy_targets_load_time_ms (const struct wy_targets *t,
                                const char *service);
bool wy_target_run_accepted (struct wy_targets *t, struct wy_target *g,
                             int64_t started_ms, int64_t now_ms);
bool wy_target_is_full (const struct wy_target *g, int64_t now_ms);
bool wy_target_has_known_slot (const struct wy_target *g, int64_t now_ms);
void wy_targets_record_first_event (const struct wy_targets *t,
                                    const char *service, double ms);
double wy_targets_first_event_ms (const struct wy_targets *t,
                                  const char *service);
void wy_targets_record_length (const struct wy_targets *t, const char *service,
                               uint32_t expected_tokens, uint32_t events);
double wy_targets_expected_events (const struct wy_targets *t,
                                   const char *service,
                                   uint32_t expected_tokens);

#endif
