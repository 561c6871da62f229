/* Reads of a job's results, page by page, for callers that may wait until
   there are some.  */
#include "jobs/call_state.h"

#include <string.h>

#include "base/text.h"
#include "jobs/result_rows.h"
#include "platform/job_wire.h"
#include "trace/json_log.h"

enum
{
  /* Interval between two reads of the store for a caller that waits for
     results: a trainer is idle meanwhile, and few callers wait at a time.  */
  POLL_MS = 40,
  PAGE_ROWS = 200,
  /* Rows of long results are read in smaller pages: 200 of 48 KB would be
     13 MB in base64, of which a response takes less than a tenth.  */
  PAGE_BYTES = 1200000,
  PAGE_ROWS_MIN = 24,
  /* Of the results in one response, a limit of the platform's clients.  */
  RESPONSE_BYTES_MAX = 900000,
  /* The same at level PAUSE_READING of the memory account, and a quarter of it
     at each further level: a reader that does not read holds one response.  */
  SHORT_RESPONSE_BYTES_MAX = 65536,
  LEVEL_SHIFT = 2,
  /* Reads of results for readers at a time.  A page is counted only as it
     arrives, so 500 readers that come at once would exceed the memory before
     its level shows it.  A few trainers have at most one read each.  */
  RESULT_READS_MAX = 8,
  RESULT_READS_MAX_PAUSE_READING = 2,
  /* Not 0: a job's memory is freed when its trainer has read enough.  */
  RESULT_READS_MAX_SHED = 1
};

static void
respond_json (struct call_state *d, char *text)
{
  static const struct wy_h1_header type
      = { "Content-Type", "application/json" };

  wy_h1_respond (d->request, 200, &type, 1, text, strlen (text));
  g_free (text);
  wy_job_call_free (d);
}

static enum wy_memory_level
memory_level (const struct call_state *d)
{
  return wy_memory_account_level (&d->jobs->env->memory);
}

static size_t
max_response_bytes (const struct call_state *d)
{
  enum wy_memory_level level = memory_level (d);

  if (level == WY_MEMORY_NORMAL)
    return RESPONSE_BYTES_MAX;
  return SHORT_RESPONSE_BYTES_MAX
         >> (LEVEL_SHIFT * (level - WY_MEMORY_PAUSE_READING));
}

static uint32_t
max_result_reads (const struct call_state *d)
{
  switch (memory_level (d))
    {
    case WY_MEMORY_NORMAL:
      return RESULT_READS_MAX;
    case WY_MEMORY_SHED:
      return RESULT_READS_MAX_SHED;
    default:
      return RESULT_READS_MAX_PAUSE_READING;
    }
}

static uint32_t
page_rows (const struct call_state *d)
{
  size_t row_bytes = d->jobs->result_row_bytes;

  if (d->whole_page || row_bytes == 0)
    return PAGE_ROWS;
  return (uint32_t)CLAMP (PAGE_BYTES / row_bytes, PAGE_ROWS_MIN, PAGE_ROWS);
}

static void
record_row_bytes (struct wy_jobs *j, const struct wy_rows_result *r)
{
  size_t bytes = 0;

  for (size_t i = 0; i < r->n; i++)
    bytes += r->rows[i].size_bytes;
  if (r->n)
    j->result_row_bytes = bytes / r->n;
}

/* The result at POSITION of the job that D asks for can't be read.
   The holder of an open job writes it anew; a job that is done has none, so
   this entry opens it again.  */
static void
on_unreadable (struct call_state *d, uint64_t position)
{
  struct wy_jobs *j = d->jobs;
  const struct wy_job_record *r = wy_jobs_find (j, d->call.job);

  if (!r || r->state != WY_JOB_DONE || j->env->stopping
      || g_hash_table_contains (j->starting, r->id)
      || !wy_jobs_has_memory_for (j, 0))
    return;
  wy_json_log ("job.reopened", "id=%s position=%llu", d->call.job,
               (unsigned long long)position);
  wy_jobs_take_over (j, r);
}

/* Return how many of RESULTS fit into one response, up to the first that can't
   be read.  */
static guint
count_readable (struct call_state *d, const GPtrArray *results)
{
  size_t size = 0;
  guint n = 0;

  for (; n < results->len; n++)
    {
      const struct wy_result *res = g_ptr_array_index (results, n);

      if (!res)
        {
          on_unreadable (d, d->call.after + n);
          break;
        }
      size += res->text->len;
      if (n && size > max_response_bytes (d))
        break;
    }
  return n;
}

static void
respond_results (struct call_state *d, const GPtrArray *results, guint n)
{
  char *text
      = wy_results_encode (d->record->total, d->call.after + n,
                           (struct wy_result *const *)results->pdata, n);

  wy_json_log (
      "job.read", "id=%s after=%llu results=%u waited_ms=%lld", d->call.job,
      (unsigned long long)d->call.after, n,
      (long long)(wy_clock_mono_ms (d->jobs->env->clock) - d->received_ms));
  if (text)
    respond_json (d, text);
  else
    wy_job_call_reject (d, 503, WY_REASON_NOT_TEXT, WY_RESULT_ENOTEXT);
}

static void
free_result (gpointer p)
{
  wy_result_free (p);
}

static bool
may_have_more (const struct call_state *d)
{
  const struct wy_job_record *r = wy_jobs_find (d->jobs, d->call.job);

  return d->call.after < d->record->total && (!r || r->state == WY_JOB_OPEN);
}

static void
on_poll (uv_timer_t *t)
{
  struct call_state *d = t->data;

  if (!d->pending)
    wy_job_call_read_results (d);
}

/* Read results for D again when there may be more.  */
static void
wait_for_results (struct call_state *d)
{
  uv_timer_start (&d->timer, on_poll, d->results_listed ? 0 : POLL_MS, 0);
  d->results_listed = false;
  if (d->link.data)
    return;
  d->link.data = d;
  g_queue_push_tail_link (&d->jobs->waiting_calls, &d->link);
}

static void
on_results (void *ctx, const struct wy_rows_result *r)
{
  struct call_state *d = ctx;
  int64_t now_ms = wy_clock_mono_ms (d->jobs->env->clock);
  GPtrArray *results;
  guint n;

  d->jobs->result_reads--;
  record_row_bytes (d->jobs, r);
  if (!wy_job_call_resume (d))
    return;
  if (r->err)
    {
      wy_job_call_reject (d, 503, "store_unread", r->err);
      return;
    }
  results = g_ptr_array_new_with_free_func (free_result);
  wy_result_join (r, results);
  n = count_readable (d, results);
  if (results->len == 0 && r->has_more && !d->whole_page)
    {
      d->whole_page = true;
      wy_job_call_read_results (d);
    }
  else if (n == 0 && now_ms < d->wait_until_ms
           && (results->len || (r->n == 0 && may_have_more (d))))
    wait_for_results (d);
  else
    respond_results (d, results, n);
  g_ptr_array_free (results, TRUE);
}

/* Read results for D, or if too many reads are in progress, at its next
   poll.  */
void
wy_job_call_read_results (struct call_state *d)
{
  char from[WY_RESULT_KEY_SIZE_BYTES];
  struct wy_rows_range range = { .table = WY_RESULTS_TABLE,
                                 .partition = d->call.job,
                                 .from = from,
                                 .limit = page_rows (d) };

  if (d->jobs->result_reads >= max_result_reads (d))
    {
      uv_timer_start (&d->timer, on_poll, POLL_MS, 0);
      return;
    }
  wy_result_key (d->call.after, from);
  d->jobs->result_reads++;
  d->pending = true;
  wy_rows_get (d->jobs->env->rows, &range, on_results, d);
}

/* Wake the callers that wait for results of the job ID.  */
void
wy_jobs_wake_readers (struct wy_jobs *j, const char *id)
{
  for (GList *l = j->waiting_calls.head; l; l = l->next)
    {
      struct call_state *d = l->data;

      if (strcmp (d->call.job, id) != 0)
        continue;
      d->results_listed = d->pending;
      if (!d->pending)
        wy_job_call_read_results (d);
    }
}
