/* A job that this entry runs.  */
#include "jobs/active_job.h"

#include <string.h>

#include "decide/item_slots.h"
#include "jobs/checkpoint.h"
#include "jobs/demand.h"
#include "jobs/model_jobs.h"
#include "jobs/score.h"
#include "trace/json_log.h"

enum
{
  /* Added to the retention time, since the clocks of the store and of the
     submitter differ a little.  */
  RETENTION_SLACK_MS = 1000,
  /* Trainers submit the next step about a second after they end a job.  */
  LINGER_MS = 2000,
  /* Ticks between two checkpoints for a takeover.  */
  CHECKPOINT_TICKS = 5,
  /* Hedged score calls that a job may make at once: as many as a replica has
     in progress when it stops responding.  */
  HEDGE_BURST = 8
};

static int64_t
now_of (const struct wy_active_job *o)
{
  return wy_clock_mono_ms (o->env->clock);
}

/* Return the route by which O was submitted, or NULL if it was removed.  */
const struct wy_route *
wy_active_job_route (const struct wy_active_job *o)
{
  const struct wy_route *r
      = wy_routing_match (o->env->routing, o->record->host, o->record->path);

  return r && r->kind == WY_ROUTE_JOB ? r : NULL;
}

/* Return the time since O was accepted, by the store's clock; -1 if
   unknown.  */
int64_t
wy_active_job_age_ms (const struct wy_active_job *o)
{
  int64_t store_ms = wy_rows_store_now_ms (o->env->rows);

  return store_ms && o->record->accepted_ms ? store_ms - o->record->accepted_ms
                                            : -1;
}

/* Return the time until the items of O may be given up; -1 if unknown.  */
int64_t
wy_active_job_time_left_ms (const struct wy_active_job *o)
{
  const struct wy_route *route = wy_active_job_route (o);
  int64_t age_ms = wy_active_job_age_ms (o);

  if (!route || !route->retention_ms || age_ms < 0)
    return -1;
  return MAX ((int64_t)route->retention_ms + RETENTION_SLACK_MS - age_ms, 0);
}

/* Return the number of failures to score its text after which I is given up:
   the larger of the limits of its job's route and the scorer's route, at least
   1.  */
uint32_t
wy_item_max_score_failures (const struct wy_item *i)
{
  const struct wy_route *job = wy_active_job_route (i->job);
  const struct wy_route *scorer
      = wy_scorer_route (i->job->env->routing, i->spec->scorer);

  return MAX (MAX (job ? job->attempts : 0, scorer ? scorer->attempts : 0), 1);
}

static struct wy_group *
find_or_add_group (struct wy_active_job *o, const char *name)
{
  struct wy_group *g = g_hash_table_lookup (o->groups, name);

  if (g)
    return g;
  g = g_new0 (struct wy_group, 1);
  g->index = g_hash_table_size (o->groups);
  g_hash_table_insert (o->groups, (char *)name, g);
  return g;
}

/* Return a job for OPT->record with all its items waiting.  */
struct wy_active_job *
wy_active_job_new (const struct wy_active_job_options *opt)
{
  struct wy_active_job *o = g_new0 (struct wy_active_job, 1);

  o->env = opt->env;
  o->record = opt->record;
  o->spec = opt->spec;
  o->planner = opt->planner;
  o->row_bytes = opt->row_bytes;
  o->started_ms = now_of (o);
  wy_memory_account_add (&o->env->memory, WY_MEMORY_JOBS,
                         (int64_t)o->spec->size_bytes);
  o->on_listed = opt->on_listed;
  o->on_end = opt->on_end;
  o->ctx = opt->ctx;
  o->n_items = o->spec->items->len;
  o->n_waiting = o->n_items;
  o->items = g_new0 (struct wy_item, o->n_items);
  g_queue_init (&o->unlisted);
  o->unreadable
      = g_array_new (FALSE, FALSE, sizeof (struct wy_unreadable_result));
  o->batch = g_ptr_array_new ();
  o->groups = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  wy_retry_init (&o->hedge_budget,
                 &(struct wy_retry_options){ .burst = HEDGE_BURST });
  for (uint32_t k = 0; k < o->n_items; k++)
    {
      struct wy_item *i = &o->items[k];

      i->job = o;
      i->spec = g_ptr_array_index (o->spec->items, k);
      i->group = find_or_add_group (o, i->spec->group);
      i->group->missing++;
      i->text = g_string_new (NULL);
      i->versions = g_array_new (FALSE, FALSE, sizeof (int64_t));
      i->last_event = -1;
      i->next_job_event = -1;
      i->saved_event = -1;
    }
  wy_item_plan_init (o);
  uv_timer_init (o->env->loop, &o->flush);
  o->flush.data = o;
  return o;
}

static void
free_active_job (struct wy_active_job *o)
{
  size_t counted_bytes = o->spec->size_bytes;

  for (uint32_t k = 0; k < o->n_items; k++)
    {
      struct wy_item *i = &o->items[k];

      counted_bytes += i->counted_bytes;
      if (i->avoid)
        wy_target_unref (o->env->targets, i->avoid);
      g_string_free (i->text, TRUE);
      g_array_free (i->versions, TRUE);
      wy_result_free (i->result);
    }
  wy_memory_account_add (&o->env->memory, WY_MEMORY_JOBS,
                         -(int64_t)counted_bytes);
  wy_checkpoint_detach (o);
  g_free (o->items);
  g_hash_table_destroy (o->groups);
  wy_item_plan_clear (o);
  g_ptr_array_free (o->batch, TRUE);
  g_queue_clear (&o->unlisted);
  g_array_free (o->unreadable, TRUE);
  wy_job_spec_free (o->spec);
  wy_job_record_free (o->record);
  g_free (o);
}

static void
on_flush_closed (uv_handle_t *h)
{
  struct wy_active_job *o = h->data;

  /* A store call in progress still refers to O and frees it when it ends.  */
  if (!o->writing)
    free_active_job (o);
  else
    o->flush.data = NULL;
}

/* Stop the job and free it when nothing refers to it any more.  */
void
wy_active_job_close (struct wy_active_job *o)
{
  if (o->closed)
    return;
  o->closed = true;
  for (uint32_t k = 0; k < o->n_items; k++)
    {
      if (o->items[k].run)
        wy_run_cancel (o->items[k].run);
      wy_item_cancel_scoring (&o->items[k]);
    }
  uv_close ((uv_handle_t *)&o->flush, on_flush_closed);
}

/* A store call on behalf of O has ended.  Return false if O was closed
   meanwhile and must no longer be used.  */
bool
wy_active_job_store_call_ended (struct wy_active_job *o)
{
  o->writing = false;
  if (!o->closed)
    return true;
  if (!o->flush.data)
    free_active_job (o);
  return false;
}

/* Mark ITEM as listed at the next position by a former holder.  */
void
wy_active_job_restore_listed (struct wy_active_job *o, const char *item)
{
  for (uint32_t k = 0; k < o->n_items; k++)
    {
      struct wy_item *i = &o->items[k];

      if (i->state == WY_ITEM_LISTED || strcmp (i->spec->id, item) != 0)
        continue;
      i->state = WY_ITEM_LISTED;
      wy_item_count_result (i);
      o->n_waiting--;
      o->n_listed++;
      return;
    }
}

/* Return the number of positions of the result list of O in the store.  */
uint64_t
wy_active_job_positions (const struct wy_active_job *o)
{
  return (uint64_t)o->n_listed + o->unreadable->len;
}

/* Note that the result at the next position, whose row has ROW_VERSION, can't
   be read.  Its item is among those that wait.  */
void
wy_active_job_restore_unreadable (struct wy_active_job *o, int64_t row_version)
{
  struct wy_unreadable_result u = { .position = wy_active_job_positions (o),
                                    .row_version = row_version };

  wy_json_log ("job.result_unreadable", "id=%s position=%llu version=%lld",
               o->record->id, (unsigned long long)u.position,
               (long long)u.row_version);
  g_array_append_val (o->unreadable, u);
}

static void
give_up_all (struct wy_active_job *o, const char *why)
{
  wy_json_log ("job.given_up", "id=%s reason=%s items=%u listed=%u",
               o->record->id, why, o->n_items, o->n_listed);
  for (uint32_t k = 0; k < o->n_items; k++)
    {
      struct wy_item *i = &o->items[k];

      if (i->run)
        {
          wy_run_cancel (i->run);
          i->state = WY_ITEM_WAITING;
          o->n_waiting++;
        }
      if (i->state == WY_ITEM_WAITING || i->state == WY_ITEM_SCORING)
        wy_item_give_up (i);
    }
}

/* Pick a target for I, or return NULL.  EXCEPT is excluded unless it is NULL,
   and so are targets slower than PACE_LIMIT_MS per event and those with more
   than the share SLOTS_SHARE of their slots occupied (0: no limit, for
   both).  */
struct wy_target *
wy_active_job_pick_target (const struct wy_item *i,
                           const struct wy_target *except,
                           double pace_limit_ms, double slots_share)
{
  const struct wy_active_job *o = i->job;
  const struct wy_route *route = wy_active_job_route (o);
  struct wy_target_criteria q
      = { .work = WY_WORK_EVENT,
          .availability_zone = o->env->availability_zone,
          .model = *o->spec->model ? o->spec->model : NULL,
          .min_version = o->spec->min_version,
          .newest_version = o->newest_version,
          .require_free_slot = true,
          .slots_share = slots_share,
          .pace_limit_ms = pace_limit_ms,
          .tried = &except,
          .n_tried = except ? 1 : 0 };

  if (!route)
    return NULL;
  q.service = wy_route_pick_service (
      route, wy_rng_below (&i->job->env->rng, UINT32_MAX));
  q.in_flight_limit = wy_gate_in_flight_limit (o->env, q.service);
  q.range = wy_demand_range (o->env->demand, q.service, q.model);
  return wy_targets_pick (o->env->targets, &q, now_of (o));
}

/* Start at most MAX waiting items, those with the longest expected text first:
   the step ends with the last item of its groups, so a long item that starts
   late delays it.  If the job can't end in time, its plan says the order, and
   only items of groups up to the class LAST start.  Under level SHED none
   starts: its text could not be read, and would hold a slot.  */
void
wy_active_job_start_waiting (struct wy_active_job *o, uint32_t max,
                             enum wy_group_class last)
{
  const struct wy_route *route;
  int64_t now_ms = now_of (o);
  bool limited_full = false; /* no slot for items with a limited share */

  if (o->closed || o->lingering || o->n_waiting == 0 || !o->env->routing
      || o->env->stopping
      || wy_memory_account_level (&o->env->memory) == WY_MEMORY_SHED)
    return;
  route = wy_active_job_route (o);
  if (!route)
    return;
  wy_item_plan_update (o);
  for (uint32_t k = 0; k < o->n_items && o->n_waiting && max; k++)
    {
      struct wy_item *i = g_ptr_array_index (o->start_order, k);
      struct wy_item_slots_options slots
          = { .length_rank = k,
              .items = o->n_items,
              .has_partial_text = i->last_event >= 0,
              .exceeds_capacity = o->plan.planned,
              .waited_ms = now_ms - o->started_ms,
              .due_ms = route->result_deadline_ms };
      double share = wy_item_slots_occupancy_max (&slots);
      struct wy_target *g;

      if (i->state != WY_ITEM_WAITING || i->not_before_ms > now_ms
          || (share > 0 && limited_full) || wy_item_plan_class (i) > last)
        continue;
      g = wy_active_job_pick_target (i, i->avoid, 0, share);
      /* The target that failed last is better than none.  */
      if (!g && i->avoid)
        g = wy_active_job_pick_target (i, NULL, 0, share);
      if (!g && share > 0)
        limited_full = true;
      else if (!g)
        return;
      else
        {
          wy_run_start (i, g, route);
          max--;
        }
    }
}

/* Start calls for scores of O, and waiting items of O and of the jobs that
   share its slots.  */
void
wy_active_job_start_items (struct wy_active_job *o)
{
  wy_scores_start_calls (o);
  if (o->env->routing)
    wy_model_jobs_start_items (o);
}

static void
check_time (struct wy_active_job *o)
{
  if (o->n_waiting + o->n_scoring && wy_active_job_time_left_ms (o) == 0)
    give_up_all (o, "retention");
}

/* Check runs, score calls and time limits and start waiting items; called some
   times a second.  CHECK_RUNS is false if runs and score calls can't be judged
   now.  */
void
wy_active_job_tick (struct wy_active_job *o, bool check_runs)
{
  if (o->closed || !o->env->routing)
    return;
  for (uint32_t k = 0; check_runs && k < o->n_items; k++)
    {
      if (o->items[k].run)
        wy_run_check_progress (o->items[k].run);
      if (o->items[k].score)
        wy_score_check_calls (o->items[k].score);
    }
  check_time (o);
  if (o->unlisted.length)
    wy_result_list_schedule (o);
  if (++o->ticks % CHECKPOINT_TICKS == 0 && *o->spec->model)
    wy_checkpoint_write_for_takeover (o);
  wy_active_job_start_items (o);
}

/* The trainer has ended the job: current runs continue for a while, so that a
   later job with the same items finds more of their text, but nothing new
   starts.  The caller still has to close O.  */
void
wy_active_job_linger (struct wy_active_job *o)
{
  o->lingering = true;
  o->linger_until_ms = now_of (o) + LINGER_MS;
  wy_checkpoint_write_for_next_job (o, false);
  for (uint32_t k = 0; k < o->n_items; k++)
    {
      struct wy_item *i = &o->items[k];

      if (i->score)
        wy_score_cancel_calls (i->score);
      /* Text that no later job can use is not worth a slot.  */
      if (i->run && i->next_job_event < 0)
        {
          wy_run_cancel (i->run);
          i->state = WY_ITEM_WAITING;
          o->n_waiting++;
        }
    }
}

/* Store the text that the runs have added.  Return whether any run
   continues.  */
bool
wy_active_job_linger_tick (struct wy_active_job *o)
{
  bool any = false;

  wy_checkpoint_write_for_next_job (o, true);
  if (now_of (o) >= o->linger_until_ms || o->env->stopping)
    return false;
  for (uint32_t k = 0; k < o->n_items; k++)
    any = any || o->items[k].run;
  return any;
}

/* Return whether all results are listed.  */
bool
wy_active_job_is_done (const struct wy_active_job *o)
{
  return o->n_listed == o->n_items;
}
