/* Takes over a job whose holder failed: writes the row, then reads the body,
   the result list and the checkpoints.  A job that names this entry as its
   holder but doesn't run here is loaded in the same way, without the
   write.  */
#include "jobs/state.h"

#include <string.h>

#include "jobs/checkpoint.h"
#include "jobs/result_rows.h"
#include "trace/json_log.h"

struct takeover
{
  struct wy_jobs *jobs;
  struct wy_job_record *record; /* as it is after the takeover */
  struct wy_job_spec *spec;
  struct wy_active_job *active; /* not started: its results are being read */
  char *from;
  uint32_t n_resumed_items; /* restored from a checkpoint */
  int64_t started_ms;
};

static void
end_takeover (struct takeover *t, const char *outcome, int err)
{
  wy_json_log (
      "job.takeover", "id=%s outcome=%s err=%d version=%lld ms=%lld",
      t->record->id, outcome, err, (long long)t->record->row_version,
      (long long)(wy_clock_mono_ms (t->jobs->env->clock) - t->started_ms));
  g_hash_table_remove (t->jobs->starting, t->record->id);
  wy_job_spec_free (t->spec);
  wy_job_record_free (t->record);
  g_free (t->from);
  g_free (t);
}

static bool
is_still_holder (struct takeover *t)
{
  const struct wy_job_record *r = wy_jobs_find (t->jobs, t->record->id);

  return r && r->state == WY_JOB_OPEN && !strcmp (r->holder, t->record->holder)
         && !g_hash_table_contains (t->jobs->active, t->record->id);
}

static void read_listed (struct takeover *t);

/* Start the job, whose state has been read completely.  */
static void
start_job (struct takeover *t)
{
  struct wy_jobs *j = t->jobs;

  (*j->env->count.jobs_taken_over)++;
  g_hash_table_insert (j->active, t->active->record->id, t->active);
  t->active->record->row_version
      = wy_jobs_find (j, t->record->id)->row_version;
  wy_json_log ("job.running", "id=%s listed=%u of=%u text_taken=%u",
               t->record->id, t->active->n_listed, t->active->n_items,
               t->n_resumed_items);
  wy_jobs_count_demand (j, t->active);
  if (wy_active_job_is_done (t->active))
    wy_jobs_on_job_end (j, t->active, WY_ACTIVE_JOB_DONE);
  else
    wy_active_job_start_items (t->active);
  end_takeover (t, "running", 0);
}

static void
on_checkpoint (void *ctx, struct wy_checkpoint *c)
{
  struct takeover *t = ctx;

  if (is_still_holder (t))
    {
      t->n_resumed_items = wy_checkpoint_apply (c, t->active);
      start_job (t);
    }
  else
    {
      wy_active_job_close (t->active);
      end_takeover (t, "lost", 0);
    }
  wy_checkpoint_free (c);
}

static void
on_listed_read (void *ctx, const struct wy_rows_result *r)
{
  struct takeover *t = ctx;
  struct wy_jobs *j = t->jobs;
  GPtrArray *results;

  if (r->err)
    {
      wy_active_job_close (t->active);
      end_takeover (t, "results_unread", r->err);
      return;
    }
  results = g_ptr_array_new ();
  wy_result_join (r, results);
  for (guint k = 0; k < results->len; k++)
    {
      struct wy_result *res = g_ptr_array_index (results, k);

      if (!res)
        {
          wy_active_job_restore_unreadable (
              t->active,
              wy_result_row_version (r, wy_active_job_positions (t->active)));
          continue;
        }
      wy_active_job_restore_listed (t->active, res->item);
      wy_result_free (res);
    }
  g_free (t->from);
  t->from = results->len
                ? wy_result_next_from (r, wy_active_job_positions (t->active))
                : NULL;
  g_ptr_array_free (results, TRUE);
  if (t->from)
    {
      read_listed (t);
      return;
    }
  if (!is_still_holder (t))
    {
      wy_active_job_close (t->active);
      end_takeover (t, "lost", 0);
      return;
    }
  wy_checkpoint_read (j->env, t->record->id, on_checkpoint, t);
}

static void
read_listed (struct takeover *t)
{
  struct wy_rows_range range = { .table = WY_RESULTS_TABLE,
                                 .partition = t->record->id,
                                 .from = t->from };

  wy_rows_get (t->jobs->env->rows, &range, on_listed_read, t);
}

static void
on_spec (void *ctx, int err, struct wy_job_spec *spec)
{
  struct takeover *t = ctx;
  struct wy_active_job_options o = { .env = t->jobs->env,
                                     .row_bytes = t->jobs->row_bytes,
                                     .planner = t->jobs->planner,
                                     .on_listed = wy_jobs_on_listed,
                                     .on_end = wy_jobs_on_job_end,
                                     .ctx = t->jobs };

  if (err || !is_still_holder (t))
    {
      wy_job_spec_free (spec);
      end_takeover (t, err ? "body_unread" : "lost", err);
      return;
    }
  o.record = wy_job_record_copy (t->record);
  o.spec = spec;
  t->active = wy_active_job_new (&o);
  t->active->newest_version
      = wy_staleness_newest_version (t->jobs->staleness, spec->model);
  read_listed (t);
}

static void
on_holder_written (void *ctx, const struct wy_rows_result *r)
{
  struct takeover *t = ctx;
  struct wy_job_record *known;

  if (r->err)
    {
      /* If there was no response, the watched row shows the outcome.  */
      end_takeover (t, "not_taken", r->err);
      return;
    }
  t->record->row_version = r->version;
  known = wy_job_record_copy (t->record);
  wy_jobs_update_record (t->jobs, known);
  wy_job_fetch (t->jobs, t->record, on_spec, t);
}

/* Make this entry the holder of the job of R, if it is not, and run it.  A job
   that is done is opened again: one of its results can't be read.  */
void
wy_jobs_take_over (struct wy_jobs *j, const struct wy_job_record *r)
{
  struct takeover *t = g_new0 (struct takeover, 1);
  int err;

  t->jobs = j;
  t->record = wy_job_record_copy (r);
  t->started_ms = wy_clock_mono_ms (j->env->clock);
  g_hash_table_add (j->starting, g_strdup (r->id));
  if (!strcmp (r->holder, j->env->holder) && r->state == WY_JOB_OPEN)
    {
      wy_job_fetch (j, t->record, on_spec, t);
      return;
    }
  wy_json_log ("job.taking", "id=%s from=%s version=%lld", r->id, r->holder,
               (long long)r->row_version);
  g_free (t->record->holder);
  t->record->holder = g_strdup (j->env->holder);
  t->record->state = WY_JOB_OPEN;
  err = wy_job_record_write (j->env->rows, t->record, on_holder_written, t);
  if (err)
    end_takeover (t, "not_taken", err);
}
