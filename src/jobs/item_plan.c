/* The order in which the items of a job start.

   It is planned by the entry that runs the job, from what items took here
   recently.  An entry that has just started knows nothing of this and starts
   items longest first.  */
#include "jobs/item_plan.h"

#include <string.h>

#include "decide/job_slots.h"
#include "jobs/active_job.h"
#include "jobs/item_paces.h"
#include "jobs/model_jobs.h"
#include "trace/json_log.h"

enum
{
  /* Between two plans of a job, so that estimates that vary from item to item
     cost little time.  */
  PLAN_INTERVAL_MS = 500,
  LOG_INTERVAL_MS = 1000
};

/* Return a planner for the jobs in ACTIVE.  */
struct wy_item_planner *
wy_item_planner_new (GHashTable *active)
{
  struct wy_item_planner *p = g_new0 (struct wy_item_planner, 1);

  p->active = active;
  p->paces = wy_item_paces_new ();
  return p;
}

static int64_t
now_of (const struct wy_active_job *o)
{
  return wy_clock_mono_ms (o->env->clock);
}

static gint
by_expected_length (gconstpointer a, gconstpointer b)
{
  const struct wy_item *x = *(struct wy_item *const *)a;
  const struct wy_item *y = *(struct wy_item *const *)b;

  if (x->spec->expected_tokens != y->spec->expected_tokens)
    return x->spec->expected_tokens > y->spec->expected_tokens ? -1 : 1;
  return x < y ? -1 : 1;
}

/* The text of I is complete; its last run was on a replica of SERVICE.  */
void
wy_item_plan_text_complete (struct wy_item *i, const char *service)
{
  wy_item_paces_record (i->job->planner->paces, i, service);
}

/* I, in state SCORING, has its score.  */
void
wy_item_plan_scored (struct wy_item *i)
{
  wy_item_paces_record_score (i->job->planner->paces, i,
                              now_of (i->job) - i->text_complete_ms);
}

/* Set the start order of O, all of whose items wait: longest expected text
   first.  */
void
wy_item_plan_init (struct wy_active_job *o)
{
  o->start_order = g_ptr_array_new ();
  for (uint32_t k = 0; k < o->n_items; k++)
    g_ptr_array_add (o->start_order, &o->items[k]);
  g_ptr_array_sort (o->start_order, by_expected_length);
  o->plan.groups
      = g_new0 (struct wy_item_order_group, g_hash_table_size (o->groups));
}

void
wy_item_plan_clear (struct wy_active_job *o)
{
  g_ptr_array_free (o->start_order, TRUE);
  g_free (o->plan.groups);
}

/* The class of I's group; all groups of a job that fits are selected.  */
enum wy_group_class
wy_item_plan_class (const struct wy_item *i)
{
  const struct wy_item_plan *p = &i->job->plan;

  return p->planned ? p->groups[i->group->index].class : WY_GROUP_SELECTED;
}

/* Whether no incomplete group of O can be on time.  */
bool
wy_item_plan_is_late (const struct wy_active_job *o)
{
  return o->plan.planned && o->plan.order.on_time == 0;
}

static double
mean_expected_tokens (const struct wy_active_job *o)
{
  double tokens = 0;
  uint32_t n = 0;

  for (uint32_t k = 0; k < o->n_items; k++)
    if (o->items[k].spec->expected_tokens)
      {
        tokens += o->items[k].spec->expected_tokens;
        n++;
      }
  return n ? tokens / n : 0;
}

/* Slot time that I still takes.  MEAN_TOKENS stands for a missing
   estimate.  */
static double
left_ms_of (const struct wy_item *i, const struct wy_item_pace *pace,
            double mean_tokens)
{
  double tokens
      = i->spec->expected_tokens ? i->spec->expected_tokens : mean_tokens;

  if (i->state != WY_ITEM_WAITING && i->state != WY_ITEM_RUNNING)
    return 0;
  return wy_item_pace_left_ms (pace, tokens, (uint32_t)(i->last_event + 1));
}

/* The priority of O among jobs.  An organisation that was removed from the
   configuration has the lowest.  */
struct wy_job_priority
wy_item_plan_priority (const struct wy_active_job *o)
{
  const struct wy_routing *r = o->env->routing;
  const struct wy_route *route = r ? wy_active_job_route (o) : NULL;
  const struct wy_org *org
      = r && r->orgs ? wy_orgs_find (r->orgs, o->record->organisation) : NULL;

  return (struct wy_job_priority){ .organisation_priority
                                   = org ? org->priority : UINT32_MAX,
                                   .route_priority
                                   = route ? route->priority : 0,
                                   .accepted_ms = o->record->accepted_ms };
}

/* Slot time that O takes before the items of a later job: that of running
   items and of groups that can be on time.  */
static double
work_before_ms (const struct wy_active_job *o, const struct wy_item_pace *pace)
{
  double mean_tokens = mean_expected_tokens (o);
  double ms = 0;

  for (uint32_t k = 0; k < o->n_items; k++)
    if (o->items[k].state == WY_ITEM_RUNNING
        || wy_item_plan_class (&o->items[k]) == WY_GROUP_SELECTED)
      ms += left_ms_of (&o->items[k], pace, mean_tokens);
  return ms;
}

/* Slots that O may use on average until it is due in LEFT_MS, beside the older
   jobs of its model; 0: unknown.  */
static double
usable_slots (struct wy_active_job *o, const struct wy_route *route,
              const struct wy_item_pace *pace, double left_ms)
{
  double slots = wy_model_jobs_slots (o, route);
  double guaranteed = wy_job_slots_guaranteed (slots, 2);
  GPtrArray *jobs = wy_model_jobs_list (o);
  double before_ms = 0;
  bool beside_late = false;
  double remaining = slots;

  for (guint k = 0; k < jobs->len && g_ptr_array_index (jobs, k) != o; k++)
    {
      const struct wy_active_job *older = g_ptr_array_index (jobs, k);

      before_ms += work_before_ms (older, pace);
      beside_late
          = beside_late || (wy_item_plan_is_late (older) && older->n_waiting);
    }
  g_ptr_array_free (jobs, TRUE);
  if (beside_late)
    remaining -= guaranteed;
  if (before_ms > 0)
    remaining = left_ms > 0 ? remaining - before_ms / left_ms : 0;
  return MAX (remaining, guaranteed);
}

static void
describe_items (struct wy_active_job *o, const struct wy_item_pace *pace,
                struct wy_item_order_item *out)
{
  double mean_tokens = mean_expected_tokens (o);

  for (uint32_t k = 0; k < o->n_items; k++)
    {
      const struct wy_item *i = &o->items[k];
      struct wy_item_order_group *g = &o->plan.groups[i->group->index];

      out[k].group = i->group->index;
      out[k].left_ms = left_ms_of (i, pace, mean_tokens);
      out[k].begun = i->runs > 0;
      g->complete = i->group->missing == 0;
      if (i->runs == 0 && i->last_event >= 0)
        g->carried = true;
      if (i->runs && o->plan.planned && g->class == WY_GROUP_SELECTED)
        g->keeps_place = true;
    }
}

/* A job that fits is reported once, another when its counts change and once a
   second.  */
static bool
is_to_be_logged (const struct wy_item_plan *p, int64_t now_ms)
{
  if (!p->logged_ms || p->logged.fits != p->order.fits)
    return true;
  return !p->order.fits
         && (p->logged.on_time != p->order.on_time
             || now_ms - p->logged_ms >= LOG_INTERVAL_MS);
}

static void
log_plan (struct wy_active_job *o, const struct wy_item_order_options *q)
{
  struct wy_item_plan *p = &o->plan;
  int64_t now_ms = now_of (o);

  if (!is_to_be_logged (p, now_ms))
    return;
  p->logged = p->order;
  p->logged_ms = now_ms;
  wy_json_log ("job.planned",
               "id=%s fits=%d on_time=%u wanted=%u slots=%.1f work_ms=%.0f "
               "left_ms=%.0f",
               o->record->id, p->order.fits, p->order.on_time, q->wanted,
               q->slots, p->order.work_ms, q->left_ms);
}

static void
set_order (struct wy_active_job *o, const uint32_t *order)
{
  if (!o->plan.order.fits)
    for (uint32_t k = 0; k < o->n_items; k++)
      o->start_order->pdata[k] = &o->items[order[k]];
  else if (o->plan.planned)
    g_ptr_array_sort (o->start_order, by_expected_length);
  o->plan.planned = !o->plan.order.fits;
}

static double
time_left_ms (const struct wy_active_job *o, const struct wy_route *route,
              const struct wy_item_pace *pace)
{
  int64_t age_ms = wy_active_job_age_ms (o);
  double left_ms;

  if (age_ms < 0)
    age_ms = now_of (o) - o->started_ms;
  left_ms = (double)((int64_t)route->result_deadline_ms - age_ms);
  return MAX (left_ms - pace->score_ms, 0);
}

static uint32_t
wanted_groups (const struct wy_active_job *o)
{
  uint32_t n = o->spec->wanted_groups ? o->spec->wanted_groups
                                      : g_hash_table_size (o->groups);

  return n > o->complete_groups ? n - o->complete_groups : 0;
}

/* Update the start order of O if its last plan is out of date.  A job keeps
   the longest-first order if it has no due time or what its items take is
   unknown.  */
void
wy_item_plan_update (struct wy_active_job *o)
{
  const struct wy_route *route = wy_active_job_route (o);
  const struct wy_item_pace *pace;
  struct wy_item_order_options q = { .n_items = o->n_items,
                                     .groups = o->plan.groups,
                                     .n_groups = g_hash_table_size (o->groups),
                                     .was_planned = o->plan.planned };
  struct wy_item_order_item *items;
  uint32_t *order;

  if (!route || !route->result_deadline_ms || now_of (o) < o->plan.next_ms)
    return;
  o->plan.next_ms = now_of (o) + PLAN_INTERVAL_MS;
  pace = wy_item_paces_of (o->planner->paces, wy_item_paces_service (route));
  if (wy_item_pace_ms_per_token (pace) <= 0 || mean_expected_tokens (o) <= 0)
    return;
  q.left_ms = time_left_ms (o, route, pace);
  q.slots = usable_slots (o, route, pace, q.left_ms);
  if (q.slots <= 0)
    return;
  q.wanted = wanted_groups (o);
  items = g_new (struct wy_item_order_item, o->n_items);
  order = g_new (uint32_t, o->n_items);
  describe_items (o, pace, items);
  q.items = items;
  o->plan.order = wy_item_order (&q, order);
  set_order (o, order);
  log_plan (o, &q);
  g_free (order);
  g_free (items);
}
