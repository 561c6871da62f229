/* Commits the batch of a step.

   The samples are stored as an object first.  Then one transaction moves the
   step to the state "fixed", on the conditions that the step has no batch yet,
   that the fencing token of the lease has not changed, and that no version has
   been published since the staleness of the samples was checked.  If a sampler
   was paused and wrongly believes that it holds the lease, the second
   condition fails.  Only this transaction makes a sample part of a batch, so a
   sampler that fails before it loses its samples, and no sample is delivered
   twice.

   If the response to the transaction is lost, the row is read: either it names
   the object, or the transaction did not take effect and is sent again
   unchanged.  */
#include <string.h>

#include "trace/log.h"
#include "yard/sampler.h"

#define RETRY_MS 500

static void
set_retry (struct wy_step_job *j, enum wy_commit_phase phase)
{
  const struct wy_yard_env *env = j->sampler->o.env;

  j->commit_phase = phase;
  j->retry_ms = wy_clock_mono_ms (env->o.clock) + RETRY_MS;
}

static void
on_committed (struct wy_step_job *j)
{
  struct wy_sampler *s = j->sampler;
  const struct wy_yard_env *env = s->o.env;
  const struct wy_step_row *row = &j->committed_row;
  char *lease = g_strdup_printf ("sampler/%s", s->label);

  wy_trace_event (env->o.trace, "fence.accepted", "{s:s, s:I, s:s, s:s}",
                  "lease", lease, "fence", (json_int_t)row->fencing_token,
                  "what", "batch", "at", j->key);
  wy_trace_event (
      env->o.trace, "step.fixed", "{s:s, s:s, s:I, s:O, s:I, s:I, s:I, s:I}",
      "yard", s->yard, "trainer", s->trainer, "step", (json_int_t)row->step,
      "samples", row->samples, "oldest", (json_int_t)row->oldest, "current",
      (json_int_t)row->current, "bound", (json_int_t)row->bound, "fence",
      (json_int_t)row->fencing_token);
  if (env->n.batches)
    ++*env->n.batches;
  g_free (lease);
  j->commit_phase = WY_COMMIT_DONE;
  wy_sampling_free (j->sampling, "surplus", true);
  j->sampling = NULL;
}

static bool
names_own_batch (const struct wy_step_job *j, const struct wy_store_row *row)
{
  const char *batch
      = row ? json_string_value (json_object_get (row->value, "batch")) : NULL;

  return batch && !strcmp (batch, j->committed_row.batch);
}

/* Another process has changed the row: drop the samples of J.  */
static void
on_superseded (struct wy_step_job *j)
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

  if (names_own_batch (j, step))
    on_committed (j);
  else if (j->dropped || step || !current)
    on_superseded (j);
  else
    {
      /* A version has been published: check the staleness again.  */
      s->o.on_version (
          s->o.ctx,
          json_integer_value (json_object_get (current->value, "version")),
          current->rev);
      j->commit_phase = WY_COMMIT_NONE;
    }
}

static void
on_outcome_read (void *ctx, const struct wy_store_result *r)
{
  struct wy_step_job *j = ctx;
  const struct wy_store_row *row = wy_store_find_row (r, j->key);

  if (r->err)
    set_retry (j, WY_COMMIT_READING_OUTCOME);
  else if (names_own_batch (j, row))
    on_committed (j);
  else if (!row || row->rev != j->row.rev)
    on_superseded (j);
  else
    set_retry (j, WY_COMMIT_RETRYING);
  wy_step_job_call_done (j);
}

static void
read_outcome (struct wy_step_job *j)
{
  const char *keys[] = { j->key };
  struct wy_store_read read = { .cause = "settle", .keys = keys, .n_keys = 1 };

  j->commit_phase = WY_COMMIT_READING_OUTCOME;
  j->retry_ms = INT64_MAX;
  j->pending_calls++;
  wy_store_read (j->sampler->o.env->o.store, &read, on_outcome_read, j);
}

static void
on_txn (void *ctx, const struct wy_store_result *r)
{
  struct wy_step_job *j = ctx;

  switch (r->err)
    {
    case 0:
      on_committed (j);
      break;
    case WY_STORE_ECONFLICT:
      on_conflict (j, r);
      break;
    case WY_STORE_EUNAVAILABLE:
    case WY_STORE_ELIMIT:
      set_retry (j, WY_COMMIT_RETRYING);
      break;
    default:
      set_retry (j, WY_COMMIT_READING_OUTCOME);
      break;
    }
  wy_step_job_call_done (j);
}

static void
send_txn (struct wy_step_job *j)
{
  struct wy_sampler *s = j->sampler;
  json_t *value = wy_step_row_json (&j->committed_row, j->commit_op);
  const struct wy_store_condition conditions[]
      = { { j->key, j->row.rev },
          { wy_lease_token_key (s->lease), j->commit_token_rev },
          { s->current_key, j->commit_current_rev } };
  const struct wy_store_write write = { j->key, value };
  const struct wy_store_txn txn = { .cause = "fix",
                                    .op = j->commit_op,
                                    .conditions = conditions,
                                    .n_conditions = G_N_ELEMENTS (conditions),
                                    .writes = &write,
                                    .n_writes = 1 };

  j->commit_phase = WY_COMMIT_TXN;
  j->pending_calls++;
  wy_store_txn (s->o.env->o.store, &txn, on_txn, j);
  json_decref (value);
}

static void
on_object (void *ctx, const struct wy_store_result *r)
{
  struct wy_step_job *j = ctx;

  if (!r->err && !j->dropped && wy_lease_valid (j->sampler->lease))
    send_txn (j);
  else
    set_retry (j, WY_COMMIT_NONE);
  wy_step_job_call_done (j);
}

static void
store_batch (struct wy_step_job *j)
{
  struct wy_sampler *s = j->sampler;
  json_t *ids;
  int64_t oldest;
  json_t *batch = wy_sampling_batch (j->sampling, &ids, &oldest);
  char *text = json_dumps (batch, JSON_COMPACT);

  wy_id_new (s->o.env->o.clock, j->commit_op);
  wy_step_row_clear (&j->committed_row);
  j->committed_row = j->row;
  j->committed_row.groups = g_strdup (j->row.groups);
  j->committed_row.digest = g_strdup (j->row.digest);
  j->committed_row.state = WY_STEP_FIXED;
  j->committed_row.batch
      = g_strdup_printf ("%s/batch/%s", j->key, j->commit_op);
  j->committed_row.samples = ids;
  j->committed_row.oldest = oldest;
  j->committed_row.current = s->o.version->current;
  j->committed_row.fencing_token = wy_lease_fencing_token (s->lease);
  j->commit_current_rev = s->o.version->rev;
  j->commit_token_rev = wy_lease_token_rev (s->lease);
  j->commit_phase = WY_COMMIT_STORING_BATCH;
  j->pending_calls++;
  wy_store_put_object (s->o.env->o.store, "fix", j->committed_row.batch, text,
                       strlen (text), on_object, j);
  free (text);
  json_decref (batch);
}

/* Continue the commit of J, whose samples are complete.  The outcome of a
   transaction is read even after the lease was lost, so that the timeline
   contains each committed batch; everything else needs the lease.  */
void
wy_step_job_commit (struct wy_step_job *j)
{
  struct wy_sampler *s = j->sampler;
  bool holds = wy_lease_valid (s->lease);

  if (wy_clock_mono_ms (s->o.env->o.clock) < j->retry_ms)
    return;
  switch (j->commit_phase)
    {
    case WY_COMMIT_NONE:
      wy_sampling_set_version (j->sampling, s->o.version->current);
      if (holds && wy_sampling_is_complete (j->sampling))
        store_batch (j);
      break;
    case WY_COMMIT_READING_OUTCOME:
      read_outcome (j);
      break;
    case WY_COMMIT_RETRYING:
      /* With a new fencing token the old transaction can't take effect any
         more, and a new commit of the samples is started.  */
      if (holds && j->commit_token_rev != wy_lease_token_rev (s->lease))
        j->commit_phase = WY_COMMIT_NONE;
      else if (holds)
        send_txn (j);
      break;
    case WY_COMMIT_STORING_BATCH:
    case WY_COMMIT_TXN:
    case WY_COMMIT_DONE:
      break;
    }
}
