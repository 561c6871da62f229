/* The order in which the items of a job start.  */
#ifndef WY_JOBS_ITEM_PLAN_H
#define WY_JOBS_ITEM_PLAN_H

#include <glib.h>

#include "decide/item_order.h"
#include "decide/job_priority.h"

struct wy_active_job;
struct wy_item;

/* What the plans of all jobs share.  */
struct wy_item_planner
{
  GHashTable *active; /* struct wy_active_job by id, of the caller */
  struct wy_item_paces *paces;
};

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

struct wy_item_planner *wy_item_planner_new (GHashTable *active);

void wy_item_plan_init (struct wy_active_job *o);
void wy_item_plan_clear (struct wy_active_job *o);
void wy_item_plan_update (struct wy_active_job *o);
void wy_item_plan_text_complete (struct wy_item *i, const char *service);
enum wy_group_class wy_item_plan_class (const struct wy_item *i);
bool wy_item_plan_is_late (const struct wy_active_job *o);
void wy_item_plan_scored (struct wy_item *i);
struct wy_job_priority wy_item_plan_priority (const struct wy_active_job *o);

#endif
