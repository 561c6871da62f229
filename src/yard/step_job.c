/* The steps that a sampler works on.  */
#include <string.h>

#include "trace/log.h"
#include "yard/sampler.h"

/* The job of step STEP, or NULL.  */
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
  wy_step_row_clear (&j->committed_row);
  json_decref (j->groups);
  g_free (j->key);
  g_free (j);
  wy_sampler_free_if_unused (s);
}

/* Drop the samples of J for REASON and free J, at once or after its last
   pending call.  */
void
wy_step_job_drop (struct wy_step_job *j, const char *reason)
{
  wy_sampling_free (j->sampling, reason, j->commit_phase != WY_COMMIT_NONE);
  j->sampling = NULL;
  if (j->dropped)
    return;
  j->dropped = true;
  if (j->pending_calls == 0)
    job_free (j);
}

/* Record that a pending call of J has been handled.  */
void
wy_step_job_call_done (struct wy_step_job *j)
{
  struct wy_sampler *s = j->sampler;

  j->pending_calls--;
  if (j->dropped && j->pending_calls == 0)
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
start_sampling (struct wy_step_job *j)
{
  struct wy_sampler *s = j->sampler;
  const struct wy_sampling_options o
      = { .env = s->o.env,
          .scorer = s->o.scorer,
          .estimates = &s->estimates,
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

/* Drop J, whose groups or version can't be read; the next poll of the rows
   adds the step again.  */
static void
mark_unreadable (struct wy_step_job *j, int err)
{
  wy_log (WY_LOG_WARN, "step_unreadable", "step=%s err=%d", j->key, err);
  j->dropped = true;
}

/* Handles the newest version, which is read after the row of the step: a
   trainer that publishes a version and then submits a step must not get
   samples of the previous version because the yard hasn't read the new one. */
static void
on_current (void *ctx, const struct wy_store_result *r)
{
  struct wy_step_job *j = ctx;
  struct wy_sampler *s = j->sampler;
  const struct wy_store_row *row = wy_store_find_row (r, s->current_key);

  if (!j->dropped && r->err)
    mark_unreadable (j, r->err);
  if (!j->dropped && row)
    s->o.on_version (
        s->o.ctx, json_integer_value (json_object_get (row->value, "version")),
        row->rev);
  if (!j->dropped)
    start_sampling (j);
  if (!j->dropped && !j->sampling)
    mark_unreadable (j, WY_YARD_EINVALID);
  wy_step_job_call_done (j);
}

static void
on_groups (void *ctx, const struct wy_store_result *r)
{
  struct wy_step_job *j = ctx;
  const char *keys[] = { j->sampler->current_key };
  const struct wy_store_read read
      = { .cause = "version", .keys = keys, .n_keys = 1 };

  if (!r->err && !j->dropped)
    j->groups = json_loadb (r->data, r->size_bytes, 0, NULL);
  if (j->groups)
    {
      j->pending_calls++;
      wy_store_read (j->sampler->o.env->o.store, &read, on_current, j);
    }
  else if (!j->dropped)
    mark_unreadable (j, r->err);
  wy_step_job_call_done (j);
}

static gint
by_step (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct wy_step_job *x = a;
  const struct wy_step_job *y = b;

  return (x->row.step > y->row.step) - (x->row.step < y->row.step);
}

/* Start the step of ROW, which is moved to the job.  The trainer is to publish
   AHEAD versions before it takes this step.  */
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
  j->pending_calls = 1;
  wy_store_get_object (s->o.env->o.store, "groups", j->row.groups, on_groups,
                       j);
}
