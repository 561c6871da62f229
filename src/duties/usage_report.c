/* Reports the usage of each window to the platform.

   The platform must never receive two reports of one window with different
   counts.  So the body of a report is first stored in a row, on the condition
   that the row does not exist.  Each instance that sends the report, first or
   again, sends the body in that row.  */
#include "duties/usage_state.h"

#include <string.h>

#include "trace/json_log.h"

enum
{
  /* Delay before a failed step is retried.  */
  RETRY_MS = 250,
  /* If the counts of some entry are missing, a window is reported anyway once
     this share of the time until the deadline has passed, in percent, and the
     store has been reachable for STORE_BACK_MS, in which entries store the
     counts that they kept during an outage.  */
  FORCED_PERCENT = 55,
  STORE_BACK_MS = 1500,
  /* It is reported in any case this long before the deadline.  */
  FORCED_LAST_MS = 900,
  /* A window older than this multiple of the deadline is skipped.  */
  MISSED_FACTOR = 3
};

static int64_t
since_end_ms (const struct wy_usage *u)
{
  return wy_usage_wall_ms (u) - (u->window + 1) * u->o.window_ms;
}

static void
retry_later (struct wy_usage *u)
{
  u->phase = WY_USAGE_IDLE;
  u->not_before_ms = wy_usage_now_ms (u) + RETRY_MS;
}

static void
next_window (struct wy_usage *u)
{
  g_free (u->body);
  u->body = NULL;
  u->phase = WY_USAGE_IDLE;
  u->is_forced = false;
  u->window++;
}

static void
on_sent (void *ctx, enum wy_duty_outcome outcome, int status)
{
  struct wy_usage *u = ctx;
  int64_t since_ms = since_end_ms (u);

  if (u->freed)
    return;
  switch (outcome)
    {
    case WY_DUTY_DONE:
      wy_json_log ("usage.reported",
                   "window=%lld since_end_ms=%lld forced=%d generation=%lld",
                   (long long)u->window, (long long)since_ms, u->is_forced,
                   (long long)wy_election_generation (u->o.election));
      u->stats.reported++;
      u->stats.late += since_ms > u->o.report_deadline_ms;
      u->stats.last_window = u->window;
      next_window (u);
      break;
    case WY_DUTY_REJECTED:
      wy_json_log ("usage.rejected", "window=%lld status=%d",
                   (long long)u->window, status);
      u->stats.rejected++;
      next_window (u);
      break;
    case WY_DUTY_RETRY:
    case WY_DUTY_NO_RESPONSE:
      retry_later (u);
      break;
    }
}

static void
send_report (struct wy_usage *u)
{
  u->phase = WY_USAGE_SENDING;
  if (!wy_duty_call (u->o.calls, WY_USAGE_TARGET, u->body, strlen (u->body),
                     on_sent, u))
    retry_later (u);
}

static void
copy_body (struct wy_usage *u, const struct wy_row *row)
{
  g_free (u->body);
  u->body = g_strndup (row->value, row->size_bytes);
}

static void
on_report_persisted (void *ctx, const struct wy_rows_result *r)
{
  struct wy_usage *u = ctx;

  if (u->freed)
    return;
  if (r->err == WY_ROWS_ECONFLICT && r->n)
    copy_body (u, &r->rows[0]);
  else if (r->err)
    {
      /* The write may have taken effect or not: read the row again.  */
      g_free (u->body);
      u->body = NULL;
      retry_later (u);
      return;
    }
  send_report (u);
}

static void
persist_report (struct wy_usage *u)
{
  char partition[WY_USAGE_PARTITION_SIZE_BYTES];
  struct wy_row_ref condition
      = { .table = WY_USAGE_REPORTS_TABLE, .key = WY_USAGE_REPORT_KEY };
  struct wy_row_write w
      = { .table = WY_USAGE_REPORTS_TABLE, .key = WY_USAGE_REPORT_KEY };
  struct wy_rows_tx tx = { .partition = partition,
                           .conditions = &condition,
                           .n_conditions = 1,
                           .writes = &w,
                           .n_writes = 1 };

  wy_usage_partition (u->window, partition);
  g_free (u->body);
  u->body = wy_usage_report_body (u->window, u->sum);
  w.value = u->body;
  w.size_bytes = strlen (u->body);
  u->phase = WY_USAGE_PERSISTING;
  u->stats.forced += u->is_forced;
  wy_json_log ("usage.fixed",
               "window=%lld entries=%u organisations=%u forced=%d",
               (long long)u->window, u->n_rows, g_hash_table_size (u->sum),
               u->is_forced);
  wy_rows_tx (u->o.rows, &tx, on_report_persisted, u);
}

static void read_counts (struct wy_usage *u, const char *from);

static void
on_counts (void *ctx, const struct wy_rows_result *r)
{
  struct wy_usage *u = ctx;

  if (u->freed)
    return;
  if (r->err)
    {
      retry_later (u);
      return;
    }
  for (size_t i = 0; i < r->n; i++)
    wy_usage_counts_add (u->sum, r->rows[i].value, r->rows[i].size_bytes);
  u->n_rows += (uint32_t)r->n;
  if (r->has_more && r->n)
    {
      /* The smallest key after the last one.  */
      char *from = g_strconcat (r->rows[r->n - 1].key, "\001", NULL);

      read_counts (u, from);
      g_free (from);
    }
  else
    persist_report (u);
}

static void
read_counts (struct wy_usage *u, const char *from)
{
  char partition[WY_USAGE_PARTITION_SIZE_BYTES];
  struct wy_rows_range range = { .table = WY_USAGE_COUNTS_TABLE,
                                 .partition = partition,
                                 .from = from };

  wy_usage_partition (u->window, partition);
  u->phase = WY_USAGE_SUMMING;
  wy_rows_get (u->o.rows, &range, on_counts, u);
}

static void
on_report_read (void *ctx, const struct wy_rows_result *r)
{
  struct wy_usage *u = ctx;

  if (u->freed)
    return;
  if (r->err)
    {
      retry_later (u);
      return;
    }
  if (r->n)
    {
      copy_body (u, &r->rows[0]);
      send_report (u);
      return;
    }
  if (u->sum)
    g_hash_table_destroy (u->sum);
  u->sum = wy_usage_counts_table_new ();
  u->n_rows = 0;
  read_counts (u, NULL);
}

static bool
may_report (struct wy_usage *u)
{
  int64_t since_ms = since_end_ms (u);
  int64_t reachable_ms = wy_usage_now_ms (u) - u->store_unreachable_ms;

  u->is_forced = false;
  if (u->o.newest_complete_window (u->o.ctx) >= u->window)
    return true;
  u->is_forced = true;
  if (since_ms >= u->o.report_deadline_ms - FORCED_LAST_MS)
    return true;
  return since_ms >= (int64_t)u->o.report_deadline_ms * FORCED_PERCENT / 100
         && (!u->store_unreachable_ms || reachable_ms >= STORE_BACK_MS);
}

static void
rescan_windows (struct wy_usage *u)
{
  u->restart = false;
  u->not_before_ms = 0;
  u->window
      = (wy_usage_wall_ms (u) - u->o.report_deadline_ms) / u->o.window_ms - 1;
  next_window (u);
}

/* Continue with the oldest window not reported yet.  Only the leader calls
   this.  */
void
wy_usage_report_step (struct wy_usage *u)
{
  char partition[WY_USAGE_PARTITION_SIZE_BYTES];
  struct wy_rows_range range
      = { .table = WY_USAGE_REPORTS_TABLE, .partition = partition };

  if (u->phase != WY_USAGE_IDLE)
    return;
  if (u->restart)
    rescan_windows (u);
  if (wy_usage_now_ms (u) < u->not_before_ms)
    return;
  if (since_end_ms (u) > (int64_t)u->o.report_deadline_ms * MISSED_FACTOR)
    {
      wy_json_log ("usage.missed", "window=%lld since_end_ms=%lld",
                   (long long)u->window, (long long)since_end_ms (u));
      u->stats.missed++;
      next_window (u);
      return;
    }
  if (since_end_ms (u) < 0 || (!u->body && !may_report (u)))
    return;
  if (u->body)
    {
      send_report (u);
      return;
    }
  wy_usage_partition (u->window, partition);
  u->phase = WY_USAGE_READING;
  wy_rows_get (u->o.rows, &range, on_report_read, u);
}
