/* Sampler of one trainer.

   All entries try to acquire the lease of the trainer; the holder polls the
   trainer's rows, so other entries only have to write there.  The load on the
   table per trainer: one read of a prefix and one of the newest version per
   interval, by the holder, and three reads of the lease per lease period by
   each other entry.

   If the lease ends because the store is unavailable, the samples in progress
   are kept.  They belong to no batch yet, and if the same process acquires the
   lease again with the next fencing token, no other process has held it in
   between.  So a short outage costs no samples.  */
#include "yard/sampler.h"

#include "yard/poll_interval.h"

#include <string.h>

#include "trace/log.h"

enum
{
  /* Polling interval of the rows.  */
  POLL_MS = 250,
  TICK_MS = 100,
  /* Steps of one trainer that are sampled at the same time.  The trainer takes
     them in order, so samples of later steps would be stale when used.  */
  STEPS_MAX = 2,
  /* Estimate until samples have completed.  */
  INITIAL_US_PER_TOKEN = 20000,
  MILLI = 1000
};

/* Estimate of the used share of max_tokens until samples have completed.  */
#define INITIAL_TOKEN_SHARE 0.5

static int64_t
now_ms (const struct wy_sampler *s)
{
  return wy_clock_mono_ms (s->o.env->o.clock);
}

/* Free S if it is closed and nothing refers to it.  */
void
wy_sampler_free_if_unused (struct wy_sampler *s)
{
  if (!s->closing || !s->timer_closed || s->polling || s->deleting_steps
      || s->jobs.length)
    return;
  wy_yard_env_unref (s->o.env);
  g_free (s->yard);
  g_free (s->trainer);
  g_free (s->label);
  g_free (s->model);
  g_free (s->prefix);
  g_free (s->current_key);
  g_free (s->floor_key);
  g_free (s);
}

static void
drop_jobs (struct wy_sampler *s, const char *reason, bool all)
{
  GList *next;

  for (GList *l = s->jobs.head; l; l = next)
    {
      struct wy_step_job *j = l->data;

      next = l->next;
      /* The outcome of a pending transaction is still read.  */
      if (all
          || (j->commit_phase != WY_COMMIT_TXN
              && j->commit_phase != WY_COMMIT_READING_OUTCOME))
        wy_step_job_drop (j, reason);
    }
}

static void
on_acquired (void *ctx, int64_t fencing_token)
{
  struct wy_sampler *s = ctx;

  if (fencing_token != s->fencing_token + 1)
    drop_jobs (s, "lease", false);
  s->fencing_token = fencing_token;
  s->next_poll_ms = now_ms (s);
  wy_sampler_wake (s);
}

static guint
count_uncommitted (const struct wy_sampler *s)
{
  guint n = 0;

  for (GList *l = s->jobs.head; l; l = l->next)
    n += ((const struct wy_step_job *)l->data)->commit_phase != WY_COMMIT_DONE;
  return n;
}

/* Start or update the step of ROW, which has no batch yet.  The trainer is to
   publish AHEAD versions before it takes this step.  */
static void
update_submitted (struct wy_sampler *s, struct wy_step_row *row,
                  uint32_t ahead)
{
  struct wy_step_job *j = wy_step_job_find (s, row->step);

  if (j && j->row.rev == row->rev)
    {
      j->ahead = ahead;
      return;
    }
  if (j)
    {
      /* Its batch was committed by this sampler and discarded as stale.  */
      if (j->commit_phase == WY_COMMIT_NONE
          || j->commit_phase == WY_COMMIT_DONE)
        wy_step_job_drop (j, "returned");
      return;
    }
  if (count_uncommitted (s) < STEPS_MAX)
    wy_step_job_add (s, row, ahead);
}

static gint
by_step (gconstpointer a, gconstpointer b)
{
  const struct wy_step_row *x = *(const struct wy_step_row *const *)a;
  const struct wy_step_row *y = *(const struct wy_step_row *const *)b;

  return (x->step > y->step) - (x->step < y->step);
}

static void
row_free (gpointer p)
{
  wy_step_row_clear (p);
  g_free (p);
}

static GPtrArray *
parse_steps (struct wy_sampler *s, const struct wy_store_result *r)
{
  GPtrArray *rows = g_ptr_array_new_with_free_func (row_free);
  size_t n = strlen (s->prefix);

  for (size_t i = 0; i < r->n_rows; i++)
    {
      struct wy_step_row *row;

      if (strncmp (r->rows[i].key, s->prefix, n) != 0 || !r->rows[i].value)
        continue;
      row = g_new0 (struct wy_step_row, 1);
      if (wy_step_row_parse (row, &r->rows[i]))
        {
          wy_log (WY_LOG_ERROR, "step_row_invalid", "key=%s", r->rows[i].key);
          g_free (row);
          continue;
        }
      g_ptr_array_add (rows, row);
    }
  g_ptr_array_sort (rows, by_step);
  return rows;
}

static void
update_steps (struct wy_sampler *s, const struct wy_store_result *r)
{
  GPtrArray *rows = parse_steps (s, r);
  uint32_t ahead = 0;

  for (guint i = 0; i < rows->len; i++)
    {
      struct wy_step_row *row = rows->pdata[i];
      struct wy_step_job *j = wy_step_job_find (s, row->step);
      bool committed = row->state != WY_STEP_SUBMITTED;

      if (!committed)
        update_submitted (s, row, ahead);
      else if (j
               && (j->commit_phase == WY_COMMIT_NONE
                   || j->commit_phase == WY_COMMIT_DONE))
        wy_step_job_drop (j, "overtaken");
      if (wy_sampler_version_is_pending (s, row))
        ahead++;
    }
  g_ptr_array_free (rows, TRUE);
}

static void
record_change (struct wy_sampler *s, const struct wy_store_result *r)
{
  int64_t newest = 0;

  for (size_t i = 0; i < r->n_rows; i++)
    if (r->rows[i].rev > newest)
      newest = r->rows[i].rev;
  if (newest != s->newest_rev)
    s->changed_ms = now_ms (s);
  s->newest_rev = newest;
}

static void
on_steps (void *ctx, const struct wy_store_result *r)
{
  struct wy_sampler *s = ctx;

  s->polling = false;
  if (s->closing)
    {
      wy_sampler_free_if_unused (s);
      return;
    }
  if (r->err || !wy_lease_valid (s->lease))
    return;
  record_change (s, r);
  update_steps (s, r);
  wy_sampler_delete_old_steps (s, r);
  wy_sampler_wake (s);
}

static void
poll_rows (struct wy_sampler *s)
{
  uint32_t base = s->o.env->o.poll_ms ? s->o.env->o.poll_ms : POLL_MS;
  uint32_t interval
      = wy_yard_poll_interval_ms (base, s->changed_ms, now_ms (s));
  char *prefix;
  struct wy_store_read read = { .cause = "sampler" };

  if (s->polling || now_ms (s) < s->next_poll_ms)
    return;
  s->next_poll_ms
      = now_ms (s) + interval / 2 + wy_rng_below (&s->o.env->rng, interval);
  s->polling = true;
  prefix = g_strdup_printf ("yard/%s/trainer/%s/", s->yard, s->trainer);
  read.prefix = prefix;
  wy_store_read (s->o.env->o.store, &read, on_steps, s);
  g_free (prefix);
}

static void
run_job (struct wy_sampler *s, struct wy_step_job *j, bool is_last)
{
  if (j->dropped)
    return;
  if (j->commit_phase == WY_COMMIT_NONE && j->sampling
      && wy_lease_valid (s->lease) && !wy_sampling_is_complete (j->sampling))
    {
      wy_sampling_set_version (j->sampling,
                               wy_sampler_expected_version (s, j));
      wy_sampling_run (j->sampling, s->o.version, is_last);
    }
  if (j->sampling && wy_sampling_is_exhausted (j->sampling))
    {
      wy_log (WY_LOG_WARN, "step_begins_again", "step=%s", j->key);
      wy_step_job_drop (j, "exhausted");
      return;
    }
  if (j->commit_phase != WY_COMMIT_NONE
      || (j->sampling && wy_sampling_is_complete (j->sampling)))
    wy_step_job_commit (j);
}

static void
on_tick (uv_timer_t *t)
{
  struct wy_sampler *s = t->data;
  GList *next;

  if (wy_lease_valid (s->lease))
    poll_rows (s);
  for (GList *l = s->jobs.head; l; l = next)
    {
      next = l->next;
      run_job (s, l->data, next == NULL);
    }
  uv_timer_start (&s->timer, on_tick, TICK_MS, 0);
}

/* Process the steps in the next iteration of the event loop.  */
void
wy_sampler_wake (struct wy_sampler *s)
{
  if (!s->closing)
    uv_timer_start (&s->timer, on_tick, 0, 0);
}

/* Read the rows in the next iteration of the event loop.  */
void
wy_sampler_poll (struct wy_sampler *s)
{
  s->next_poll_ms = 0;
  wy_sampler_wake (s);
}

/* Apply the configuration of YARD and TRAINER.  Steps in progress continue
   with the earlier one, unless the model changes: then they start again.  */
void
wy_sampler_configure (struct wy_sampler *s, const struct wy_yard_config *yard,
                      const struct wy_trainer_config *trainer)
{
  if (s->model && strcmp (s->model, yard->model) != 0)
    drop_jobs (s, "model", false);
  g_free (s->model);
  s->model = g_strdup (yard->model);
  s->worth_milli = (uint32_t)(trainer->worth * MILLI);
  s->weights.staleness = yard->weighs == WY_WEIGHS_STALENESS ? 1 : 0;
  s->weights.idle = yard->weighs == WY_WEIGHS_IDLE ? 1 : 0;
}

/* Create the sampler of a trainer, which starts once it has the lease.  */
struct wy_sampler *
wy_sampler_new (const struct wy_sampler_options *o)
{
  struct wy_sampler *s = g_malloc0 (sizeof *s);
  const struct wy_yard_options *eo = &o->env->o;
  char *name
      = g_strdup_printf ("sampler/%s/%s", o->yard->name, o->trainer->name);
  const struct wy_lease_options lease = { .loop = eo->loop,
                                          .clock = eo->clock,
                                          .trace = eo->trace,
                                          .store = eo->store,
                                          .name = name,
                                          .holder = eo->holder,
                                          .seed = wy_rng_u64 (&o->env->rng),
                                          .ttl_ms = eo->lease_ttl_ms,
                                          .on_acquired = on_acquired,
                                          .ctx = s };

  s->o = *o;
  wy_yard_env_ref (o->env);
  s->yard = g_strdup (o->yard->name);
  s->trainer = g_strdup (o->trainer->name);
  s->label = g_strdup_printf ("%s/%s", s->yard, s->trainer);
  s->prefix = wy_key_steps (s->yard, s->trainer);
  s->current_key = wy_key_current (s->yard);
  s->floor_key = wy_key_floor (s->yard, s->trainer);
  s->estimates.us_per_token = INITIAL_US_PER_TOKEN;
  s->estimates.token_share = INITIAL_TOKEN_SHARE;
  wy_sampler_configure (s, o->yard, o->trainer);
  uv_timer_init (eo->loop, &s->timer);
  s->timer.data = s;
  s->lease = wy_lease_new (&lease);
  g_free (name);
  wy_sampler_wake (s);
  return s;
}

/* Whether S holds its lease.  */
bool
wy_sampler_active (const struct wy_sampler *s)
{
  return !s->closing && wy_lease_valid (s->lease);
}

/* Drop all samples and release the lease, so that another entry takes over. */
void
wy_sampler_stop (struct wy_sampler *s)
{
  uv_timer_stop (&s->timer);
  drop_jobs (s, "leaving", true);
  wy_lease_release (s->lease);
}

static void
on_timer_closed (uv_handle_t *h)
{
  struct wy_sampler *s = h->data;

  s->timer_closed = true;
  wy_sampler_free_if_unused (s);
}

/* Free S; must be called before the store is freed.  */
void
wy_sampler_free (struct wy_sampler *s)
{
  s->closing = true;
  drop_jobs (s, "leaving", true);
  wy_lease_free (s->lease);
  uv_close ((uv_handle_t *)&s->timer, on_timer_closed);
}
