/* Marks jobs done in the store when all their results are listed.

   The row then saves the next start, and this entry itself, from taking up a
   job with nothing left to do: its body, some hundred KB, and all its results
   would be read for it.  Nothing else depends on it, so a write that fails is
   made again at leisure.  */
#include "jobs/state.h"

#include <string.h>

#include "trace/json_log.h"

/* A job that was run here to its end.  */
struct finished
{
  struct wy_jobs *jobs;
  char *id; /* the key in jobs->finished */
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
  wy_jobs_learn (f->jobs, done);
}

static void
write_done (struct finished *f, const struct wy_job_record *known)
{
  struct wy_job_record *r = wy_job_record_copy (known);

  r->state = WY_JOB_DONE;
  f->writing = true;
  wy_job_record_write (f->jobs->env->rows, r, on_written, f);
  wy_job_record_free (r);
}

/* The job of R, run here, has all its results listed.  */
void
wy_jobs_finish (struct wy_jobs *j, const struct wy_job_record *r)
{
  struct finished *f = g_new0 (struct finished, 1);

  f->jobs = j;
  f->id = g_strdup (r->id);
  g_hash_table_insert (j->finished, f->id, f);
  write_done (f, r);
}

/* Mark the finished jobs that the store still calls open.  */
void
wy_jobs_finish_again (struct wy_jobs *j)
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

/* The job ID is no longer in the store.  */
void
wy_jobs_forget_finished (struct wy_jobs *j, const char *id)
{
  struct finished *f = g_hash_table_lookup (j->finished, id);

  if (f && !f->writing)
    g_hash_table_remove (j->finished, id);
}
