/* All jobs as an entry sees them: who runs which.

   A job is run by the entry whose name its row holds.  When that entry is
   gone, another writes its own name there, on the condition that the row has
   not changed; from then on nothing the first one writes for the job holds,
   wherever it may be and whatever it believes.  */
#include "jobs/state.h"

#include <string.h>

#include "decide/job_priority.h"
#include "trace/json_log.h"

enum
{
  TICK_MS = 100,
  /* Ticks between two looks at ended jobs whose runs go on.  */
  LINGER_TICKS = 3,
  /* Ticks between two tries to mark jobs done in the store.  */
  FINISH_TICKS = 10,
  /* A tick this much later than it should come tells that the process stood
     still.  */
  STALL_MS = 60,
  WATCH_GAP_MS = 150,
  /* Entries take over a job in an order of their own; each waits this much
     longer than the one before it, so that mostly one writes.  */
  RANK_DELAY_MS = 250,
  ROW_MARGIN_BYTES = 64,
  /* Memory that a job takes, as a multiple of its submitted body: the items,
     their texts, and while it is accepted the body and its parsed form.  */
  BODY_MULTIPLE = 4
};

/* The record of the job ID as last told; NULL: none.  */
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
forget_owned (struct wy_jobs *j, struct wy_owned *o)
{
  if (g_hash_table_lookup (j->owned, o->record->id) == o)
    g_hash_table_remove (j->owned, o->record->id);
  wy_owned_drop (o);
}

static void
let_linger (struct wy_jobs *j, struct wy_owned *o)
{
  g_hash_table_remove (j->owned, o->record->id);
  wy_owned_linger (o);
  g_ptr_array_add (j->lingering, o);
}

/* A newer row of a job is known; takes R over.  */
void
wy_jobs_learn (struct wy_jobs *j, struct wy_job_record *r)
{
  const struct wy_job_record *old = wy_jobs_find (j, r->id);
  struct wy_owned *o = g_hash_table_lookup (j->owned, r->id);

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
        let_linger (j, o);
      else
        forget_owned (j, o);
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
      struct wy_owned *o = g_hash_table_lookup (j->owned, row->partition);

      if (o)
        forget_owned (j, o);
      g_hash_table_remove (j->records, row->partition);
      wy_jobs_forget_finished (j, row->partition);
      return;
    }
  r = wy_job_record_decode (row);
  if (r)
    wy_jobs_learn (j, r);
  else
    wy_json_log ("job.unreadable", "id=%s version=%lld", row->partition,
                 (long long)row->version);
}

/* Results of the job O are confirmed.  */
void
wy_jobs_on_listed (void *ctx, struct wy_owned *o)
{
  struct wy_jobs *j = ctx;

  wy_json_log ("job.listed", "id=%s listed=%u of=%u waiting=%u scoring=%u",
               o->record->id, o->n_listed, o->n_items, o->n_waiting,
               o->n_scoring);
  wy_jobs_wake_readers (j, o->record->id);
}

/* The job O is no longer this entry's, or is done.  */
void
wy_jobs_on_owned_end (void *ctx, struct wy_owned *o, enum wy_owned_end why)
{
  struct wy_jobs *j = ctx;

  if (why == WY_OWNED_DONE)
    {
      wy_json_log ("job.done", "id=%s items=%u", o->record->id, o->n_items);
      wy_jobs_finish (j, o->record);
    }
  forget_owned (j, o);
}

/* Run the job of R here.  Takes SPEC over.  */
struct wy_owned *
wy_jobs_own (struct wy_jobs *j, const struct wy_job_record *r,
             struct wy_job_spec *spec)
{
  struct wy_owned_options o = { .env = j->env,
                                .record = wy_job_record_copy (r),
                                .spec = spec,
                                .row_bytes = j->row_bytes,
                                .on_listed = wy_jobs_on_listed,
                                .on_end = wy_jobs_on_owned_end,
                                .ctx = j };
  struct wy_owned *w = wy_owned_new (&o);

  w->newest_version = wy_staleness_newest_version (j->lags, spec->model);
  g_hash_table_insert (j->owned, w->record->id, w);
  return w;
}

/* Whether one more job with a body of BODY_BYTES fits into the memory set
   aside for jobs.  Hundreds of large ones at a time would else end the process
   and all that it runs; what is refused finds another entry.  */
bool
wy_jobs_have_room (const struct wy_jobs *j, size_t body_bytes)
{
  uint64_t held = j->accepting_bytes + body_bytes;
  GHashTableIter it;
  gpointer p;

  if (j->memory_bytes == 0)
    return true;
  g_hash_table_iter_init (&it, j->owned);
  while (g_hash_table_iter_next (&it, NULL, &p))
    held += ((const struct wy_owned *)p)->spec->size_bytes;
  return held * BODY_MULTIPLE <= j->memory_bytes;
}

static bool
should_take (struct wy_jobs *j, const struct wy_job_record *r, int64_t now_ms)
{
  if (r->state != WY_JOB_OPEN || g_hash_table_contains (j->owned, r->id)
      || g_hash_table_contains (j->taking, r->id)
      || g_hash_table_contains (j->finished, r->id))
    return false;
  if (!wy_jobs_have_room (j, 0))
    return false;
  if (!strcmp (r->holder, j->env->holder))
    return true;
  if (!wy_members_holder_is_gone (j->members, r->holder))
    return false;
  return now_ms / RANK_DELAY_MS % (wy_members_rank (j->members, r->id) + 1)
         == 0;
}

static void
look_for_work (struct wy_jobs *j)
{
  int64_t now_ms = wy_clock_mono_ms (j->env->clock);
  GPtrArray *found = g_ptr_array_new ();
  GHashTableIter it;
  gpointer p;

  g_hash_table_iter_init (&it, j->records);
  while (g_hash_table_iter_next (&it, NULL, &p))
    if (should_take (j, p, now_ms))
      g_ptr_array_add (found, p);
  for (guint i = 0; i < found->len; i++)
    wy_jobs_take_over (j, g_ptr_array_index (found, i));
  g_ptr_array_free (found, TRUE);
}

struct turn
{
  struct wy_job_priority turn;
  struct wy_owned *job;
};

/* An organisation that the configuration no longer has is as one without a
   priority.  */
static struct wy_job_priority
turn_of (const struct wy_owned *o)
{
  const struct wy_routing *r = o->env->routing;
  const struct wy_route *route = r ? wy_owned_route (o) : NULL;
  const struct wy_org *org
      = r && r->orgs ? wy_orgs_find (r->orgs, o->record->organisation) : NULL;

  return (struct wy_job_priority){ .organisation_priority
                                   = org ? org->priority : UINT32_MAX,
                                   .route_priority
                                   = route ? route->priority : 0,
                                   .accepted_ms = o->record->accepted_ms };
}

static gint
by_turn (gconstpointer a, gconstpointer b)
{
  return wy_job_priority_compare (&((const struct turn *)a)->turn,
                                  &((const struct turn *)b)->turn);
}

static void
each_owned (struct wy_jobs *j, void (*fn) (struct wy_owned *o))
{
  GArray *all = g_array_new (FALSE, FALSE, sizeof (struct turn));
  GHashTableIter it;
  gpointer p;

  g_hash_table_iter_init (&it, j->owned);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      struct turn t = { turn_of (p), p };

      g_array_append_val (all, t);
    }
  g_array_sort (all, by_turn);
  for (guint i = 0; i < all->len; i++)
    fn (g_array_index (all, struct turn, i).job);
  g_array_free (all, TRUE);
}

static void
check_owned (struct wy_owned *o)
{
  wy_owned_tick (o, true);
}

static void
spare_owned (struct wy_owned *o)
{
  wy_owned_tick (o, false);
}

static void
tick_lingering (struct wy_jobs *j)
{
  for (guint i = j->lingering->len; i > 0; i--)
    {
      struct wy_owned *o = g_ptr_array_index (j->lingering, i - 1);

      if (wy_owned_linger_tick (o))
        continue;
      g_ptr_array_remove_index_fast (j->lingering, i - 1);
      wy_owned_drop (o);
    }
}

static void
on_tick (uv_timer_t *t)
{
  struct wy_jobs *j = t->data;
  int64_t now_ms = wy_clock_mono_ms (j->env->clock);

  /* A tick that comes late means that this process stood still: what its
     runs have sent meanwhile is still to be read.  */
  if (now_ms - j->ticked_ms < TICK_MS + STALL_MS)
    each_owned (j, check_owned);
  else
    each_owned (j, spare_owned);
  j->ticked_ms = now_ms;
  if (++j->ticks % LINGER_TICKS == 0)
    tick_lingering (j);
  if (j->ticks % FINISH_TICKS == 0)
    wy_jobs_finish_again (j);
  if (!j->env->stopping)
    {
      look_for_work (j);
      wy_jobs_clean (j);
    }
  wy_jobs_accept_tick (j);
}

/* A trainer has named VERSION of MODEL.  */
void
wy_jobs_version_announced (struct wy_jobs *j, const char *model,
                           int64_t version)
{
  wy_staleness_version_announced (j->lags, model, version);
}

/* Targets have come or gone: waiting items may find one.  */
void
wy_jobs_targets_changed (struct wy_jobs *j)
{
  each_owned (j, wy_owned_pump);
}

/* Follow the jobs of the store and run those of this entry.  */
struct wy_jobs *
wy_jobs_new (const struct wy_jobs_options *o)
{
  struct wy_jobs *j = g_new0 (struct wy_jobs, 1);
  struct wy_watch_options w = { .loop = o->env->loop,
                                .clock = o->env->clock,
                                .rows = o->env->rows,
                                .table = WY_JOBS_TABLE,
                                .all_partitions = true,
                                .min_interval_ms = WATCH_GAP_MS,
                                .seed = o->seed,
                                .on_row = on_row,
                                .ctx = j };

  j->env = o->env;
  j->members = o->members;
  j->piece_bytes = o->max_object_bytes;
  j->keep_ms = o->result_retention_ms;
  j->memory_bytes = o->memory_limit_bytes;
  /* The store counts a row's bytes as they travel, in base64.  */
  j->row_bytes = o->max_row_bytes / 4 * 3 - ROW_MARGIN_BYTES;
  j->records
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_record);
  j->owned = g_hash_table_new (g_str_hash, g_str_equal);
  j->lingering = g_ptr_array_new ();
  j->accepting = g_ptr_array_new ();
  j->finished
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  j->taking = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_queue_init (&j->waiting);
  j->watch = wy_watch_new (&w);
  j->lags = wy_staleness_new (o->env);
  uv_timer_init (o->env->loop, &j->tick);
  j->tick.data = j;
  uv_timer_start (&j->tick, on_tick, TICK_MS, TICK_MS);
  return j;
}

/* Stop.  The memory of J stays, since calls of it may be under way.  */
void
wy_jobs_free (struct wy_jobs *j)
{
  GList *all = g_hash_table_get_values (j->owned);

  for (GList *l = all; l; l = l->next)
    forget_owned (j, l->data);
  g_list_free (all);
  for (guint i = 0; i < j->lingering->len; i++)
    wy_owned_drop (g_ptr_array_index (j->lingering, i));
  g_ptr_array_set_size (j->lingering, 0);
  wy_staleness_free (j->lags);
  wy_watch_free (j->watch);
  uv_close ((uv_handle_t *)&j->tick, NULL);
}

/* Whether all jobs are known.  */
bool
wy_jobs_is_synced (const struct wy_jobs *j)
{
  return wy_watch_is_synced (j->watch);
}

/* Number of jobs run here.  */
uint32_t
wy_jobs_running (const struct wy_jobs *j)
{
  return g_hash_table_size (j->owned);
}
