/* Requests about a job: read its results, get the body of an item, end the
   job.  All are answered from the store, so every entry returns the same, and
   a result that was returned once stays.  */
#include "jobs/call_state.h"

#include <string.h>

#include "base/text.h"
#include "gate/response.h"
#include "trace/json_log.h"

enum
{
  RETRY_AFTER_MS = 300,
  END_ATTEMPTS = 6,
  END_RETRY_MS = 150
};

static void
on_timer_closed (uv_handle_t *h)
{
  g_free (h->data);
}

/* Free D, whose request has its response or is gone.  */
void
wy_job_call_free (struct call_state *d)
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
    wy_job_call_free (d);
}

/* Continue D after what was pending.  Return false if the caller has
   disconnected; D is then freed.  */
bool
wy_job_call_resume (struct call_state *d)
{
  d->pending = false;
  if (d->request)
    return true;
  wy_job_call_free (d);
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

/* Respond to D with STATUS for REASON; ERR is the cause, for the log.  */
void
wy_job_call_reject (struct call_state *d, int status, const char *reason,
                    int err)
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
  wy_job_call_free (d);
}

static void
on_body (void *ctx, int err, struct wy_job_spec *spec)
{
  static const struct wy_h1_header type
      = { "Content-Type", "application/octet-stream" };
  struct call_state *d = ctx;

  if (!wy_job_call_resume (d))
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
      wy_job_call_free (d);
      return;
    }
  if (spec)
    wy_job_call_reject (d, 404, "no_item", 0);
  else
    wy_job_call_reject (d, 503, "store_unread", err);
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
      wy_job_call_free (d);
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

  if (wy_job_call_resume (d))
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
  if (!wy_job_call_resume (d))
    return;
  if (!r->err)
    {
      wy_json_log ("job.ended", "id=%s version=%lld", d->call.job,
                   (long long)r->version);
      wy_h1_respond (d->request, 200, NULL, 0, "", 0);
      wy_job_call_free (d);
    }
  else if (++d->attempts < END_ATTEMPTS)
    {
      /* The row has changed, or the outcome of the write is unknown: read the
         row again.  */
      d->pending = true;
      uv_timer_start (&d->timer, on_end_retry, END_RETRY_MS, 0);
    }
  else
    wy_job_call_reject (d, 502, "unsettled", r->err);
}

static void
write_ended (struct call_state *d)
{
  int err;

  if (d->record->state == WY_JOB_ENDED)
    {
      wy_h1_respond (d->request, 200, NULL, 0, "", 0);
      wy_job_call_free (d);
      return;
    }
  d->record->state = WY_JOB_ENDED;
  d->pending = true;
  err = wy_job_record_write (d->jobs->env->rows, d->record, on_ended_written,
                             d);
  if (!err)
    return;
  d->pending = false;
  wy_job_call_reject (d, 503, WY_REASON_NOT_TEXT, err);
}

static void
dispatch (struct call_state *d)
{
  switch (d->call.kind)
    {
    case WY_JOB_CALL_RESULTS:
      wy_job_call_read_results (d);
      break;
    case WY_JOB_CALL_ITEM_BODY:
      read_body (d);
      break;
    case WY_JOB_CALL_DELETE:
      write_ended (d);
      break;
    case WY_JOB_CALL_NONE:
      wy_job_call_reject (d, 404, "no_call", 0);
      break;
    }
}

static void
on_record (void *ctx, const struct wy_rows_result *r)
{
  struct call_state *d = ctx;
  struct wy_job_record *rec = NULL;

  if (!wy_job_call_resume (d))
    return;
  if (!r->err && r->n)
    rec = wy_job_record_decode (&r->rows[0]);
  if (r->err)
    {
      wy_job_call_reject (d, 503, "store_unread", r->err);
      return;
    }
  if (!rec)
    {
      wy_job_call_reject (d, 404, "no_job", 0);
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
