/* Removes jobs whose results may no longer be requested.  The store never
   removes anything by itself and rejects writes when it is full.

   One job at a time, by the entry that ranks first for it: its results page by
   page, its checkpoints, its body, and its row last, so that an interrupted
   removal is found and continued.  */
#include "jobs/state.h"

#include <stdio.h>
#include <string.h>

#include "jobs/checkpoint.h"
#include "trace/json_log.h"

enum
{
  INTERVAL_MS = 2000,
  /* Rows in one transaction; the store takes 100 operations.  */
  PAGE_ROWS = 90,
  /* Added to the retention time, since the clocks of callers differ.  */
  SLACK_MS = 30000,
  NAME_SIZE_BYTES = 320
};

struct expiry
{
  struct wy_jobs *jobs;
  struct wy_job_record *record;
  const char *table; /* whose rows are being removed */
  uint32_t piece;    /* of the body */
  uint32_t rows;
};

static void
end_expiry (struct expiry *c, const char *outcome)
{
  wy_json_log ("job.removed", "id=%s outcome=%s rows=%u pieces=%u",
               c->record->id, outcome, c->rows, c->piece);
  c->jobs->expiring = false;
  wy_job_record_free (c->record);
  g_free (c);
}

static void read_rows (struct expiry *c);

static void
on_row_removed (void *ctx, const struct wy_rows_result *r)
{
  end_expiry (ctx, r->err ? "row_stays" : "gone");
}

static void
remove_row (struct expiry *c)
{
  struct wy_row_ref ref
      = { WY_JOBS_TABLE, WY_JOB_ROW_KEY, c->record->row_version };
  struct wy_rows_tx tx = { .partition = c->record->id,
                           .conditions = &ref,
                           .n_conditions = 1,
                           .removals = &ref,
                           .n_removals = 1 };

  wy_rows_tx (c->jobs->env->rows, &tx, on_row_removed, c);
}

static void delete_piece (struct expiry *c);

static void
on_piece_deleted (void *ctx, const struct wy_rows_result *r)
{
  struct expiry *c = ctx;

  if (r->err && r->err != WY_ROWS_ENOTFOUND)
    {
      end_expiry (c, "body_stays");
      return;
    }
  c->piece++;
  delete_piece (c);
}

static void
delete_piece (struct expiry *c)
{
  char name[NAME_SIZE_BYTES];

  if (c->piece >= c->record->pieces)
    {
      remove_row (c);
      return;
    }
  snprintf (name, sizeof name, "%s.%u", c->record->object, c->piece);
  wy_rows_delete_object (c->jobs->env->rows, name, on_piece_deleted, c);
}

static void
on_rows_removed (void *ctx, const struct wy_rows_result *r)
{
  if (r->err)
    end_expiry (ctx, "results_stay");
  else
    read_rows (ctx);
}

static void
on_rows (void *ctx, const struct wy_rows_result *r)
{
  struct expiry *c = ctx;
  struct wy_row_ref refs[PAGE_ROWS];
  struct wy_rows_tx tx = { .partition = c->record->id, .removals = refs };

  if (r->err)
    {
      end_expiry (c, "unread");
      return;
    }
  for (size_t i = 0; i < r->n && i < PAGE_ROWS; i++)
    refs[tx.n_removals++] = (struct wy_row_ref){ c->table, r->rows[i].key, 0 };
  c->rows += (uint32_t)tx.n_removals;
  if (tx.n_removals)
    wy_rows_tx (c->jobs->env->rows, &tx, on_rows_removed, c);
  else if (!strcmp (c->table, WY_RESULTS_TABLE))
    {
      c->table = WY_CHECKPOINT_TABLE;
      read_rows (c);
    }
  else
    delete_piece (c);
}

static void
read_rows (struct expiry *c)
{
  struct wy_rows_range range
      = { .table = c->table, .partition = c->record->id, .limit = PAGE_ROWS };

  wy_rows_get (c->jobs->env->rows, &range, on_rows, c);
}

static bool
is_expired (struct wy_jobs *j, const struct wy_job_record *r, int64_t store_ms)
{
  return r->accepted_ms
         && store_ms - r->accepted_ms > j->result_retention_ms + SLACK_MS
         && r->state != WY_JOB_OPEN
         && wy_members_rank (j->members, r->id) == 0;
}

/* Start to remove one expired job, if there is one and no removal is in
   progress.  */
void
wy_jobs_expire (struct wy_jobs *j)
{
  int64_t now_ms = wy_clock_mono_ms (j->env->clock);
  int64_t store_ms = wy_rows_store_now_ms (j->env->rows);
  struct expiry *c;
  GHashTableIter it;
  gpointer p;

  if (j->expiring || !store_ms || now_ms < j->expire_due_ms)
    return;
  j->expire_due_ms = now_ms + INTERVAL_MS;
  g_hash_table_iter_init (&it, j->records);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      if (!is_expired (j, p, store_ms))
        continue;
      c = g_new0 (struct expiry, 1);
      c->jobs = j;
      c->record = wy_job_record_copy (p);
      c->table = WY_RESULTS_TABLE;
      j->expiring = true;
      read_rows (c);
      return;
    }
}
