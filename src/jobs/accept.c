/* Accepts a submitted job: stores its body, then its row, then confirms to the
   submitter.

   A submission may arrive several times and at several entries.  The row is
   written on the condition that it does not exist yet, so one entry creates it
   and the others return the same response.  A response that says "not
   accepted" is sent only while the row is certainly not written.  If the
   outcome of its write stays unknown, the submitter gets a status that leaves
   it open.  */
#include "jobs/state.h"

#include <stdio.h>
#include <string.h>

#include "base/id.h"
#include "base/text.h"
#include "gate/response.h"
#include "jobs/checkpoint.h"
#include "jobs/score.h"
#include "platform/job_wire.h"
#include "trace/json_log.h"

/* Reason for rejecting a job for which there is no memory.  */
#define REASON_MEMORY "memory"

enum
{
  /* Attempts to determine the outcome of a write that got no response, each
     with the time limit of a read; the submitter waits meanwhile.  */
  SETTLE_ATTEMPTS = 4,
  SETTLE_RETRY_MS = 300,
  PIECE_ATTEMPTS = 2,
  RETRY_AFTER_MS = 400,
  NAME_SIZE_BYTES = 320,
  STATUS_ACCEPTED = 202,
  STATUS_MALFORMED = 400
};

struct submission
{
  struct wy_jobs *jobs;
  struct wy_h1_request *request; /* NULL: the submitter has disconnected */
  struct wy_job_record *record;
  struct wy_job_spec *spec;
  struct sockaddr_in holder_address; /* if the holder is another entry */
  GString *body;
  uint32_t next_piece; /* of the body, to be stored */
  uint32_t attempts;
  bool may_be_written; /* the outcome of the row's write is unknown */
  struct wy_checkpoint *checkpoint; /* of earlier jobs; NULL: not read */
  bool reading_checkpoint;
  bool putting; /* the body is being stored */
  bool writing; /* the row is being written */
  bool ended;   /* the submitter has its response */
  int64_t started_ms;
  int64_t time_left_ms; /* of the submitter at the start; -1: not known */
  enum wy_return returned;
  uv_timer_t timer;
};

/* A submission that has just arrived.  */
struct arrival
{
  struct wy_h1_request *request;
  const char *key; /* of the job */
  size_t body_bytes;
  int64_t time_left_ms;
  enum wy_return returned; /* whether the submitter was rejected before */
};

static uint64_t
fingerprint_of (const char *key)
{
  return wy_fingerprint (key, NULL, 0);
}

/* When the submitter of the job KEY, which is rejected for REASON, should
   return.  */
static struct wy_retry_after_time
tell_return (struct wy_jobs *j, const char *key, const char *reason,
             int64_t time_left_ms)
{
  struct wy_rejection o
      = { .reason = reason,
          .ends = !strcmp (reason, REASON_MEMORY) ? WY_REJECTION_ENDS_BY_RATE
                                                  : WY_REJECTION_ENDS_BY_STORE,
          .default_ms = RETRY_AFTER_MS,
          .time_left_ms = time_left_ms,
          .fingerprint = fingerprint_of (key) };

  return wy_rejections_tell (j->env->rejections, &o);
}

static void
count_return (struct wy_jobs *j, enum wy_return returned, int status)
{
  wy_rejections_return_ended (j->env->rejections, NULL, returned,
                              status == STATUS_ACCEPTED ? "answered"
                              : status == 503           ? "refused"
                                                        : "failed");
}

static void
on_timer_closed (uv_handle_t *h)
{
  g_free (h->data);
}

/* Free A when no call refers to it any more.  */
static void
free_if_unused (struct submission *a)
{
  if (a->ended && !a->reading_checkpoint && !a->putting && !a->writing)
    uv_close ((uv_handle_t *)&a->timer, on_timer_closed);
}

/* Memory of the body and its decoded form, which the job counts itself once it
   runs.  */
static int64_t
submission_bytes (const struct submission *a)
{
  return (int64_t)a->body->len * 2;
}

static void
end (struct submission *a, int status, const char *reason)
{
  struct wy_h1_request *r = a->request;
  int64_t ms = wy_clock_mono_ms (a->jobs->env->clock) - a->started_ms;
  struct wy_retry_after_time t = { 0 };
  char fields[WY_REJECTION_FIELDS_SIZE_BYTES];

  /* Another entry may have accepted a later attempt of the same submission
     while this one waited for the store; "not accepted" would be wrong.  */
  if (status != STATUS_ACCEPTED && wy_jobs_find (a->jobs, a->record->id))
    {
      status = STATUS_ACCEPTED;
      reason = "kept_elsewhere";
    }

  count_return (a->jobs, a->returned, status);
  if (status == 503)
    t = tell_return (a->jobs, a->record->id, reason,
                     a->time_left_ms < 0 ? -1 : MAX (a->time_left_ms - ms, 0));
  wy_json_log ("job.submitted",
               "id=%s status=%d reason=%s items=%llu bytes=%zu ms=%lld %s",
               a->record->id, status, reason,
               (unsigned long long)a->record->total, a->body->len,
               (long long)ms,
               status == 503 ? wy_rejection_fields (&t, fields) : "");
  if (r)
    {
      wy_h1_on_hangup (r, NULL, NULL);
      if (status == STATUS_ACCEPTED)
        wy_h1_respond (r, status, NULL, 0, "", 0);
      else
        wy_respond_status (r, status, reason, t.ms);
    }
  a->jobs->submissions_bytes -= a->body->len;
  wy_memory_account_add (&a->jobs->env->memory, WY_MEMORY_JOBS,
                         -submission_bytes (a));
  g_ptr_array_remove_fast (a->jobs->submissions, a);
  wy_job_record_free (a->record);
  wy_job_spec_free (a->spec);
  g_string_free (a->body, TRUE);
  wy_checkpoint_free (a->checkpoint);
  uv_timer_stop (&a->timer);
  a->ended = true;
  free_if_unused (a);
}

/* End pending submissions for REASON: nothing of them runs, or the outcome is
   open.  */
void
wy_jobs_end_submissions (struct wy_jobs *j, const char *reason)
{
  for (guint i = j->submissions->len; i > 0; i--)
    {
      struct submission *a = g_ptr_array_index (j->submissions, i - 1);

      end (a, a->may_be_written || a->writing ? 502 : 503, reason);
    }
}

/* End pending submissions when the store is unreachable.  A submitter that
   gets a response retries here or at another entry until the store is back.
   One that gets none gives up after a few attempts of one or two seconds each
   and loses its training step.  */
void
wy_jobs_accept_tick (struct wy_jobs *j)
{
  if (j->submissions->len && wy_rows_is_unreachable (j->env->rows))
    wy_jobs_end_submissions (j, "store_away");
}

/* The checkpoints of earlier jobs have been read; they are of no use if the
   job is already running.  */
static void
on_checkpoint (void *ctx, struct wy_checkpoint *c)
{
  struct submission *a = ctx;

  a->reading_checkpoint = false;
  if (!a->ended)
    {
      a->checkpoint = c;
      return;
    }
  wy_checkpoint_free (c);
  free_if_unused (a);
}

static void
on_hangup (void *ctx)
{
  ((struct submission *)ctx)->request = NULL;
}

static void
on_accepted (struct submission *a, int64_t row_version)
{
  struct wy_jobs *j = a->jobs;

  a->record->row_version = row_version;
  (*j->env->count.jobs_accepted)++;
  if (a->spec)
    wy_staleness_job_accepted (j->staleness, a->spec->model,
                               a->spec->min_version);
  wy_jobs_update_record (j, wy_job_record_copy (a->record));
  if (strcmp (a->record->holder, j->env->holder) != 0)
    wy_jobs_hand_off (j, a->record, &a->holder_address, a->body->str,
                      a->body->len);
  else if (!g_hash_table_contains (j->active, a->record->id)
           && !g_hash_table_contains (j->starting, a->record->id))
    {
      struct wy_active_job *o = wy_jobs_activate (j, a->record, a->spec);

      a->spec = NULL;
      if (a->checkpoint)
        wy_json_log ("job.text_taken", "id=%s items=%u", a->record->id,
                     wy_checkpoint_apply (a->checkpoint, o));
      wy_active_job_start_items (o);
    }
  end (a, STATUS_ACCEPTED, "kept");
}

static void write_row (struct submission *a);

static void
on_settle_timer (uv_timer_t *t)
{
  write_row (t->data);
}

static void
on_row_written (void *ctx, const struct wy_rows_result *r)
{
  struct submission *a = ctx;
  struct wy_job_record *found = NULL;

  a->writing = false;
  if (a->ended)
    {
      free_if_unused (a);
      return;
    }
  if (!r->err)
    {
      on_accepted (a, r->version);
      return;
    }
  if (r->err == WY_ROWS_ECONFLICT)
    {
      if (r->n)
        found = wy_job_record_decode (&r->rows[0]);
      /* Our own write took effect although its response was lost.  */
      if (found && !strcmp (found->object, a->record->object)
          && !strcmp (found->holder, a->record->holder)
          && found->state == WY_JOB_OPEN)
        on_accepted (a, found->row_version);
      else
        end (a, STATUS_ACCEPTED, "kept_before");
      if (found)
        wy_job_record_free (found);
      return;
    }
  if (r->err != WY_ROWS_EREFUSED)
    a->may_be_written = true;
  if (++a->attempts < SETTLE_ATTEMPTS)
    uv_timer_start (&a->timer, on_settle_timer, SETTLE_RETRY_MS, 0);
  else
    end (a, a->may_be_written ? 502 : 503,
         a->may_be_written ? "unsettled" : "store_refused");
}

/* Write the row.  Sending the same write again also determines the outcome of
   an earlier one: the condition fails if that took effect.  */
static void
write_row (struct submission *a)
{
  int64_t store_ms = wy_rows_store_now_ms (a->jobs->env->rows);

  if (!a->may_be_written)
    a->record->accepted_ms = store_ms;
  a->writing = true;
  if (!wy_job_record_write (a->jobs->env->rows, a->record, on_row_written, a))
    return;
  a->writing = false;
  end (a, STATUS_MALFORMED, WY_REASON_NOT_TEXT);
}

static void put_next_piece (struct submission *a);

static void
on_piece (void *ctx, const struct wy_rows_result *r)
{
  struct submission *a = ctx;

  a->putting = false;
  if (a->ended)
    {
      free_if_unused (a);
      return;
    }
  if (r->err && r->err != WY_ROWS_ECONFLICT)
    {
      if (r->err != WY_ROWS_EFULL && ++a->attempts < PIECE_ATTEMPTS)
        put_next_piece (a);
      else
        end (a, 503, "store_refused");
      return;
    }
  a->attempts = 0;
  if (++a->next_piece < a->record->pieces)
    put_next_piece (a);
  else
    write_row (a);
}

static void
put_next_piece (struct submission *a)
{
  size_t at = (size_t)a->next_piece * a->jobs->piece_bytes;
  size_t n = MIN (a->body->len - at, a->jobs->piece_bytes);
  char name[NAME_SIZE_BYTES];

  snprintf (name, sizeof name, "%s.%u", a->record->object, a->next_piece);
  a->putting = true;
  wy_rows_put_object (a->jobs->env->rows, name, a->body->str + at, n, on_piece,
                      a);
}

static struct wy_job_record *
new_record (struct wy_jobs *j, const struct wy_request_info *info,
            const char *key, const char *organisation, const char *path,
            uint64_t total, size_t body_bytes)
{
  struct wy_job_record *r = g_new0 (struct wy_job_record, 1);
  char unique[WY_ID_SIZE_BYTES];

  /* Another entry may accept the same submission at the same time.  */
  wy_id_new (j->env->clock, unique);
  r->id = g_strdup (key);
  r->organisation = g_strdup (organisation);
  r->holder = g_strdup (j->env->holder);
  r->state = WY_JOB_OPEN;
  r->host = g_strdup (info->host);
  r->path = g_strdup (path);
  r->object = g_strdup_printf ("job-%s-%s", info->id, unique);
  r->pieces = (uint32_t)((body_bytes + j->piece_bytes - 1) / j->piece_bytes);
  r->total = total;
  return r;
}

/* Run the jobs of one model on one entry, which still has connections to the
   model's replicas open from the previous job.  */
static void
choose_holder (struct submission *a)
{
  const char *holder;

  if (!*a->spec->model
      || !wy_members_choose_holder (a->jobs->members, a->spec->model, &holder,
                                    &a->holder_address))
    return;
  g_free (a->record->holder);
  a->record->holder = g_strdup (holder);
}

/* Return whether every scorer named in SPEC has a route.  */
static bool
has_scorer_routes (const struct wy_jobs *j, const struct wy_job_spec *spec)
{
  for (guint k = 0; k < spec->items->len; k++)
    {
      const struct wy_item_spec *i = g_ptr_array_index (spec->items, k);

      if (i->scorer && !wy_scorer_route (j->env->routing, i->scorer))
        return false;
    }
  return true;
}

static void
reject_job (struct wy_jobs *j, const struct arrival *v, int status,
            const char *why)
{
  struct wy_retry_after_time t = { 0 };
  char fields[WY_REJECTION_FIELDS_SIZE_BYTES];

  count_return (j, v->returned, status);
  if (status == 503)
    t = tell_return (j, v->key, why, v->time_left_ms);
  wy_json_log ("job.submitted", "id=%s status=%d reason=%s bytes=%zu %s",
               v->key, status, why, v->body_bytes,
               status == 503 ? wy_rejection_fields (&t, fields) : "");
  wy_respond_status (v->request, status, why, t.ms);
}

/* Return whether the row of a job KEY can name what its submission R,
   described by INFO, was sent to.  */
static bool
is_storable (const struct wy_h1_request *r, const struct wy_request_info *info,
             const char *key)
{
  const char *path = wy_h1_target (r);

  return wy_text_is_valid (key, strlen (key))
         && wy_text_is_valid (path, strlen (path))
         && (!info->host
             || wy_text_is_valid (info->host, strlen (info->host)));
}

static bool
is_job_name (const char *id)
{
  return id && *id && strlen (id) < WY_JOB_NAME_SIZE_BYTES
         && !strchr (id, '/');
}

/* Accept the job that R submits for ORGANISATION.  CONFIG_IS_FRESH is false if
   the configuration here may be outdated: a route that is unknown here may
   then be known to another entry, and the rejection asks the submitter to
   retry.  */
void
wy_jobs_accept (struct wy_jobs *j, struct wy_h1_request *r,
                const char *organisation, bool config_is_fresh)
{
  char key[WY_JOB_KEY_SIZE_BYTES];
  struct wy_request_info info;
  struct wy_job_spec *spec;
  struct submission *a;
  struct arrival v;
  const char *why;
  const char *body;
  size_t n;

  wy_request_parse_head (wy_h1_head (r), &info);
  body = wy_h1_body (r, &n);
  if (!is_job_name (info.id))
    {
      wy_respond_status (r, 400, "no_id", 0);
      return;
    }
  wy_job_key (organisation, info.id, key, sizeof key);
  v = (struct arrival){ .request = r,
                        .key = key,
                        .body_bytes = n,
                        .time_left_ms = info.time_left_ms };
  if (wy_rejections_expects_any (j->env->rejections, NULL))
    v.returned = wy_rejections_returned (j->env->rejections, NULL,
                                         fingerprint_of (key));
  if (!is_storable (r, &info, key))
    {
      reject_job (j, &v, STATUS_MALFORMED, WY_REASON_NOT_TEXT);
      return;
    }
  if (wy_jobs_find (j, key))
    {
      wy_json_log ("job.submitted", "id=%s status=202 reason=known", key);
      count_return (j, v.returned, STATUS_ACCEPTED);
      wy_h1_respond (r, STATUS_ACCEPTED, NULL, 0, "", 0);
      return;
    }
  if (wy_memory_account_rejects (&j->env->memory, true)
      || !wy_jobs_has_memory_for (j, n))
    {
      reject_job (j, &v, 503, REASON_MEMORY);
      return;
    }
  spec = wy_job_decode (body, n, &why);
  if (!spec)
    {
      reject_job (j, &v, 400, why);
      return;
    }
  if (!has_scorer_routes (j, spec))
    {
      reject_job (j, &v, config_is_fresh ? 400 : 503, "no_scorer_route");
      wy_job_spec_free (spec);
      return;
    }
  if (wy_rows_is_unreachable (j->env->rows))
    {
      reject_job (j, &v, 503, "store_away");
      wy_job_spec_free (spec);
      return;
    }
  a = g_new0 (struct submission, 1);
  a->jobs = j;
  g_ptr_array_add (j->submissions, a);
  a->request = r;
  a->spec = spec;
  a->body = g_string_new_len (body, (gssize)n);
  a->record = new_record (j, &info, key, organisation, wy_h1_target (r),
                          spec->items->len, n);
  choose_holder (a);
  a->started_ms = wy_clock_mono_ms (j->env->clock);
  a->time_left_ms = info.time_left_ms;
  a->returned = v.returned;
  j->submissions_bytes += n;
  wy_memory_account_add (&j->env->memory, WY_MEMORY_JOBS,
                         submission_bytes (a));
  uv_timer_init (j->env->loop, &a->timer);
  a->timer.data = a;
  wy_h1_on_hangup (r, on_hangup, a);
  if (*spec->model && !strcmp (a->record->holder, j->env->holder))
    {
      a->reading_checkpoint = true;
      wy_checkpoint_read (j->env, spec->model, on_checkpoint, a);
    }
  put_next_piece (a);
}
