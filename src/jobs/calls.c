/* Calls on a job: its results, the body of an item, its end.  All are
   answered from the store, so every entry answers alike, and what was listed
   once is listed always.  */
#include "jobs/state.h"

#include <string.h>

#include "gate/response.h"
#include "jobs/result_rows.h"
#include "platform/job_wire.h"
#include "trace/json_log.h"

enum
{
  /* Between two questions to the store for a caller that waits for results:
     a trainer idles meanwhile, and few wait at a time.  */
  POLL_MS = 40,
  PAGE_ROWS = 200,
  /* Of results in one answer, as the platform's clients expect.  */
  ANSWER_BYTES = 900000,
  RETRY_AFTER_MS = 300,
  END_TRIES = 6,
  END_PAUSE_MS = 150
};

struct read
{
  struct wy_jobs *jobs;
  struct wy_h1_request *request;
  struct wy_job_call call;
  struct wy_job_record *record; /* as read for this call */
  int64_t asked_ms;
  int64_t until_ms;
  bool reading;
  bool woken; /* results were listed while they were being read */
  uint32_t tries;
  uv_timer_t timer;
  GList link; /* in jobs->waiting */
};

static void
on_timer_closed (uv_handle_t *h)
{
  g_free (h->data);
}

static void
free_read (struct read *d)
{
  if (d->link.data)
    g_queue_unlink (&d->jobs->waiting, &d->link);
  wy_job_record_free (d->record);
  uv_close ((uv_handle_t *)&d->timer, on_timer_closed);
}

static void
on_hangup (void *ctx)
{
  struct read *d = ctx;

  d->request = NULL;
  /* A call to the store under way ends it.  */
  if (!d->reading)
    free_read (d);
}

/* Whether the caller is still there; else D is freed.  */
static bool
resume (struct read *d)
{
  d->reading = false;
  if (d->request)
    return true;
  free_read (d);
  return false;
}

static void
refuse (struct read *d, int status, const char *reason, int err)
{
  wy_json_log ("job.call_refused", "id=%s call=%s status=%d reason=%s err=%d",
               d->call.job, wy_job_call_name (d->call.kind), status, reason,
               err);
  wy_respond_status (d->request, status, reason,
                     status == 503 ? RETRY_AFTER_MS : 0);
  free_read (d);
}

static void
respond_json (struct read *d, char *text)
{
  static const struct wy_h1_header type
      = { "Content-Type", "application/json" };

  wy_h1_respond (d->request, 200, &type, 1, text, strlen (text));
  g_free (text);
  free_read (d);
}

static void
answer_results (struct read *d, const struct wy_rows_result *r)
{
  GPtrArray *results = g_ptr_array_new ();
  size_t size = 0;
  guint n = 0;

  wy_result_join (r, results);
  while (n < results->len)
    {
      const struct wy_result *res = g_ptr_array_index (results, n);

      size += res->text ? strlen (res->text) : 0;
      if (n && size > ANSWER_BYTES)
        break;
      n++;
    }
  wy_json_log (
      "job.read", "id=%s after=%llu results=%u waited_ms=%lld", d->call.job,
      (unsigned long long)d->call.after, n,
      (long long)(wy_clock_mono_ms (d->jobs->env->clock) - d->asked_ms));
  respond_json (
      d, wy_results_encode (d->record->total, d->call.after + n,
                            (struct wy_result *const *)results->pdata, n));
  for (guint i = 0; i < results->len; i++)
    wy_result_free (g_ptr_array_index (results, i));
  g_ptr_array_free (results, TRUE);
}

static void read_results (struct read *d);

static bool
may_have_more (const struct read *d)
{
  const struct wy_job_record *r = wy_jobs_find (d->jobs, d->call.job);

  return d->call.after < d->record->total && (!r || r->state == WY_JOB_OPEN);
}

static void
on_poll (uv_timer_t *t)
{
  struct read *d = t->data;

  if (!d->reading)
    read_results (d);
}

static void
on_results (void *ctx, const struct wy_rows_result *r)
{
  struct read *d = ctx;
  int64_t now_ms = wy_clock_mono_ms (d->jobs->env->clock);

  if (!resume (d))
    return;
  if (r->err)
    refuse (d, 503, "store_unread", r->err);
  else if (r->n || now_ms >= d->until_ms || !may_have_more (d))
    answer_results (d, r);
  else
    {
      uv_timer_start (&d->timer, on_poll, d->woken ? 0 : POLL_MS, 0);
      d->woken = false;
      if (d->link.data)
        return;
      d->link.data = d;
      g_queue_push_tail_link (&d->jobs->waiting, &d->link);
    }
}

static void
read_results (struct read *d)
{
  char from[WY_RESULT_KEY_SIZE_BYTES];
  struct wy_rows_range range = { .table = WY_RESULTS_TABLE,
                                 .partition = d->call.job,
                                 .from = from,
                                 .limit = PAGE_ROWS };

  wy_result_key (d->call.after, from);
  d->reading = true;
  wy_rows_get (d->jobs->env->rows, &range, on_results, d);
}

static void
on_body (void *ctx, int err, struct wy_job_spec *spec)
{
  static const struct wy_h1_header type
      = { "Content-Type", "application/octet-stream" };
  struct read *d = ctx;

  if (!resume (d))
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
      free_read (d);
      return;
    }
  if (spec)
    refuse (d, 404, "no_item", 0);
  else
    refuse (d, 503, "store_unread", err);
  wy_job_spec_free (spec);
}

static void
read_body (struct read *d)
{
  const struct wy_owned *o = g_hash_table_lookup (d->jobs->owned, d->call.job);

  for (uint32_t k = 0; o && k < o->n_items; k++)
    {
      const struct wy_item_spec *item = o->items[k].spec;

      if (strcmp (item->id, d->call.item) != 0)
        continue;
      wy_h1_respond (d->request, 200, NULL, 0,
                     item->body ? (const char *)item->body : "",
                     item->body_size_bytes);
      free_read (d);
      return;
    }
  d->reading = true;
  wy_job_load (d->jobs, d->record, on_body, d);
}

static void read_record (struct read *d);

static void
on_end_timer (uv_timer_t *t)
{
  struct read *d = t->data;

  if (resume (d))
    read_record (d);
}

static void
on_end_written (void *ctx, const struct wy_rows_result *r)
{
  struct read *d = ctx;
  struct wy_job_record *ended;

  if (!r->err)
    {
      ended = wy_job_record_copy (d->record);
      ended->row_version = r->version;
      wy_jobs_learn (d->jobs, ended);
    }
  if (!resume (d))
    return;
  if (!r->err)
    {
      wy_json_log ("job.ended", "id=%s version=%lld", d->call.job,
                   (long long)r->version);
      wy_h1_respond (d->request, 200, NULL, 0, "", 0);
      free_read (d);
    }
  else if (++d->tries < END_TRIES)
    {
      /* The row has changed, or nobody knows: read it again.  */
      d->reading = true;
      uv_timer_start (&d->timer, on_end_timer, END_PAUSE_MS, 0);
    }
  else
    refuse (d, 502, "unsettled", r->err);
}

static void
write_end (struct read *d)
{
  if (d->record->state == WY_JOB_ENDED)
    {
      wy_h1_respond (d->request, 200, NULL, 0, "", 0);
      free_read (d);
      return;
    }
  d->record->state = WY_JOB_ENDED;
  d->reading = true;
  wy_job_record_write (d->jobs->env->rows, d->record, on_end_written, d);
}

static void
go_on (struct read *d)
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
      write_end (d);
      break;
    case WY_JOB_CALL_NONE:
      refuse (d, 404, "no_call", 0);
      break;
    }
}

static void
on_record (void *ctx, const struct wy_rows_result *r)
{
  struct read *d = ctx;
  struct wy_job_record *rec = NULL;

  if (!resume (d))
    return;
  if (!r->err && r->n)
    rec = wy_job_record_decode (&r->rows[0]);
  if (r->err)
    {
      refuse (d, 503, "store_unread", r->err);
      return;
    }
  if (!rec)
    {
      refuse (d, 404, "no_job", 0);
      return;
    }
  wy_job_record_free (d->record);
  d->record = rec;
  wy_jobs_learn (d->jobs, wy_job_record_copy (rec));
  go_on (d);
}

static void
read_record (struct read *d)
{
  struct wy_rows_range range
      = { .table = WY_JOBS_TABLE, .partition = d->call.job };

  d->reading = true;
  wy_rows_get (d->jobs->env->rows, &range, on_record, d);
}

/* The job that CALL of ORGANISATION is about, as last told; NULL: none.  A job
   that was accepted before jobs belonged to organisations is found by its name
   alone.  */
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

/* Answer the call CALL that R makes on a job for ORGANISATION, "" for none.
 */
void
wy_jobs_handle_call (struct wy_jobs *j, struct wy_h1_request *r,
                     const char *organisation, const struct wy_job_call *call)
{
  const struct wy_job_record *known;
  struct read *d = g_new0 (struct read, 1);

  d->jobs = j;
  d->request = r;
  d->call = *call;
  known = find_for (j, organisation, &d->call);
  d->asked_ms = wy_clock_mono_ms (j->env->clock);
  d->until_ms = d->asked_ms + call->wait_ms;
  uv_timer_init (j->env->loop, &d->timer);
  d->timer.data = d;
  wy_h1_on_hangup (r, on_hangup, d);
  /* A job is never unknown again once it was known; one that is not known
     may have been accepted a moment ago elsewhere.  */
  if (!known)
    {
      read_record (d);
      return;
    }
  d->record = wy_job_record_copy (known);
  go_on (d);
}

/* New results of the job ID are listed.  */
void
wy_jobs_wake_readers (struct wy_jobs *j, const char *id)
{
  for (GList *l = j->waiting.head; l; l = l->next)
    {
      struct read *d = l->data;

      if (strcmp (d->call.job, id) != 0)
        continue;
      d->woken = d->reading;
      if (!d->reading)
        read_results (d);
    }
}
