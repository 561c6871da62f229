/* Summaries of jobs for metrics and the status page.  */
#include <string.h>

#include "jobs/state.h"

/* Sum up the unfinished work of the jobs that run here.  */
void
wy_jobs_backlog (const struct wy_jobs *j, struct wy_jobs_backlog *out)
{
  int64_t now_ms = wy_clock_mono_ms (j->env->clock);
  GHashTableIter it;
  gpointer p;

  memset (out, 0, sizeof *out);
  g_hash_table_iter_init (&it, j->active);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      const struct wy_active_job *o = p;

      out->oldest_ms = MAX (out->oldest_ms, now_ms - o->started_ms);
      out->waiting += o->n_waiting;
      out->scoring += o->n_scoring;
      out->unlisted += o->unlisted.length;
    }
}

/* Call FN for each job that runs here or, without HERE, for each known one
   that doesn't.  */
void
wy_jobs_each (const struct wy_jobs *j, bool here,
              void (*fn) (void *ctx, const struct wy_job_view *v), void *ctx)
{
  int64_t now_ms = wy_clock_mono_ms (j->env->clock);
  GHashTableIter it;
  gpointer p;

  g_hash_table_iter_init (&it, j->records);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      const struct wy_job_record *r = p;
      const struct wy_active_job *o = g_hash_table_lookup (j->active, r->id);
      struct wy_job_view v = { .id = r->id,
                               .state = wy_job_state_name (r->state),
                               .holder = r->holder,
                               .runs_here = o != NULL,
                               .total_items = (uint32_t)r->total,
                               .age_ms = -1 };

      if (here != v.runs_here)
        continue;
      if (o)
        {
          v.listed = o->n_listed;
          v.age_ms = now_ms - o->started_ms;
        }
      fn (ctx, &v);
    }
}
