/* Fixing the batch of a step.

   The samples go into an object first.  Then one transaction makes them the
   batch, on the conditions that the step is still without one, that the lease
   has not changed hands, and that no version was published since the age of
   the samples was checked.  A sampler that was paused and believes that it
   holds the lease fails the second condition.  A sample belongs to a batch by
   this transaction alone, so one that dies before it loses its samples and
   none is delivered twice.

   When the answer is lost, the row is read: it names our object, or the
   transaction has not happened and is sent again unchanged.  */
#include <string.h>

#include "trace/log.h"
#include "yard/sampler.h"

#define RETRY_MS 500

static void
again_later (struct wy_step_job *j, enum wy_fix_phase phase)
{
  const struct wy_yard_env *env = j->sampler->o.env;

  j->fix = phase;
  j->retry_ms = wy_clock_mono_ms (env->o.clock) + RETRY_MS;
}

static void
fixed (struct wy_step_job *j)
{
  struct wy_sampler *s = j->sampler;
  const struct wy_yard_env *env = s->o.env;
  const struct wy_step_row *row = &j->fixed;
  char *lease = g_strdup_printf ("sampler/%s", s->label);

  wy_trace_event (env->o.trace, "fence.accepted", "{s:s, s:I, s:s, s:s}",
                  "lease", lease, "fence", (json_int_t)row->fence, "what",
                  "batch", "at", j->key);
  wy_trace_event (env->o.trace, "step.fixed",
                  "{s:s, s:s, s:I, s:O, s:I, s:I, s:I, s:I}", "yard", s->yard,
                  "trainer", s->trainer, "step", (json_int_t)row->step,
                  "samples", row->samples, "oldest", (json_int_t)row->oldest,
                  "current", (json_int_t)row->current, "bound",
                  (json_int_t)row->bound, "fence", (json_int_t)row->fence);
  if (env->n.batches)
    ++*env->n.batches;
  g_free (lease);
  j->fix = WY_FIX_DONE;
  wy_sampling_free (j->sampling, "surplus", true);
  j->sampling = NULL;
}

static bool
names_our_batch (const struct wy_step_job *j, const struct wy_store_row *row)
{
  const char *batch
      = row ? json_string_value (json_object_get (row->value, "batch")) : NULL;

  return batch && !strcmp (batch, j->fixed.batch);
}

/* The row was changed by another: what we have made is not wanted.  */
static void
overtaken (struct wy_step_job *j)
{
  wy_log (WY_LOG_INFO, "fixing_overtaken", "step=%s", j->key);
  wy_step_job_drop (j, "overtaken");
}

static void
on_conflict (struct wy_step_job *j, const struct wy_store_result *r)
{
  struct wy_sampler *s = j->sampler;
  const struct wy_store_row *step = wy_store_find_row (r, j->key);
  const struct wy_store_row *current = wy_store_find_row (r, s->current_key);

  if (names_our_batch (j, step))
    fixed (j);
  else if (j->gone || step || !current)
    overtaken (j);
  else
    {
      /* A version was published meanwhile: check the ages again.  */
      s->o.on_version (
          s->o.ctx,
          json_integer_value (json_object_get (current->value, "version")),
          current->rev);
      j->fix = WY_FIX_NONE;
    }
}

static void
on_settled (void *ctx, const struct wy_store_result *r)
{
  struct wy_step_job *j = ctx;
  const struct wy_store_row *row = wy_store_find_row (r, j->key);

  if (r->err)
    again_later (j, WY_FIX_SETTLE);
  else if (names_our_batch (j, row))
    fixed (j);
  else if (!row || row->rev != j->row.rev)
    overtaken (j);
  else
    again_later (j, WY_FIX_AGAIN);
  wy_step_job_answered (j);
}

static void
settle (struct wy_step_job *j)
{
  const char *keys[] = { j->key };
  struct wy_store_read read = { .cause = "settle", .keys = keys, .n_keys = 1 };

  j->fix = WY_FIX_SETTLE;
  j->retry_ms = INT64_MAX;
  j->awaited++;
  wy_store_read (j->sampler->o.env->o.store, &read, on_settled, j);
}

static void
on_txn (void *ctx, const struct wy_store_result *r)
{
  struct wy_step_job *j = ctx;

  switch (r->err)
    {
    case 0:
      fixed (j);
      break;
    case WY_STORE_ECONFLICT:
      on_conflict (j, r);
      break;
    case WY_STORE_EDOWN:
    case WY_STORE_ELIMIT:
      again_later (j, WY_FIX_AGAIN);
      break;
    default:
      again_later (j, WY_FIX_SETTLE);
      break;
    }
  wy_step_job_answered (j);
}

static void
send_txn (struct wy_step_job *j)
{
  struct wy_sampler *s = j->sampler;
  json_t *value = wy_step_row_json (&j->fixed, j->fix_op);
  const struct wy_store_condition conditions[]
      = { { j->key, j->row.rev },
          { wy_lease_token_key (s->lease), j->fix_fence_rev },
          { s->current_key, j->fix_current_rev } };
  const struct wy_store_write write = { j->key, value };
  const struct wy_store_txn txn = { .cause = "fix",
                                    .op = j->fix_op,
                                    .conditions = conditions,
                                    .n_conditions = G_N_ELEMENTS (conditions),
                                    .writes = &write,
                                    .n_writes = 1 };

  j->fix = WY_FIX_TXN;
  j->awaited++;
  wy_store_txn (s->o.env->o.store, &txn, on_txn, j);
  json_decref (value);
}

static void
on_object (void *ctx, const struct wy_store_result *r)
{
  struct wy_step_job *j = ctx;

  if (!r->err && !j->gone && wy_lease_valid (j->sampler->lease))
    send_txn (j);
  else
    again_later (j, WY_FIX_NONE);
  wy_step_job_answered (j);
}

static void
store_batch (struct wy_step_job *j)
{
  struct wy_sampler *s = j->sampler;
  json_t *ids;
  int64_t oldest;
  json_t *batch = wy_sampling_batch (j->sampling, &ids, &oldest);
  char *text = json_dumps (batch, JSON_COMPACT);

  wy_id_new (s->o.env->o.clock, j->fix_op);
  wy_step_row_clear (&j->fixed);
  j->fixed = j->row;
  j->fixed.groups = g_strdup (j->row.groups);
  j->fixed.digest = g_strdup (j->row.digest);
  j->fixed.state = WY_STEP_FIXED;
  j->fixed.batch = g_strdup_printf ("%s/batch/%s", j->key, j->fix_op);
  j->fixed.samples = ids;
  j->fixed.oldest = oldest;
  j->fixed.current = s->o.version->current;
  j->fixed.fence = wy_lease_fencing_token (s->lease);
  j->fix_current_rev = s->o.version->rev;
  j->fix_fence_rev = wy_lease_token_rev (s->lease);
  j->fix = WY_FIX_OBJECT;
  j->awaited++;
  wy_store_put_object (s->o.env->o.store, "fix", j->fixed.batch, text,
                       strlen (text), on_object, j);
  free (text);
  json_decref (batch);
}

/* Go on with the fixing of J, whose samples are whole.  The outcome of a
   transaction is also read after the lease was lost, so that the timeline
   tells what was fixed; everything else needs the lease.  */
void
wy_step_job_fix (struct wy_step_job *j)
{
  struct wy_sampler *s = j->sampler;
  bool holds = wy_lease_valid (s->lease);

  if (wy_clock_mono_ms (s->o.env->o.clock) < j->retry_ms)
    return;
  switch (j->fix)
    {
    case WY_FIX_NONE:
      wy_sampling_version (j->sampling, s->o.version->current);
      if (holds && wy_sampling_whole (j->sampling))
        store_batch (j);
      break;
    case WY_FIX_SETTLE:
      settle (j);
      break;
    case WY_FIX_AGAIN:
      /* Under another fencing number the old transaction can no longer take
         effect, and the samples are fixed anew.  */
      if (holds && j->fix_fence_rev != wy_lease_token_rev (s->lease))
        j->fix = WY_FIX_NONE;
      else if (holds)
        send_txn (j);
      break;
    case WY_FIX_OBJECT:
    case WY_FIX_TXN:
    case WY_FIX_DONE:
      break;
    }
}
