/* Hands a job that has just been accepted off to the entry that is to run it.

   The row in the store already names that entry; the handoff only saves it the
   time to notice the row and fetch the body.  If it doesn't respond, the job
   is taken over here, as from a failed entry.  */
#include "jobs/state.h"

#include <stdio.h>
#include <string.h>

#include "gate/response.h"
#include "jobs/checkpoint.h"
#include "platform/job_wire.h"
#include "trace/json_log.h"

#define HANDOFF_TARGET "/jobs/run"

enum
{
  /* A peer responds within some ms; the training step waits meanwhile.  */
  TIMEOUT_MS = 400,
  STATUS_ACCEPTED = 204,
  RESPONSE_LIMIT_BYTES = 65536
};

struct handoff
{
  struct wy_jobs *jobs;
  struct wy_job_record *record;
  struct wy_h1_call *call;
  int status;
  uv_timer_t timer;
};

static void
on_timer_closed (uv_handle_t *h)
{
  g_free (h->data);
}

static void
end (struct handoff *h, const char *outcome)
{
  bool accepted = h->status == STATUS_ACCEPTED;
  const struct wy_job_record *known = wy_jobs_find (h->jobs, h->record->id);

  wy_json_log ("job.handed_on", "id=%s to=%s outcome=%s status=%d",
               h->record->id, h->record->holder, outcome, h->status);
  if (!accepted && known && known->state == WY_JOB_OPEN
      && known->row_version == h->record->row_version)
    wy_jobs_take_over (h->jobs, known);
  wy_job_record_free (h->record);
  uv_close ((uv_handle_t *)&h->timer, on_timer_closed);
}

static void
on_head (void *ctx, const struct wy_h1_response *a)
{
  ((struct handoff *)ctx)->status = a->status;
}

static void
on_end (void *ctx, int err)
{
  struct handoff *h = ctx;

  /* The status of a malformed response promises nothing.  */
  if (err == WY_H1_EMALFORMED)
    h->status = 0;
  end (h, err ? "no_answer" : "answered");
}

static void
on_timeout (uv_timer_t *t)
{
  struct handoff *h = t->data;

  wy_h1_call_cancel (h->call);
  h->status = 0;
  end (h, "timeout");
}

/* Send the job of R with its BODY of N bytes to the entry at ADDRESS, which R
   names as the holder.  */
void
wy_jobs_hand_off (struct wy_jobs *j, const struct wy_job_record *r,
                  const struct sockaddr_in *address, const char *body,
                  size_t n)
{
  struct handoff *h;
  char *record = NULL;
  char version[32];
  struct wy_h1_header fields[] = { { "Host", "entry" },
                                   { "Job", r->id },
                                   { "Job-Row-Version", version },
                                   { "Job-Record", NULL } };
  struct wy_h1_call_options o = { .address = *address,
                                  .method = "POST",
                                  .target = HANDOFF_TARGET,
                                  .fields = fields,
                                  .n_fields = G_N_ELEMENTS (fields),
                                  .body = body,
                                  .body_size_bytes = n,
                                  .response_limit_bytes = RESPONSE_LIMIT_BYTES,
                                  .on_head = on_head,
                                  .on_end = on_end };
  int err = wy_job_record_encode (r, &record);

  if (err)
    {
      wy_json_log ("job.handed_on", "id=%s to=%s outcome=not_text status=0",
                   r->id, r->holder);
      wy_jobs_take_over (j, r);
      return;
    }
  fields[G_N_ELEMENTS (fields) - 1].value = record;
  h = g_new0 (struct handoff, 1);
  o.ctx = h;
  snprintf (version, sizeof version, "%lld", (long long)r->row_version);
  h->jobs = j;
  h->record = wy_job_record_copy (r);
  uv_timer_init (j->env->loop, &h->timer);
  h->timer.data = h;
  uv_timer_start (&h->timer, on_timeout, TIMEOUT_MS, 0);
  h->call = wy_h1_call_start (j->env->http, &o);
  g_free (record);
}

struct handoff_start
{
  struct wy_jobs *jobs;
  struct wy_job_record *record;
  struct wy_job_spec *spec;
};

static void
on_checkpoint (void *ctx, struct wy_checkpoint *c)
{
  struct handoff_start *s = ctx;
  struct wy_jobs *j = s->jobs;
  const struct wy_job_record *known = wy_jobs_find (j, s->record->id);

  g_hash_table_remove (j->starting, s->record->id);
  if (known && known->row_version == s->record->row_version
      && !g_hash_table_contains (j->active, s->record->id))
    {
      struct wy_active_job *o = wy_jobs_activate (j, s->record, s->spec);

      s->spec = NULL;
      wy_json_log ("job.running", "id=%s items=%u text_taken=%u",
                   s->record->id, o->n_items, wy_checkpoint_apply (c, o));
      wy_active_job_start_items (o);
    }
  wy_job_spec_free (s->spec);
  wy_job_record_free (s->record);
  wy_checkpoint_free (c);
  g_free (s);
}

static void
start_job (struct wy_jobs *j, struct wy_job_record *r,
           struct wy_job_spec *spec)
{
  struct handoff_start *s = g_new0 (struct handoff_start, 1);

  s->jobs = j;
  s->record = r;
  s->spec = spec;
  wy_jobs_update_record (j, wy_job_record_copy (r));
  g_hash_table_add (j->starting, g_strdup (r->id));
  wy_checkpoint_read (j->env, spec->model, on_checkpoint, s);
}

static struct wy_job_record *
read_record (struct wy_h1_request *r)
{
  const struct wy_h1_head *head = wy_h1_head (r);
  const char *id = wy_h1_head_get (head, "Job");
  const char *version = wy_h1_head_get (head, "Job-Row-Version");
  const char *record = wy_h1_head_get (head, "Job-Record");
  struct wy_row row = { .table = WY_JOBS_TABLE, .key = WY_JOB_ROW_KEY };

  if (!id || !version || !record)
    return NULL;
  row.partition = id;
  row.value = record;
  row.size_bytes = strlen (record);
  row.version = g_ascii_strtoll (version, NULL, 10);
  return wy_job_record_decode (&row);
}

/* Accept a job that another entry hands off.  Return false if R is no handoff
   request.  */
bool
wy_jobs_accept_handoff (struct wy_jobs *j, struct wy_h1_request *r)
{
  struct wy_job_record *record;
  struct wy_job_spec *spec = NULL;
  const char *why;
  const char *body;
  size_t n;

  if (strcmp (wy_h1_target (r), HANDOFF_TARGET) != 0)
    return false;
  record = read_record (r);
  body = wy_h1_body (r, &n);
  if (record && !strcmp (record->holder, j->env->holder) && !j->env->stopping
      && wy_jobs_has_memory_for (j, n))
    spec = wy_job_decode (body, n, &why);
  if (!spec)
    {
      wy_job_record_free (record);
      wy_respond_status (r, 409, "not_holder", 0);
      return true;
    }
  wy_h1_respond (r, STATUS_ACCEPTED, NULL, 0, "", 0);
  if (g_hash_table_contains (j->active, record->id)
      || g_hash_table_contains (j->starting, record->id))
    {
      wy_job_spec_free (spec);
      wy_job_record_free (record);
    }
  else
    start_job (j, record, spec);
  return true;
}
