/* Removes the stored counts and reports of old windows.  */
#include "duties/usage_state.h"

#include <stdlib.h>
#include <string.h>

#include "trace/json_log.h"

enum
{
  CLEANUP_INTERVAL_MS = 20000,
  /* While there may be more to remove.  */
  CLEANUP_NEXT_MS = 1000,
  /* Well above the longest delay with which the store may execute a write:
     such a write would otherwise create a second report of the window.  */
  RETENTION_MS = 120000,
  /* Maximum number of rows removed in one transaction, within the store's
     limit.  */
  REMOVALS_MAX = 99
};

static void
finish (struct wy_usage *u, bool more)
{
  u->cleanup_pending = false;
  u->cleanup_due_ms
      = wy_usage_now_ms (u) + (more ? CLEANUP_NEXT_MS : CLEANUP_INTERVAL_MS);
}

static void
on_removed (void *ctx, const struct wy_rows_result *r)
{
  struct wy_usage *u = ctx;

  if (u->freed)
    return;
  if (r->err)
    wy_json_log ("usage.unremoved", "err=%d", r->err);
  finish (u, !r->err);
}

static void
on_rows (void *ctx, const struct wy_rows_result *r)
{
  struct wy_usage *u = ctx;
  struct wy_row_ref refs[REMOVALS_MAX + 1];
  char partition[WY_USAGE_PARTITION_SIZE_BYTES];
  struct wy_rows_tx tx = { .partition = partition, .removals = refs };

  if (u->freed)
    return;
  if (r->err)
    {
      finish (u, false);
      return;
    }
  wy_usage_partition (u->removing_window, partition);
  for (size_t i = 0; i < r->n && i < REMOVALS_MAX; i++)
    refs[tx.n_removals++]
        = (struct wy_row_ref){ .table = WY_USAGE_COUNTS_TABLE,
                               .key = r->rows[i].key };
  /* The report is removed last: windows to remove are found by the partitions
     of the reports table.  */
  if (r->n < REMOVALS_MAX)
    refs[tx.n_removals++]
        = (struct wy_row_ref){ .table = WY_USAGE_REPORTS_TABLE,
                               .key = WY_USAGE_REPORT_KEY };
  wy_rows_tx (u->o.rows, &tx, on_removed, u);
}

static void
on_partitions (void *ctx, const struct wy_rows_result *r)
{
  struct wy_usage *u = ctx;
  int64_t oldest_kept = (wy_usage_wall_ms (u) - RETENTION_MS) / u->o.window_ms;

  if (u->freed)
    return;
  for (size_t i = 0; !r->err && i < r->n_partitions; i++)
    if (strtoll (r->partitions[i], NULL, 10) < oldest_kept)
      {
        struct wy_rows_range range;

        u->removing_window = strtoll (r->partitions[i], NULL, 10);
        range = (struct wy_rows_range){ .table = WY_USAGE_COUNTS_TABLE,
                                        .partition = r->partitions[i],
                                        .limit = REMOVALS_MAX };

        wy_rows_get (u->o.rows, &range, on_rows, u);
        return;
      }
  finish (u, false);
}

/* Remove one old window, if there is any.  Only the leader calls this.  */
void
wy_usage_cleanup (struct wy_usage *u)
{
  if (u->cleanup_pending || wy_usage_now_ms (u) < u->cleanup_due_ms)
    return;
  u->cleanup_pending = true;
  wy_rows_list_partitions (u->o.rows, WY_USAGE_REPORTS_TABLE, NULL,
                           on_partitions, u);
}
