/* The steps that a sampler has in hand.  */
#include <string.h>

#include "trace/log.h"
#include "yard/sampler.h"

/* The step STEP, or NULL.  */
struct wy_step_job *
wy_step_job_find (struct wy_sampler *s, int64_t step)
{
  for (GList *l = s->jobs.head; l; l = l->next)
    {
      struct wy_step_job *j = l->data;
      if (j->row.step == step)
        return j;
    }
  return NULL;
}

static void
job_free (struct wy_step_job *j)
{
  struct wy_sampler *s = j->sampler;

  g_queue_remove (&s->jobs, j);
  wy_step_row_clear (&j->row);
  wy_step_row_clear (&j->fixed);
  json_decref (j->groups);
  g_free (j->key);
  g_free (j);
  wy_sampler_destroy (s);
}

/* Give up the samples of J for REASON and forget it, now or with the last
   answer that it waits for.  */
void
wy_step_job_drop (struct wy_step_job *j, const char *reason)
{
  wy_sampling_free (j->sampling, reason, j->fix != WY_FIX_NONE);
  j->sampling = NULL;
  if (j->gone)
    return;
  j->gone = true;
  if (j->awaited == 0)
    job_free (j);
}

/* One answer that J waited for has been dealt with.  */
void
wy_step_job_answered (struct wy_step_job *j)
{
  struct wy_sampler *s = j->sampler;

  j->awaited--;
  if (j->gone && j->awaited == 0)
    job_free (j);
  if (!s->closing)
    wy_sampler_wake (s);
}

static void
on_progress (void *ctx)
{
  struct wy_step_job *j = ctx;

  wy_sampler_wake (j->sampler);
}

static void
begin (struct wy_step_job *j)
{
  struct wy_sampler *s = j->sampler;
  const struct wy_sampling_options o
      = { .env = s->o.env,
          .scorer = s->o.scorer,
          .pace = &s->pace,
          .model = s->model,
          .trainer = s->label,
          .worth_milli = (uint32_t)((uint64_t)s->worth_milli
                                    * j->row.worth_milli / WY_MS_PER_S),
          .step = j->row.step,
          .version = s->o.version->current + j->ahead,
          .bound = j->row.bound,
          .weights = s->weights,
          .groups = j->groups,
          .on_progress = on_progress,
          .ctx = j };

  j->sampling = wy_sampling_new (&o);
}

static void
unreadable (struct wy_step_job *j, int err)
{
  wy_log (WY_LOG_WARN, "step_unreadable", "step=%s err=%d", j->key, err);
  j->gone = true;
}

/* The newest version, read after the step was: a trainer that publishes and
   then submits must not get samples of the version before because the yard
   has not heard yet.  */
static void
on_current (void *ctx, const struct wy_store_result *r)
{
  struct wy_step_job *j = ctx;
  struct wy_sampler *s = j->sampler;
  const struct wy_store_row *row = wy_store_find_row (r, s->current_key);

  if (!j->gone && r->err)
    unreadable (j, r->err);
  if (!j->gone && row)
    s->o.on_version (
        s->o.ctx, json_integer_value (json_object_get (row->value, "version")),
        row->rev);
  if (!j->gone)
    begin (j);
  if (!j->gone && !j->sampling)
    unreadable (j, WY_YARD_EINVALID);
  wy_step_job_answered (j);
}

static void
on_groups (void *ctx, const struct wy_store_result *r)
{
  struct wy_step_job *j = ctx;
  const char *keys[] = { j->sampler->current_key };
  const struct wy_store_read read
      = { .cause = "version", .keys = keys, .n_keys = 1 };

  if (!r->err && !j->gone)
    j->groups = json_loadb (r->data, r->size_bytes, 0, NULL);
  if (j->groups)
    {
      j->awaited++;
      wy_store_read (j->sampler->o.env->o.store, &read, on_current, j);
    }
  else if (!j->gone)
    unreadable (j, r->err);
  wy_step_job_answered (j);
}

static gint
by_step (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct wy_step_job *x = a;
  const struct wy_step_job *y = b;

  return (x->row.step > y->row.step) - (x->row.step < y->row.step);
}

/* Begin the step of ROW, which is taken.  AHEAD steps before it are not
   acknowledged.  */
void
wy_step_job_add (struct wy_sampler *s, struct wy_step_row *row, uint32_t ahead)
{
  struct wy_step_job *j = g_malloc0 (sizeof *j);

  j->sampler = s;
  j->row = *row;
  j->ahead = ahead;
  memset (row, 0, sizeof *row);
  j->key = wy_key_step (s->yard, s->trainer, j->row.step);
  g_queue_insert_sorted (&s->jobs, j, by_step, NULL);
  j->awaited = 1;
  wy_store_get_object (s->o.env->o.store, "groups", j->row.groups, on_groups,
                       j);
}
