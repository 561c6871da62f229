/* Removes the stored counts and reports of windows long past.  */
#include "duties/usage_state.h"

#include <stdlib.h>
#include <string.h>

#include "trace/json_log.h"

enum
{
  EVERY_MS = 20000,
  /* While there is more to remove.  */
  NEXT_MS = 1000,
  /* Rows are kept well beyond the time that the store may perform a call late:
     a report could else be fixed a second time.  */
  KEPT_MS = 120000,
  /* Entries that the store takes in one transaction.  */
  REMOVALS_MAX = 99
};

static void
end (struct wy_usage *u, bool more)
{
  u->cleaning = false;
  u->clean_due_ms = wy_usage_now_ms (u) + (more ? NEXT_MS : EVERY_MS);
}

static void
on_removed (void *ctx, const struct wy_rows_result *r)
{
  struct wy_usage *u = ctx;

  if (u->freed)
    return;
  if (r->err)
    wy_json_log ("usage.unremoved", "err=%d", r->err);
  end (u, !r->err);
}

static void
on_rows (void *ctx, const struct wy_rows_result *r)
{
  struct wy_usage *u = ctx;
  struct wy_row_ref refs[REMOVALS_MAX + 1];
  char part[WY_USAGE_PARTITION_SIZE_BYTES];
  struct wy_rows_tx tx = { .partition = part, .removals = refs };

  if (u->freed)
    return;
  if (r->err)
    {
      end (u, false);
      return;
    }
  wy_usage_partition (u->removing, part);
  for (size_t i = 0; i < r->n && i < REMOVALS_MAX; i++)
    refs[tx.n_removals++]
        = (struct wy_row_ref){ .table = WY_USAGE_COUNTS_TABLE,
                               .key = r->rows[i].key };
  /* The report goes last: its part shows that there is something to remove.
   */
  if (r->n < REMOVALS_MAX)
    refs[tx.n_removals++]
        = (struct wy_row_ref){ .table = WY_USAGE_REPORTS_TABLE,
                               .key = WY_USAGE_REPORT_KEY };
  wy_rows_tx (u->o.rows, &tx, on_removed, u);
}

static void
on_parts (void *ctx, const struct wy_rows_result *r)
{
  struct wy_usage *u = ctx;
  int64_t last = (wy_usage_true_ms (u) - KEPT_MS) / u->o.window_ms;

  if (u->freed)
    return;
  for (size_t i = 0; !r->err && i < r->n_partitions; i++)
    if (strtoll (r->partitions[i], NULL, 10) < last)
      {
        struct wy_rows_range range;

        u->removing = strtoll (r->partitions[i], NULL, 10);
        range = (struct wy_rows_range){ .table = WY_USAGE_COUNTS_TABLE,
                                        .partition = r->partitions[i],
                                        .limit = REMOVALS_MAX };

        wy_rows_get (u->o.rows, &range, on_rows, u);
        return;
      }
  end (u, false);
}

/* Remove one old window, if there is any.  The lease is held.  */
void
wy_usage_clean (struct wy_usage *u)
{
  if (u->cleaning || wy_usage_now_ms (u) < u->clean_due_ms)
    return;
  u->cleaning = true;
  wy_rows_list_partitions (u->o.rows, WY_USAGE_REPORTS_TABLE, NULL, on_parts,
                           u);
}
