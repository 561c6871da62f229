/* Sampler of one trainer.

   Every entry tries for the lease; the one that has it reads the trainer's
   rows at an interval, and that is all the others need to tell it.  What it
   costs the table: one read of a prefix each interval for each trainer, and
   one of the newest version, by one entry, plus a look at the lease by each
   of the others three times in a lease.

   When the lease ends because the store does not answer, the samples in hand
   are kept: they are part of no batch, and if the next holder is the same
   process with the next fencing number, nobody else can have worked on the
   steps in between.  A short outage so costs the trainer no samples.  */
#include "yard/sampler.h"

#include "yard/poll_interval.h"

#include <string.h>

#include "trace/log.h"

enum
{
  /* A step waits this long at most to be seen.  */
  POLL_MS = 250,
  TICK_MS = 100,
  /* Steps of one trainer that are sampled at a time; the trainer consumes
     them in order, and samples made far ahead are too old when used.  */
  STEPS_MAX = 2,
  /* First guesses until samples have ended.  */
  US_PER_TOKEN = 20000,
  MILLI = 1000
};

#define TOKEN_SHARE 0.5

static int64_t
now_ms (const struct wy_sampler *s)
{
  return wy_clock_mono_ms (s->o.env->o.clock);
}

/* Free S when nothing refers to it any longer.  */
void
wy_sampler_destroy (struct wy_sampler *s)
{
  if (!s->closing || !s->timer_closed || s->polling || s->cleaning
      || s->jobs.length)
    return;
  wy_yard_env_unuse (s->o.env);
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
      /* The outcome of a transaction under way is still read.  */
      if (all || (j->fix != WY_FIX_TXN && j->fix != WY_FIX_SETTLE))
        wy_step_job_drop (j, reason);
    }
}

static void
on_acquired (void *ctx, int64_t fence)
{
  struct wy_sampler *s = ctx;

  if (fence != s->fence + 1)
    drop_jobs (s, "lease", false);
  s->fence = fence;
  s->poll_ms = now_ms (s);
  wy_sampler_wake (s);
}

static guint
steps_in_hand (const struct wy_sampler *s)
{
  guint n = 0;

  for (GList *l = s->jobs.head; l; l = l->next)
    n += ((const struct wy_step_job *)l->data)->fix != WY_FIX_DONE;
  return n;
}

/* The row of a step that is still without a batch.  AHEAD steps before it are
   not acknowledged.  */
static void
take_submitted (struct wy_sampler *s, struct wy_step_row *row, uint32_t ahead)
{
  struct wy_step_job *j = wy_step_job_find (s, row->step);

  if (j && j->row.rev == row->rev)
    {
      j->ahead = ahead;
      return;
    }
  if (j)
    {
      /* A batch of ours was too old and came back.  */
      if (j->fix == WY_FIX_NONE || j->fix == WY_FIX_DONE)
        wy_step_job_drop (j, "returned");
      return;
    }
  if (steps_in_hand (s) < STEPS_MAX)
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
take_steps (struct wy_sampler *s, const struct wy_store_result *r)
{
  GPtrArray *rows = parse_steps (s, r);
  uint32_t ahead = 0;

  for (guint i = 0; i < rows->len; i++)
    {
      struct wy_step_row *row = rows->pdata[i];
      struct wy_step_job *j = wy_step_job_find (s, row->step);
      bool over = row->state != WY_STEP_SUBMITTED;

      if (!over)
        take_submitted (s, row, ahead);
      else if (j && (j->fix == WY_FIX_NONE || j->fix == WY_FIX_DONE))
        wy_step_job_drop (j, "overtaken");
      if (wy_sampler_unpublished (s, row))
        ahead++;
    }
  g_ptr_array_free (rows, TRUE);
}

static void
note_change (struct wy_sampler *s, const struct wy_store_result *r)
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
      wy_sampler_destroy (s);
      return;
    }
  if (r->err || !wy_lease_valid (s->lease))
    return;
  note_change (s, r);
  take_steps (s, r);
  wy_sampler_clean (s, r);
  wy_sampler_wake (s);
}

static void
poll (struct wy_sampler *s)
{
  uint32_t base = s->o.env->o.poll_ms ? s->o.env->o.poll_ms : POLL_MS;
  uint32_t every = wy_yard_poll_ms (base, s->changed_ms, now_ms (s));
  char *prefix;
  struct wy_store_read read = { .cause = "sampler" };

  if (s->polling || now_ms (s) < s->poll_ms)
    return;
  s->poll_ms = now_ms (s) + every / 2 + wy_rng_below (&s->o.env->rng, every);
  s->polling = true;
  prefix = g_strdup_printf ("yard/%s/trainer/%s/", s->yard, s->trainer);
  read.prefix = prefix;
  wy_store_read (s->o.env->o.store, &read, on_steps, s);
  g_free (prefix);
}

static void
run_job (struct wy_sampler *s, struct wy_step_job *j, bool last)
{
  if (j->gone)
    return;
  if (j->fix == WY_FIX_NONE && j->sampling && wy_lease_valid (s->lease)
      && !wy_sampling_whole (j->sampling))
    {
      wy_sampling_version (j->sampling, wy_sampler_version (s, j));
      wy_sampling_run (j->sampling, s->o.version, last);
    }
  if (j->sampling && wy_sampling_stuck (j->sampling))
    {
      wy_log (WY_LOG_WARN, "step_begins_again", "step=%s", j->key);
      wy_step_job_drop (j, "exhausted");
      return;
    }
  if (j->fix != WY_FIX_NONE
      || (j->sampling && wy_sampling_whole (j->sampling)))
    wy_step_job_fix (j);
}

static void
on_tick (uv_timer_t *t)
{
  struct wy_sampler *s = t->data;
  GList *next;

  if (wy_lease_valid (s->lease))
    poll (s);
  for (GList *l = s->jobs.head; l; l = next)
    {
      next = l->next;
      run_job (s, l->data, next == NULL);
    }
  uv_timer_start (&s->timer, on_tick, TICK_MS, 0);
}

/* Look at the steps as soon as the loop comes round.  */
void
wy_sampler_wake (struct wy_sampler *s)
{
  if (!s->closing)
    uv_timer_start (&s->timer, on_tick, 0, 0);
}

/* Read the rows now, without waiting for the interval.  */
void
wy_sampler_poll (struct wy_sampler *s)
{
  s->poll_ms = 0;
  wy_sampler_wake (s);
}

/* Take over what the configuration says of YARD and TRAINER.  Steps in hand
   go on as they began, unless the model is another.  */
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

/* Try to become the sampler that O says.  */
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
  wy_yard_env_use (o->env);
  s->yard = g_strdup (o->yard->name);
  s->trainer = g_strdup (o->trainer->name);
  s->label = g_strdup_printf ("%s/%s", s->yard, s->trainer);
  s->prefix = wy_key_steps (s->yard, s->trainer);
  s->current_key = wy_key_current (s->yard);
  s->floor_key = wy_key_floor (s->yard, s->trainer);
  s->pace.us_per_token = US_PER_TOKEN;
  s->pace.token_share = TOKEN_SHARE;
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

/* Give up all samples and the lease, so that another entry goes on.  */
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
  wy_sampler_destroy (s);
}

/* Free S, before the store is freed.  */
void
wy_sampler_free (struct wy_sampler *s)
{
  s->closing = true;
  drop_jobs (s, "leaving", true);
  wy_lease_free (s->lease);
  uv_close ((uv_handle_t *)&s->timer, on_timer_closed);
}
