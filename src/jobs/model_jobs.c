/* The jobs of one model that run on this entry and share its replicas.  */
#include "jobs/model_jobs.h"

#include <string.h>

#include "decide/job_slots.h"

struct slot_count
{
  const struct wy_active_job *job;
  const struct wy_route *route;
  double slots;
};

static bool
has_service (const struct wy_route *route, const char *service)
{
  for (guint k = 0; k < route->splits->len; k++)
    if (!strcmp (
            g_array_index (route->splits, struct wy_traffic_split, k).service,
            service))
      return true;
  return false;
}

/* Count the slots of a replica that may run the job's items.  One that is a
   single version behind counts too: the replicas of a model load its versions
   in turns, and this one will have the next within a second or two.  Without
   it, each new job would seem to have half of its slots.  */
static void
count_slots (void *ctx, const struct wy_target *g)
{
  struct slot_count *c = ctx;
  const struct wy_job_spec *spec = c->job->spec;
  uint32_t limit = wy_gate_in_flight_limit (c->job->env, g->info.service);

  if (!g->listed || g->info.draining
      || !has_service (c->route, g->info.service))
    return;
  if (*spec->model && spec->min_version > 0
      && wy_target_version (g, spec->model) < MAX (spec->min_version - 1, 1))
    return;
  c->slots += limit ? MIN (g->info.slots, limit) : g->info.slots;
}

/* Slots that O, submitted by ROUTE, shares with the other jobs of its
   model.  */
double
wy_model_jobs_slots (const struct wy_active_job *o,
                     const struct wy_route *route)
{
  struct slot_count c = { .job = o, .route = route };

  wy_targets_each (o->env->targets, count_slots, &c);
  return c.slots;
}

/* Whether A and B have the same model and the same priority.  */
static bool
shares_slots (const struct wy_active_job *a, const struct wy_active_job *b)
{
  struct wy_job_priority x;
  struct wy_job_priority y;

  if (!*a->spec->model || strcmp (a->spec->model, b->spec->model) != 0)
    return false;
  x = wy_item_plan_priority (a);
  y = wy_item_plan_priority (b);
  y.accepted_ms = x.accepted_ms;
  return wy_job_priority_compare (&x, &y) == 0;
}

static gint
by_age (gconstpointer a, gconstpointer b)
{
  const struct wy_active_job *x = *(struct wy_active_job *const *)a;
  const struct wy_active_job *y = *(struct wy_active_job *const *)b;

  if (x->record->accepted_ms != y->record->accepted_ms)
    return x->record->accepted_ms < y->record->accepted_ms ? -1 : 1;
  return strcmp (x->record->id, y->record->id);
}

/* The jobs of the model and priority of O, the oldest first, including O.  */
GPtrArray *
wy_model_jobs_list (struct wy_active_job *o)
{
  GPtrArray *all = g_ptr_array_new ();
  GHashTableIter it;
  gpointer p;

  g_hash_table_iter_init (&it, o->planner->active);
  while (g_hash_table_iter_next (&it, NULL, &p))
    if (p == o || shares_slots (o, p))
      g_ptr_array_add (all, p);
  g_ptr_array_sort (all, by_age);
  return all;
}

static uint32_t
count_running (const struct wy_active_job *o)
{
  uint32_t n = 0;

  for (uint32_t k = 0; k < o->n_items; k++)
    n += o->items[k].state == WY_ITEM_RUNNING;
  return n;
}

/* Number of items of JOB, of JOBS that have waiting items, which may start
   before all other jobs', if RUNNING are running.  */
static uint32_t
missing_slots (const struct wy_active_job *job, uint32_t jobs,
               uint32_t running)
{
  const struct wy_route *route = wy_active_job_route (job);
  struct wy_job_slots_options q = { .jobs = jobs, .running = running };

  if (!route)
    return 0;
  q.slots = wy_model_jobs_slots (job, route);
  return wy_job_slots_missing (&q);
}

/* Late jobs share one guarantee.  */
static void
start_late (const GPtrArray *jobs, uint32_t waiting_jobs)
{
  uint32_t running = 0;

  for (guint k = 0; k < jobs->len; k++)
    if (wy_item_plan_is_late (g_ptr_array_index (jobs, k)))
      running += count_running (g_ptr_array_index (jobs, k));
  for (guint k = 0; k < jobs->len; k++)
    {
      struct wy_active_job *o = g_ptr_array_index (jobs, k);
      uint32_t before;

      if (!wy_item_plan_is_late (o) || o->n_waiting == 0)
        continue;
      before = o->n_waiting;
      wy_active_job_start_waiting (o, missing_slots (o, waiting_jobs, running),
                                   WY_GROUP_WANTED);
      running += before - o->n_waiting;
    }
}

static void
start_guaranteed (const GPtrArray *jobs)
{
  uint32_t waiting_jobs = 0;

  for (guint k = 0; k < jobs->len; k++)
    waiting_jobs
        += ((struct wy_active_job *)g_ptr_array_index (jobs, k))->n_waiting
           > 0;
  if (waiting_jobs < 2)
    return;
  start_late (jobs, waiting_jobs);
  for (guint k = 0; k < jobs->len; k++)
    {
      struct wy_active_job *o = g_ptr_array_index (jobs, k);

      if (!wy_item_plan_is_late (o) && o->n_waiting)
        wy_active_job_start_waiting (
            o, missing_slots (o, waiting_jobs, count_running (o)),
            WY_GROUP_SELECTED);
    }
}

static void
start_class (const GPtrArray *jobs, enum wy_group_class class)
{
  for (guint k = 0; k < jobs->len; k++)
    {
      struct wy_active_job *o = g_ptr_array_index (jobs, k);

      if (class == WY_GROUP_SELECTED || o->plan.planned)
        wy_active_job_start_waiting (o, UINT32_MAX, class);
    }
}

/* Start waiting items of O and of the jobs that share its slots: first in the
   slots that each is guaranteed, then what can be on time, then what the
   trainers need, then the rest, each by age of the jobs.  Late groups of an
   older job would make the groups of the later one late, and so each job after
   it.  A slot that one job can't use is offered to the next.  */
void
wy_model_jobs_start_items (struct wy_active_job *o)
{
  GPtrArray *jobs = wy_model_jobs_list (o);

  start_guaranteed (jobs);
  start_class (jobs, WY_GROUP_SELECTED);
  start_class (jobs, WY_GROUP_WANTED);
  start_class (jobs, WY_GROUP_UNWANTED);
  g_ptr_array_free (jobs, TRUE);
}
