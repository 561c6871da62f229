/* Takes over a job whose holder is gone: the row first, then its body, what is
   listed of it, and the text that was stored of its items.  */
#include "jobs/state.h"

#include <string.h>

#include "jobs/checkpoint.h"
#include "jobs/result_rows.h"
#include "trace/json_log.h"

struct takeover
{
  struct wy_jobs *jobs;
  struct wy_job_record *record; /* as it will be */
  struct wy_job_spec *spec;
  struct wy_owned *owned; /* its results are being read */
  char *from;
  uint32_t n_text; /* items that go on from stored text */
  int64_t started_ms;
};

static void
end_takeover (struct takeover *t, const char *outcome, int err)
{
  wy_json_log (
      "job.takeover", "id=%s outcome=%s err=%d version=%lld ms=%lld",
      t->record->id, outcome, err, (long long)t->record->row_version,
      (long long)(wy_clock_mono_ms (t->jobs->env->clock) - t->started_ms));
  g_hash_table_remove (t->jobs->taking, t->record->id);
  wy_job_spec_free (t->spec);
  wy_job_record_free (t->record);
  g_free (t->from);
  g_free (t);
}

static bool
still_ours (struct takeover *t)
{
  const struct wy_job_record *r = wy_jobs_find (t->jobs, t->record->id);

  return r && r->state == WY_JOB_OPEN && !strcmp (r->holder, t->record->holder)
         && !g_hash_table_contains (t->jobs->owned, t->record->id);
}

static void read_listed (struct takeover *t);

/* All that is known of the job is at hand: run it.  */
static void
run_taken (struct takeover *t)
{
  struct wy_jobs *j = t->jobs;

  (*j->env->count.jobs_taken_over)++;
  g_hash_table_insert (j->owned, t->owned->record->id, t->owned);
  t->owned->record->row_version = wy_jobs_find (j, t->record->id)->row_version;
  wy_json_log ("job.running", "id=%s listed=%u of=%u text_taken=%u",
               t->record->id, t->owned->n_listed, t->owned->n_items,
               t->n_text);
  if (wy_owned_is_done (t->owned))
    wy_jobs_on_owned_end (j, t->owned, WY_OWNED_DONE);
  else
    wy_owned_pump (t->owned);
  end_takeover (t, "running", 0);
}

static void
on_carry (void *ctx, struct wy_carry *c)
{
  struct takeover *t = ctx;

  if (still_ours (t))
    {
      t->n_text = wy_carry_apply (c, t->owned);
      run_taken (t);
    }
  else
    {
      wy_owned_drop (t->owned);
      end_takeover (t, "lost", 0);
    }
  wy_carry_free (c);
}

static void
on_listed_read (void *ctx, const struct wy_rows_result *r)
{
  struct takeover *t = ctx;
  struct wy_jobs *j = t->jobs;
  GPtrArray *results;

  if (r->err)
    {
      wy_owned_drop (t->owned);
      end_takeover (t, "results_unread", r->err);
      return;
    }
  results = g_ptr_array_new ();
  wy_result_join (r, results);
  for (guint k = 0; k < results->len; k++)
    {
      struct wy_result *res = g_ptr_array_index (results, k);

      wy_owned_restore (t->owned, res->item);
      wy_result_free (res);
    }
  g_free (t->from);
  t->from = results->len ? wy_result_next_from (r, t->owned->n_listed) : NULL;
  g_ptr_array_free (results, TRUE);
  if (t->from)
    {
      read_listed (t);
      return;
    }
  if (!still_ours (t))
    {
      wy_owned_drop (t->owned);
      end_takeover (t, "lost", 0);
      return;
    }
  wy_carry_read (j->env, t->record->id, on_carry, t);
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
  struct wy_owned_options o = { .env = t->jobs->env,
                                .row_bytes = t->jobs->row_bytes,
                                .on_listed = wy_jobs_on_listed,
                                .on_end = wy_jobs_on_owned_end,
                                .ctx = t->jobs };

  if (err || !still_ours (t))
    {
      wy_job_spec_free (spec);
      end_takeover (t, err ? "body_unread" : "lost", err);
      return;
    }
  o.record = wy_job_record_copy (t->record);
  o.spec = spec;
  t->owned = wy_owned_new (&o);
  t->owned->newest_version
      = wy_staleness_newest_version (t->jobs->lags, spec->model);
  read_listed (t);
}

static void
on_taken (void *ctx, const struct wy_rows_result *r)
{
  struct takeover *t = ctx;
  struct wy_job_record *known;

  if (r->err)
    {
      /* Without an answer the row shows what became of it.  */
      end_takeover (t, "not_taken", r->err);
      return;
    }
  t->record->row_version = r->version;
  known = wy_job_record_copy (t->record);
  wy_jobs_learn (t->jobs, known);
  wy_job_load (t->jobs, t->record, on_spec, t);
}

/* Make the job of R this entry's and run it.  */
void
wy_jobs_take_over (struct wy_jobs *j, const struct wy_job_record *r)
{
  struct takeover *t = g_new0 (struct takeover, 1);

  t->jobs = j;
  t->record = wy_job_record_copy (r);
  t->started_ms = wy_clock_mono_ms (j->env->clock);
  g_hash_table_add (j->taking, g_strdup (r->id));
  if (!strcmp (r->holder, j->env->holder))
    {
      wy_job_load (j, t->record, on_spec, t);
      return;
    }
  wy_json_log ("job.taking", "id=%s from=%s version=%lld", r->id, r->holder,
               (long long)r->row_version);
  g_free (t->record->holder);
  t->record->holder = g_strdup (j->env->holder);
  wy_job_record_write (j->env->rows, t->record, on_taken, t);
}
