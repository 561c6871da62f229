/* Requests about a job: read its results, get the body of an item, end the
   job.  All are answered from the store, so every entry returns the same, and
   a result that was returned once stays.  */
#include "jobs/state.h"

#include <string.h>

#include "gate/response.h"
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
  RESULT_READS_MAX_SHED = 1,
  RETRY_AFTER_MS = 300,
  END_ATTEMPTS = 6,
  END_RETRY_MS = 150
};

struct call_state
{
  struct wy_jobs *jobs;
  struct wy_h1_request *request;
  struct wy_job_call call;
  struct wy_job_record *record; /* a copy made for this request */
  int64_t received_ms;
  int64_t wait_until_ms;
  bool whole_page;     /* a result exceeds a smaller page */
  bool pending;        /* a store call, or a retry to end the job */
  bool results_listed; /* more of them, during a read */
  uint32_t attempts;
  uv_timer_t timer;
  GList link; /* in jobs->waiting_calls */
};

static void
on_timer_closed (uv_handle_t *h)
{
  g_free (h->data);
}

static void
free_call (struct call_state *d)
{
  if (d->link.data)
    g_queue_unlink (&d->jobs->waiting_calls, &d->link);
  wy_job_record_free (d->record);
  uv_close ((uv_handle_t *)&d->timer, on_timer_closed);
}

static void
on_hangup (void *ctx)
{
  struct call_state *d = ctx;

  d->request = NULL;
  /* If something is pending, its callback frees D.  */
  if (!d->pending)
    free_call (d);
}

/* Continue D after what was pending.  Return false if the caller has
   disconnected; D is then freed.  */
static bool
resume_call (struct call_state *d)
{
  d->pending = false;
  if (d->request)
    return true;
  free_call (d);
  return false;
}

/* When the caller of D, which is rejected since the store can't be read,
   should return.  */
static struct wy_retry_after_time
tell_return (const struct call_state *d, const char *reason)
{
  struct wy_request_info info;
  struct wy_rejection o = { .reason = reason,
                            .ends = WY_REJECTION_ENDS_BY_STORE,
                            .default_ms = RETRY_AFTER_MS,
                            .time_left_ms = -1 };

  wy_request_parse_head (wy_h1_head (d->request), &info);
  if (info.time_left_ms >= 0)
    o.time_left_ms = MAX (info.time_left_ms + d->received_ms
                              - wy_clock_mono_ms (d->jobs->env->clock),
                          0);
  return wy_rejections_tell (d->jobs->env->rejections, &o);
}

static void
reject (struct call_state *d, int status, const char *reason, int err)
{
  struct wy_retry_after_time t = { 0 };
  char fields[WY_REJECTION_FIELDS_SIZE_BYTES];

  if (status == 503)
    t = tell_return (d, reason);
  wy_json_log ("job.call_refused",
               "id=%s call=%s status=%d reason=%s err=%d %s", d->call.job,
               wy_job_call_name (d->call.kind), status, reason, err,
               status == 503 ? wy_rejection_fields (&t, fields) : "");
  wy_respond_status (d->request, status, reason, t.ms);
  free_call (d);
}

static void
respond_json (struct call_state *d, char *text)
{
  static const struct wy_h1_header type
      = { "Content-Type", "application/json" };

  wy_h1_respond (d->request, 200, &type, 1, text, strlen (text));
  g_free (text);
  free_call (d);
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

static void read_results (struct call_state *d);

/* The result at position N after the first one that D asks for can't be read.
   The holder of an open job writes it anew; a job that is done has none, so
   this entry opens it again.  */
static void
on_unreadable (struct call_state *d, guint n)
{
  struct wy_jobs *j = d->jobs;
  const struct wy_job_record *r = wy_jobs_find (j, d->call.job);

  if (!r || r->state != WY_JOB_DONE || j->env->stopping
      || g_hash_table_contains (j->starting, r->id)
      || !wy_jobs_has_memory_for (j, 0))
    return;
  wy_json_log ("job.reopened", "id=%s position=%llu", d->call.job,
               (unsigned long long)(d->call.after + n));
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
          on_unreadable (d, n);
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
    reject (d, 503, "not_text", WY_RESULT_ENOTEXT);
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
    read_results (d);
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
  if (!resume_call (d))
    return;
  if (r->err)
    {
      reject (d, 503, "store_unread", r->err);
      return;
    }
  results = g_ptr_array_new_with_free_func (free_result);
  wy_result_join (r, results);
  n = count_readable (d, results);
  if (results->len == 0 && r->has_more && !d->whole_page)
    {
      d->whole_page = true;
      read_results (d);
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
static void
read_results (struct call_state *d)
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

static void
on_body (void *ctx, int err, struct wy_job_spec *spec)
{
  static const struct wy_h1_header type
      = { "Content-Type", "application/octet-stream" };
  struct call_state *d = ctx;

  if (!resume_call (d))
    {
      wy_job_spec_free (spec);
      return;
    }
  for (guint i = 0; spec && i < spec->items->len; i++)
    {
      const struct wy_item_spec *item = g_ptr_array_index (spec->items, i);

      if (strcmp (item->id, d->call.item) != 0)
        continue;
      wy_h1_respond (d->request, 200, &type, 1,
                     item->body ? (const char *)item->body : "",
                     item->body_size_bytes);
      wy_job_spec_free (spec);
      free_call (d);
      return;
    }
  if (spec)
    reject (d, 404, "no_item", 0);
  else
    reject (d, 503, "store_unread", err);
  wy_job_spec_free (spec);
}

static void
read_body (struct call_state *d)
{
  const struct wy_active_job *o
      = g_hash_table_lookup (d->jobs->active, d->call.job);

  for (uint32_t k = 0; o && k < o->n_items; k++)
    {
      const struct wy_item_spec *item = o->items[k].spec;

      if (strcmp (item->id, d->call.item) != 0)
        continue;
      wy_h1_respond (d->request, 200, NULL, 0,
                     item->body ? (const char *)item->body : "",
                     item->body_size_bytes);
      free_call (d);
      return;
    }
  d->pending = true;
  wy_job_fetch (d->jobs, d->record, on_body, d);
}

static void read_record (struct call_state *d);

static void
on_end_retry (uv_timer_t *t)
{
  struct call_state *d = t->data;

  if (resume_call (d))
    read_record (d);
}

static void
on_ended_written (void *ctx, const struct wy_rows_result *r)
{
  struct call_state *d = ctx;
  struct wy_job_record *ended;

  if (!r->err)
    {
      ended = wy_job_record_copy (d->record);
      ended->row_version = r->version;
      wy_jobs_update_record (d->jobs, ended);
    }
  if (!resume_call (d))
    return;
  if (!r->err)
    {
      wy_json_log ("job.ended", "id=%s version=%lld", d->call.job,
                   (long long)r->version);
      wy_h1_respond (d->request, 200, NULL, 0, "", 0);
      free_call (d);
    }
  else if (++d->attempts < END_ATTEMPTS)
    {
      /* The row has changed, or the outcome of the write is unknown: read the
         row again.  */
      d->pending = true;
      uv_timer_start (&d->timer, on_end_retry, END_RETRY_MS, 0);
    }
  else
    reject (d, 502, "unsettled", r->err);
}

static void
write_ended (struct call_state *d)
{
  int err;

  if (d->record->state == WY_JOB_ENDED)
    {
      wy_h1_respond (d->request, 200, NULL, 0, "", 0);
      free_call (d);
      return;
    }
  d->record->state = WY_JOB_ENDED;
  d->pending = true;
  err = wy_job_record_write (d->jobs->env->rows, d->record, on_ended_written,
                             d);
  if (!err)
    return;
  d->pending = false;
  reject (d, 503, "not_text", err);
}

static void
dispatch (struct call_state *d)
{
  switch (d->call.kind)
    {
    case WY_JOB_CALL_RESULTS:
      read_results (d);
      break;
    case WY_JOB_CALL_ITEM_BODY:
      read_body (d);
      break;
    case WY_JOB_CALL_DELETE:
      write_ended (d);
      break;
    case WY_JOB_CALL_NONE:
      reject (d, 404, "no_call", 0);
      break;
    }
}

static void
on_record (void *ctx, const struct wy_rows_result *r)
{
  struct call_state *d = ctx;
  struct wy_job_record *rec = NULL;

  if (!resume_call (d))
    return;
  if (!r->err && r->n)
    rec = wy_job_record_decode (&r->rows[0]);
  if (r->err)
    {
      reject (d, 503, "store_unread", r->err);
      return;
    }
  if (!rec)
    {
      reject (d, 404, "no_job", 0);
      return;
    }
  wy_job_record_free (d->record);
  d->record = rec;
  wy_jobs_update_record (d->jobs, wy_job_record_copy (rec));
  dispatch (d);
}

static void
read_record (struct call_state *d)
{
  struct wy_rows_range range
      = { .table = WY_JOBS_TABLE, .partition = d->call.job };

  d->pending = true;
  wy_rows_get (d->jobs->env->rows, &range, on_record, d);
}

/* Return the latest known record of the job that CALL names, or NULL, and set
   CALL->job to its key.  A job that was accepted without an organisation is
   found by its name alone.  */
static const struct wy_job_record *
find_for (struct wy_jobs *j, const char *organisation,
          struct wy_job_call *call)
{
  const struct wy_job_record *known;

  wy_job_key (organisation, call->name, call->job, sizeof call->job);
  known = wy_jobs_find (j, call->job);
  if (known || !*organisation)
    return known;
  known = wy_jobs_find (j, call->name);
  if (known)
    g_strlcpy (call->job, call->name, sizeof call->job);
  return known;
}

/* Handle CALL, a request R of ORGANISATION ("": none) about a job.  */
void
wy_jobs_handle_call (struct wy_jobs *j, struct wy_h1_request *r,
                     const char *organisation, const struct wy_job_call *call)
{
  const struct wy_job_record *known;
  struct call_state *d = g_new0 (struct call_state, 1);

  d->jobs = j;
  d->request = r;
  d->call = *call;
  known = find_for (j, organisation, &d->call);
  d->received_ms = wy_clock_mono_ms (j->env->clock);
  d->wait_until_ms = d->received_ms + call->wait_ms;
  uv_timer_init (j->env->loop, &d->timer);
  d->timer.data = d;
  wy_h1_on_hangup (r, on_hangup, d);
  /* A job that is in the store stays known.  One that is not known here may
     just have been accepted by another entry.  */
  if (!known)
    {
      read_record (d);
      return;
    }
  d->record = wy_job_record_copy (known);
  dispatch (d);
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
        read_results (d);
    }
}
