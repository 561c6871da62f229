/* The order in which the items of a job start.  */
#ifndef WY_JOBS_ITEM_PLAN_H
#define WY_JOBS_ITEM_PLAN_H

#include <glib.h>

#include "decide/item_order.h"
#include "decide/job_priority.h"
#include "gate/env.h"

struct wy_active_job;
struct wy_item;
struct wy_item_planner;

/* The last plan of a job.  */
struct wy_item_plan
{
  struct wy_item_order_plan order;
  struct wy_item_order_group *groups; /* by index; NULL: not planned yet */
  bool planned;      /* the job does not fit: start_order follows the plan */
  uint32_t wanted;   /* incomplete groups that the trainer needs */
  int64_t next_ms;   /* earliest time of the next plan */
  int64_t logged_ms; /* 0: never */
  struct wy_item_order_plan logged;
};

struct wy_item_planner *wy_item_planner_new (struct wy_gate_env *env,
                                             GHashTable *active);

void wy_item_plan_init (struct wy_active_job *o);
void wy_item_plan_clear (struct wy_active_job *o);
void wy_item_plan_update (struct wy_active_job *o);
void wy_item_plan_text_complete (struct wy_item *i, const char *service);
void wy_item_plan_scored (struct wy_item *i);
struct wy_job_priority wy_item_plan_priority (const struct wy_active_job *o);

#endif
