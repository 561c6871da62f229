/* Reports the usage of each window to the platform.

   The platform must never get two reports of one window with other counts.  So
   the text of a report is fixed first, in a row that is written on the
   condition that there is none, and what is sent is what that row holds, by
   whichever instance and as often as needed.  */
#include "duties/usage_state.h"

#include <string.h>

#include "trace/json_log.h"

enum
{
  /* Between two tries of a step that failed.  */
  RETRY_MS = 250,
  /* Without the counts of some entry, a window is reported when so much of the
     time until it is due has passed, in percent, and the store has answered
     for STORE_BACK_MS; what entries hold back while it is away comes then.  */
  FORCED_PERCENT = 55,
  STORE_BACK_MS = 1500,
  /* And in any case so long before it is due.  */
  LAST_MS = 900,
  /* A window that is overdue by so many times that time is left out.  */
  MISSED_TIMES = 3
};

static int64_t
since_end_ms (const struct wy_usage *u)
{
  return wy_usage_true_ms (u) - (u->window + 1) * u->o.window_ms;
}

static void
again (struct wy_usage *u)
{
  u->phase = WY_USAGE_IDLE;
  u->wait_ms = wy_usage_now_ms (u) + RETRY_MS;
}

static void
next_window (struct wy_usage *u)
{
  g_free (u->text);
  u->text = NULL;
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
    case WY_DUTY_BUSY:
    case WY_DUTY_UNREACHED:
      again (u);
      break;
    }
}

static void
send_report (struct wy_usage *u)
{
  u->phase = WY_USAGE_SENDING;
  if (!wy_duty_call (u->o.calls, WY_USAGE_TARGET, u->text, strlen (u->text),
                     on_sent, u))
    again (u);
}

static void
keep_text (struct wy_usage *u, const struct wy_row *row)
{
  g_free (u->text);
  u->text = g_strndup (row->value, row->size_bytes);
}

static void
on_fixed (void *ctx, const struct wy_rows_result *r)
{
  struct wy_usage *u = ctx;

  if (u->freed)
    return;
  if (r->err == WY_ROWS_ECONFLICT && r->n)
    keep_text (u, &r->rows[0]);
  else if (r->err)
    {
      /* It may be fixed or not: the row shows.  */
      g_free (u->text);
      u->text = NULL;
      again (u);
      return;
    }
  send_report (u);
}

static void
fix (struct wy_usage *u)
{
  char part[WY_USAGE_PARTITION_SIZE_BYTES];
  struct wy_row_ref condition
      = { .table = WY_USAGE_REPORTS_TABLE, .key = WY_USAGE_REPORT_KEY };
  struct wy_row_write w
      = { .table = WY_USAGE_REPORTS_TABLE, .key = WY_USAGE_REPORT_KEY };
  struct wy_rows_tx tx = { .partition = part,
                           .conditions = &condition,
                           .n_conditions = 1,
                           .writes = &w,
                           .n_writes = 1 };

  wy_usage_partition (u->window, part);
  g_free (u->text);
  u->text = wy_usage_report_body (u->window, u->sum);
  w.value = u->text;
  w.size_bytes = strlen (u->text);
  u->phase = WY_USAGE_FIXING;
  u->stats.forced += u->is_forced;
  wy_json_log ("usage.fixed",
               "window=%lld entries=%u organisations=%u forced=%d",
               (long long)u->window, u->n_rows, g_hash_table_size (u->sum),
               u->is_forced);
  wy_rows_tx (u->o.rows, &tx, on_fixed, u);
}

static void add_from (struct wy_usage *u, const char *from);

static void
on_counts (void *ctx, const struct wy_rows_result *r)
{
  struct wy_usage *u = ctx;

  if (u->freed)
    return;
  if (r->err)
    {
      again (u);
      return;
    }
  for (size_t i = 0; i < r->n; i++)
    wy_usage_counts_add (u->sum, r->rows[i].value, r->rows[i].size_bytes);
  u->n_rows += (uint32_t)r->n;
  if (r->has_more && r->n)
    {
      /* The smallest key behind the last one.  */
      char *from = g_strconcat (r->rows[r->n - 1].key, "\001", NULL);

      add_from (u, from);
      g_free (from);
    }
  else
    fix (u);
}

static void
add_from (struct wy_usage *u, const char *from)
{
  char part[WY_USAGE_PARTITION_SIZE_BYTES];
  struct wy_rows_range range
      = { .table = WY_USAGE_COUNTS_TABLE, .partition = part, .from = from };

  wy_usage_partition (u->window, part);
  u->phase = WY_USAGE_ADDING;
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
      again (u);
      return;
    }
  if (r->n)
    {
      keep_text (u, &r->rows[0]);
      send_report (u);
      return;
    }
  if (u->sum)
    g_hash_table_destroy (u->sum);
  u->sum = wy_usage_counts_table_new ();
  u->n_rows = 0;
  add_from (u, NULL);
}

static bool
is_ready (struct wy_usage *u)
{
  int64_t since_ms = since_end_ms (u);
  int64_t back_ms = wy_usage_now_ms (u) - u->away_ms;

  u->is_forced = false;
  if (u->o.newest_complete_window (u->o.ctx) >= u->window)
    return true;
  u->is_forced = true;
  if (since_ms >= u->o.report_deadline_ms - LAST_MS)
    return true;
  return since_ms >= (int64_t)u->o.report_deadline_ms * FORCED_PERCENT / 100
         && (!u->away_ms || back_ms >= STORE_BACK_MS);
}

static void
start_over (struct wy_usage *u)
{
  u->restart = false;
  u->wait_ms = 0;
  u->window
      = (wy_usage_true_ms (u) - u->o.report_deadline_ms) / u->o.window_ms - 1;
  next_window (u);
}

/* Go on with the oldest window that is not reported.  The lease is held.  */
void
wy_usage_report_step (struct wy_usage *u)
{
  char part[WY_USAGE_PARTITION_SIZE_BYTES];
  struct wy_rows_range range
      = { .table = WY_USAGE_REPORTS_TABLE, .partition = part };

  if (u->phase != WY_USAGE_IDLE)
    return;
  if (u->restart)
    start_over (u);
  if (wy_usage_now_ms (u) < u->wait_ms)
    return;
  if (since_end_ms (u) > (int64_t)u->o.report_deadline_ms * MISSED_TIMES)
    {
      wy_json_log ("usage.missed", "window=%lld since_end_ms=%lld",
                   (long long)u->window, (long long)since_end_ms (u));
      u->stats.missed++;
      next_window (u);
      return;
    }
  if (since_end_ms (u) < 0 || (!u->text && !is_ready (u)))
    return;
  if (u->text)
    {
      send_report (u);
      return;
    }
  wy_usage_partition (u->window, part);
  u->phase = WY_USAGE_READING;
  wy_rows_get (u->o.rows, &range, on_report_read, u);
}
