/* Loads of weights at a target, recognised by its rejections of runs.  */
#ifndef WY_DECIDE_WEIGHT_LOAD_H
#define WY_DECIDE_WEIGHT_LOAD_H

#include <stdbool.h>
#include <stdint.h>

/* The load that is believed to be in progress at a target.  */
struct wy_weight_load
{
  bool believed;
  bool row_changed;       /* the list of replicas shows another version */
  int64_t since_ms;       /* first rejection */
  int64_t rejected_ms;    /* last rejection */
  int64_t until_ms;       /* no run is sent before */
  uint32_t probes_failed; /* rejected after until_ms */
};

/* The usual duration of a load at the targets of a service.  */
struct wy_weight_load_time
{
  double ms; /* 0: unknown */
};

double wy_weight_load_usual_ms (const struct wy_weight_load_time *t);
bool wy_weight_load_rejected (struct wy_weight_load *l,
                              const struct wy_weight_load_time *t,
                              int64_t now_ms);
void wy_weight_load_row_changed (struct wy_weight_load *l);
bool wy_weight_load_accepted (struct wy_weight_load *l,
                              struct wy_weight_load_time *t,
                              int64_t started_ms, int64_t now_ms);
bool wy_weight_load_blocks (const struct wy_weight_load *l,
                            uint32_t unanswered, int64_t now_ms);

#endif
