/* Marks jobs as done in the store when all their results are listed.

   Without the mark, this entry or its next start would load a job with nothing
   left to do: its body of some hundred KB and all its results.  Nothing else
   depends on the mark, so a failed write is simply retried later.  */
#include "jobs/state.h"

#include <string.h>

#include "trace/json_log.h"

/* A job that this entry has completed.  */
struct finished
{
  struct wy_jobs *jobs;
  char *id; /* also the key in jobs->finished */
  bool writing;
};

static bool
is_open_here (const struct wy_jobs *j, const struct wy_job_record *r)
{
  return r && r->state == WY_JOB_OPEN && !strcmp (r->holder, j->env->holder);
}

static void
on_written (void *ctx, const struct wy_rows_result *r)
{
  struct finished *f = ctx;
  const struct wy_job_record *known = wy_jobs_find (f->jobs, f->id);
  struct wy_job_record *done;

  f->writing = false;
  if (r->err)
    {
      wy_json_log ("job.not_marked_done", "id=%s err=%d", f->id, r->err);
      return;
    }
  if (!is_open_here (f->jobs, known))
    return;
  done = wy_job_record_copy (known);
  done->state = WY_JOB_DONE;
  done->row_version = r->version;
  wy_jobs_update_record (f->jobs, done);
}

static void
write_done (struct finished *f, const struct wy_job_record *known)
{
  struct wy_job_record *r = wy_job_record_copy (known);
  int err;

  r->state = WY_JOB_DONE;
  f->writing = true;
  err = wy_job_record_write (f->jobs->env->rows, r, on_written, f);
  if (err)
    {
      f->writing = false;
      wy_json_log ("job.not_marked_done", "id=%s err=%d", f->id, err);
    }
  wy_job_record_free (r);
}

/* Mark the job of R, which runs here, as done: all its results are listed.  */
void
wy_jobs_mark_done (struct wy_jobs *j, const struct wy_job_record *r)
{
  struct finished *f = g_new0 (struct finished, 1);

  f->jobs = j;
  f->id = g_strdup (r->id);
  g_hash_table_insert (j->finished, f->id, f);
  write_done (f, r);
}

/* Retry to mark the completed jobs that are still open in the store.  */
void
wy_jobs_retry_mark_done (struct wy_jobs *j)
{
  GHashTableIter it;
  gpointer p;

  g_hash_table_iter_init (&it, j->finished);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      struct finished *f = p;
      const struct wy_job_record *known = wy_jobs_find (j, f->id);

      if (!f->writing && is_open_here (j, known))
        write_done (f, known);
    }
}

/* Forget the job ID, which is no longer in the store.  */
void
wy_jobs_forget_finished (struct wy_jobs *j, const char *id)
{
  struct finished *f = g_hash_table_lookup (j->finished, id);

  if (f && !f->writing)
    g_hash_table_remove (j->finished, id);
}
