/* Number of slots that the jobs of a model need, estimated by the entry that
   runs them.  */
#ifndef WY_DECIDE_MODEL_DEMAND_H
#define WY_DECIDE_MODEL_DEMAND_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  /* A published demand counts for this long, so that the model of a trainer
     that stopped keeps no replicas.  Trainers submit every few seconds and
     abandon a step after 12 s.  */
  WY_DEMAND_VALID_MS = 30000,
  /* A third of that, so that two failed writes don't end it.  */
  WY_DEMAND_RENEW_MS = 10000,
  /* Successive intervals whose mean counts.  */
  WY_DEMAND_INTERVALS = 4
};

/* Zero-initialized: nothing is known.  */
struct wy_demand_estimate
{
  double tokens_before; /* average of the submissions before the last */
  double last_tokens;   /* of the last submission; 0: none yet */
  int64_t submitted_ms[WY_DEMAND_INTERVALS + 1]; /* the newest first */
  uint32_t submissions;                          /* number of them */
  double interval_ms; /* minimum between submissions; 0: unknown */
  bool has_interval;  /* it was measured */
  /* Sums over completed items, of which older ones weigh less.  */
  double item_tokens;
  double item_slot_ms;
  uint32_t items;
};

/* A demand as published, by any entry.  */
struct wy_published_demand
{
  double slots;
  int64_t age_ms; /* -1: none is published */
};

void wy_demand_job_submitted (struct wy_demand_estimate *e, double tokens,
                              int64_t submitted_ms, uint32_t due_ms);
void wy_demand_adopt_interval (struct wy_demand_estimate *e,
                               double interval_ms);
void wy_demand_item_completed (struct wy_demand_estimate *e, double tokens,
                               double slot_ms);
double wy_demand_tokens (const struct wy_demand_estimate *e);
double wy_demand_ms_per_token (const struct wy_demand_estimate *e);
double wy_demand_slots (const struct wy_demand_estimate *e);
bool wy_demand_is_due (const struct wy_demand_estimate *e,
                       const struct wy_published_demand *published,
                       double *slots);

#endif
