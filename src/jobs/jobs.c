/* The jobs in the store and the ones that this entry runs.

   The row of a job names its holder, the entry that runs it.  If that entry
   fails, another writes its own name there, on the condition that the row has
   not changed.  The row's version is a condition of each later write of the
   row or of results, so from then on the store rejects those of the former
   holder, even if it is still running.  */
#include "jobs/state.h"

#include <string.h>

#include "jobs/demand.h"
#include "trace/json_log.h"

enum
{
  TICK_MS = 100,
  /* Ticks between two checks of ended jobs whose runs continue.  */
  LINGER_TICKS = 3,
  /* Ticks between two attempts to mark jobs as done in the store.  */
  MARK_DONE_TICKS = 10,
  /* Ticks between two updates of the models' shares, which change with demands
     and replicas.  */
  SHARES_TICKS = 5,
  /* A tick that is this late shows that the process was suspended.  */
  STALL_MS = 60,
  WATCH_INTERVAL_MS = 150,
  /* Delay per rank between the entries that may take over a job, so that
     usually only one of them writes.  */
  RANK_DELAY_MS = 250,
  ROW_MARGIN_BYTES = 64,
  /* Memory that a job takes, as a multiple of its submitted body: the items
     and their texts, and during acceptance the body and its parsed form.  */
  BODY_MULTIPLE = 4
};

/* Return the latest known record of the job ID, or NULL.  */
const struct wy_job_record *
wy_jobs_find (const struct wy_jobs *j, const char *id)
{
  return g_hash_table_lookup (j->records, id);
}

static void
free_record (gpointer p)
{
  wy_job_record_free (p);
}

static void
drop_active_job (struct wy_jobs *j, struct wy_active_job *o)
{
  if (g_hash_table_lookup (j->active, o->record->id) == o)
    {
      g_hash_table_remove (j->active, o->record->id);
      wy_rejections_ended (j->env->rejections, NULL);
    }
  wy_active_job_close (o);
}

static void
start_lingering (struct wy_jobs *j, struct wy_active_job *o)
{
  g_hash_table_remove (j->active, o->record->id);
  wy_rejections_ended (j->env->rejections, NULL);
  wy_active_job_linger (o);
  g_ptr_array_add (j->lingering, o);
}

/* Update the record of a job to R if R is newer.  Take ownership of R.  */
void
wy_jobs_update_record (struct wy_jobs *j, struct wy_job_record *r)
{
  const struct wy_job_record *old = wy_jobs_find (j, r->id);
  struct wy_active_job *o = g_hash_table_lookup (j->active, r->id);

  if (old && old->row_version >= r->row_version)
    {
      wy_job_record_free (r);
      return;
    }
  if (wy_watch_is_synced (j->watch)
      && (!old || old->state != r->state
          || strcmp (old->holder, r->holder) != 0))
    wy_json_log ("job.seen", "id=%s state=%s holder=%s version=%lld", r->id,
                 wy_job_state_name (r->state), r->holder,
                 (long long)r->row_version);
  g_hash_table_replace (j->records, r->id, r);
  if (o
      && (r->state != WY_JOB_OPEN
          || strcmp (r->holder, o->record->holder) != 0))
    {
      wy_json_log ("job.stopped", "id=%s state=%s holder=%s listed=%u of=%u",
                   r->id, wy_job_state_name (r->state), r->holder, o->n_listed,
                   o->n_items);
      if (r->state == WY_JOB_ENDED && *o->spec->model)
        start_lingering (j, o);
      else
        drop_active_job (j, o);
    }
  else if (o)
    o->record->row_version = r->row_version;
}

static void
on_row (void *ctx, const struct wy_row *row)
{
  struct wy_jobs *j = ctx;
  struct wy_job_record *r;

  if (strcmp (row->key, WY_JOB_ROW_KEY) != 0)
    return;
  if (row->deleted)
    {
      struct wy_active_job *o
          = g_hash_table_lookup (j->active, row->partition);

      if (o)
        drop_active_job (j, o);
      g_hash_table_remove (j->records, row->partition);
      wy_jobs_forget_finished (j, row->partition);
      return;
    }
  r = wy_job_record_decode (row);
  if (r)
    wy_jobs_update_record (j, r);
  else
    wy_json_log ("job.unreadable", "id=%s version=%lld", row->partition,
                 (long long)row->version);
}

/* New results of the job O are listed in the store.  */
void
wy_jobs_on_listed (void *ctx, struct wy_active_job *o)
{
  struct wy_jobs *j = ctx;

  wy_json_log ("job.listed", "id=%s listed=%u of=%u waiting=%u scoring=%u",
               o->record->id, o->n_listed, o->n_items, o->n_waiting,
               o->n_scoring);
  wy_jobs_wake_readers (j, o->record->id);
}

/* The job O is done, or this entry is no longer its holder.  */
void
wy_jobs_on_job_end (void *ctx, struct wy_active_job *o,
                    enum wy_active_job_end why)
{
  struct wy_jobs *j = ctx;

  if (why == WY_ACTIVE_JOB_DONE)
    {
      wy_json_log ("job.done", "id=%s items=%u", o->record->id, o->n_items);
      wy_jobs_mark_done (j, o->record);
    }
  drop_active_job (j, o);
}

/* Record that the job O has started here, as a part of its model's demand.  */
void
wy_jobs_count_demand (struct wy_jobs *j, const struct wy_active_job *o)
{
  struct wy_job_priority p = wy_item_plan_priority (o);

  wy_demand_job_started (j->env->demand, o, wy_job_priority_effective (&p));
}

/* Run the job of R here.  Take ownership of SPEC.  */
struct wy_active_job *
wy_jobs_activate (struct wy_jobs *j, const struct wy_job_record *r,
                  struct wy_job_spec *spec)
{
  struct wy_active_job_options o = { .env = j->env,
                                     .record = wy_job_record_copy (r),
                                     .spec = spec,
                                     .row_bytes = j->row_bytes,
                                     .planner = j->planner,
                                     .on_listed = wy_jobs_on_listed,
                                     .on_end = wy_jobs_on_job_end,
                                     .ctx = j };
  struct wy_active_job *w = wy_active_job_new (&o);

  w->newest_version = wy_staleness_newest_version (j->staleness, spec->model);
  g_hash_table_insert (j->active, w->record->id, w);
  wy_jobs_count_demand (j, w);
  return w;
}

/* Return whether one more job with a body of BODY_BYTES fits into the memory
   for jobs.  Without this limit, hundreds of large jobs would exhaust the
   memory and end the process with everything it runs; the submitter of a
   rejected job retries at another entry.  Texts, and what other requests hold,
   are in the memory account of the process.  */
bool
wy_jobs_has_memory_for (const struct wy_jobs *j, size_t body_bytes)
{
  uint64_t held = j->submissions_bytes + body_bytes;
  GHashTableIter it;
  gpointer p;

  if (wy_memory_account_level (&j->env->memory) >= WY_MEMORY_REJECT_NEW)
    return false;
  if (j->memory_limit_bytes == 0)
    return true;
  g_hash_table_iter_init (&it, j->active);
  while (g_hash_table_iter_next (&it, NULL, &p))
    held += ((const struct wy_active_job *)p)->spec->size_bytes;
  return held * BODY_MULTIPLE <= j->memory_limit_bytes;
}

static bool
should_take_over (struct wy_jobs *j, const struct wy_job_record *r,
                  int64_t now_ms)
{
  if (r->state != WY_JOB_OPEN || g_hash_table_contains (j->active, r->id)
      || g_hash_table_contains (j->starting, r->id)
      || g_hash_table_contains (j->finished, r->id))
    return false;
  if (!wy_jobs_has_memory_for (j, 0))
    return false;
  if (!strcmp (r->holder, j->env->holder))
    return true;
  if (!wy_members_holder_is_gone (j->members, r->holder))
    return false;
  return now_ms / RANK_DELAY_MS % (wy_members_rank (j->members, r->id) + 1)
         == 0;
}

static void
take_over_jobs (struct wy_jobs *j)
{
  int64_t now_ms = wy_clock_mono_ms (j->env->clock);
  GPtrArray *found = g_ptr_array_new ();
  GHashTableIter it;
  gpointer p;

  g_hash_table_iter_init (&it, j->records);
  while (g_hash_table_iter_next (&it, NULL, &p))
    if (should_take_over (j, p, now_ms))
      g_ptr_array_add (found, p);
  for (guint i = 0; i < found->len; i++)
    wy_jobs_take_over (j, g_ptr_array_index (found, i));
  g_ptr_array_free (found, TRUE);
}

struct ranked_job
{
  struct wy_job_priority priority;
  struct wy_active_job *job;
};

static gint
by_priority (gconstpointer a, gconstpointer b)
{
  return wy_job_priority_compare (&((const struct ranked_job *)a)->priority,
                                  &((const struct ranked_job *)b)->priority);
}

static void
each_active_job (struct wy_jobs *j, void (*fn) (struct wy_active_job *o))
{
  GArray *all = g_array_new (FALSE, FALSE, sizeof (struct ranked_job));
  GHashTableIter it;
  gpointer p;

  g_hash_table_iter_init (&it, j->active);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      struct ranked_job t = { wy_item_plan_priority (p), p };

      g_array_append_val (all, t);
    }
  g_array_sort (all, by_priority);
  for (guint i = 0; i < all->len; i++)
    fn (g_array_index (all, struct ranked_job, i).job);
  g_array_free (all, TRUE);
}

static void
tick_job (struct wy_active_job *o)
{
  wy_active_job_tick (o, true);
}

static void
tick_job_unchecked (struct wy_active_job *o)
{
  wy_active_job_tick (o, false);
}

static void
tick_lingering (struct wy_jobs *j)
{
  for (guint i = j->lingering->len; i > 0; i--)
    {
      struct wy_active_job *o = g_ptr_array_index (j->lingering, i - 1);

      if (wy_active_job_linger_tick (o))
        continue;
      g_ptr_array_remove_index_fast (j->lingering, i - 1);
      wy_active_job_close (o);
    }
}

static void
on_tick (uv_timer_t *t)
{
  struct wy_jobs *j = t->data;
  int64_t now_ms = wy_clock_mono_ms (j->env->clock);

  /* If the tick is late, the process was suspended and responses received
     meanwhile have not been read yet, so runs must not be taken for
     silent.  */
  if (now_ms - j->last_tick_ms < TICK_MS + STALL_MS)
    each_active_job (j, tick_job);
  else
    each_active_job (j, tick_job_unchecked);
  j->last_tick_ms = now_ms;
  if (++j->ticks % LINGER_TICKS == 0)
    tick_lingering (j);
  if (j->ticks % MARK_DONE_TICKS == 0)
    wy_jobs_retry_mark_done (j);
  if (j->ticks % SHARES_TICKS == 0)
    wy_demand_update_shares (j->env->demand);
  if (!j->env->stopping)
    {
      take_over_jobs (j);
      wy_jobs_expire (j);
    }
  wy_jobs_accept_tick (j);
}

/* Record that a trainer has announced VERSION of MODEL.  */
void
wy_jobs_version_announced (struct wy_jobs *j, const char *model,
                           int64_t version)
{
  wy_staleness_version_announced (j->staleness, model, version);
}

/* Start waiting items after targets were added or removed.  */
void
wy_jobs_targets_changed (struct wy_jobs *j)
{
  each_active_job (j, wy_active_job_start_items);
}

/* Watch the jobs in the store and run those of this entry.  */
struct wy_jobs *
wy_jobs_new (const struct wy_jobs_options *o)
{
  struct wy_jobs *j = g_new0 (struct wy_jobs, 1);
  struct wy_watch_options w = { .loop = o->env->loop,
                                .clock = o->env->clock,
                                .rows = o->env->rows,
                                .table = WY_JOBS_TABLE,
                                .all_partitions = true,
                                .min_interval_ms = WATCH_INTERVAL_MS,
                                .seed = o->seed,
                                .on_row = on_row,
                                .ctx = j };

  j->env = o->env;
  j->members = o->members;
  j->piece_bytes = o->max_object_bytes;
  j->result_retention_ms = o->result_retention_ms;
  j->memory_limit_bytes = o->memory_limit_bytes;
  /* The store counts a row's bytes in their base64 form.  */
  j->row_bytes = o->max_row_bytes / 4 * 3 - ROW_MARGIN_BYTES;
  j->records
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_record);
  j->active = g_hash_table_new (g_str_hash, g_str_equal);
  j->planner = wy_item_planner_new (j->active);
  j->lingering = g_ptr_array_new ();
  j->submissions = g_ptr_array_new ();
  j->finished
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  j->starting = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_queue_init (&j->waiting_calls);
  j->watch = wy_watch_new (&w);
  j->staleness = wy_staleness_new (o->env);
  if (o->shares_by_demand)
    o->env->demand = wy_demand_new (o->env, o->seed + 1);
  uv_timer_init (o->env->loop, &j->tick);
  j->tick.data = j;
  uv_timer_start (&j->tick, on_tick, TICK_MS, TICK_MS);
  return j;
}

/* Stops.  The memory of J is not freed, since store calls may still refer to
   it.  */
void
wy_jobs_free (struct wy_jobs *j)
{
  GList *all = g_hash_table_get_values (j->active);

  for (GList *l = all; l; l = l->next)
    drop_active_job (j, l->data);
  g_list_free (all);
  for (guint i = 0; i < j->lingering->len; i++)
    wy_active_job_close (g_ptr_array_index (j->lingering, i));
  g_ptr_array_set_size (j->lingering, 0);
  wy_staleness_free (j->staleness);
  wy_demand_free (j->env->demand);
  j->env->demand = NULL;
  wy_watch_free (j->watch);
  uv_close ((uv_handle_t *)&j->tick, NULL);
}

/* Return whether all jobs in the store are known.  */
bool
wy_jobs_is_synced (const struct wy_jobs *j)
{
  return wy_watch_is_synced (j->watch);
}

/* Return the number of jobs that run here.  */
uint32_t
wy_jobs_running (const struct wy_jobs *j)
{
  return g_hash_table_size (j->active);
}
