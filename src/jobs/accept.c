/* Accepts a submitted job: its body goes to the store, then its row, then the
   submitter hears that it is kept.

   A submission may come several times, at several entries; the row is written
   on the condition that there is none, so one of them wins and the others
   answer the same.  An answer that says "not accepted" is only given while
   the row has not been asked for: after that, and until a read has settled
   it, the submitter gets a status that promises nothing.  */
#include "jobs/state.h"

#include <stdio.h>
#include <string.h>

#include "base/id.h"
#include "gate/response.h"
#include "jobs/checkpoint.h"
#include "jobs/score.h"
#include "platform/job_wire.h"
#include "trace/json_log.h"

enum
{
  /* Tries to settle a write without an answer, each with the time limit of a
     read; the submitter waits meanwhile.  */
  SETTLE_TRIES = 4,
  SETTLE_PAUSE_MS = 300,
  PIECE_TRIES = 2,
  RETRY_AFTER_MS = 400,
  NAME_SIZE_BYTES = 320,
  STATUS_ACCEPTED = 202
};

struct accept
{
  struct wy_jobs *jobs;
  struct wy_h1_request *request; /* NULL: the submitter has hung up */
  struct wy_job_record *record;
  struct wy_job_spec *spec;
  struct sockaddr_in holder_address; /* where it is not this entry */
  GString *body;
  uint32_t next; /* piece */
  uint32_t tries;
  bool asked;             /* the row may have been written */
  struct wy_carry *carry; /* text of its items; NULL: not read yet */
  bool reading_carry;
  bool putting; /* its body */
  bool writing; /* its row */
  bool ended;   /* its submitter has its answer */
  int64_t started_ms;
  uv_timer_t timer;
};

static void
on_timer_closed (uv_handle_t *h)
{
  g_free (h->data);
}

/* Free A when nothing points to it any more.  */
static void
release (struct accept *a)
{
  if (a->ended && !a->reading_carry && !a->putting && !a->writing)
    uv_close ((uv_handle_t *)&a->timer, on_timer_closed);
}

static void
end (struct accept *a, int status, const char *reason)
{
  struct wy_h1_request *r = a->request;

  /* Another entry may have accepted a later attempt of the same submission
     while this one waited for the store; "does not run" would be false.  */
  if (status != STATUS_ACCEPTED && wy_jobs_find (a->jobs, a->record->id))
    {
      status = STATUS_ACCEPTED;
      reason = "kept_elsewhere";
    }

  wy_json_log (
      "job.submitted",
      "id=%s status=%d reason=%s items=%llu bytes=%zu ms=%lld", a->record->id,
      status, reason, (unsigned long long)a->record->total, a->body->len,
      (long long)(wy_clock_mono_ms (a->jobs->env->clock) - a->started_ms));
  if (r)
    {
      wy_h1_on_hangup (r, NULL, NULL);
      if (status == STATUS_ACCEPTED)
        wy_h1_respond (r, status, NULL, 0, "", 0);
      else
        wy_respond_status (r, status, reason,
                           status == 503 ? RETRY_AFTER_MS : 0);
    }
  a->jobs->accepting_bytes -= a->body->len;
  g_ptr_array_remove_fast (a->jobs->accepting, a);
  wy_job_record_free (a->record);
  wy_job_spec_free (a->spec);
  g_string_free (a->body, TRUE);
  wy_carry_free (a->carry);
  uv_timer_stop (&a->timer);
  a->ended = true;
  release (a);
}

/* End the submissions that wait for a store that is away.  A submitter that
   hears so comes again, here or elsewhere, and is there when the store is
   back; one that hears nothing gives up after a few attempts of a second or
   two, and with them its step.  */
void
wy_jobs_accept_tick (struct wy_jobs *j)
{
  if (j->accepting->len == 0 || !wy_rows_is_unreachable (j->env->rows))
    return;
  for (guint i = j->accepting->len; i > 0; i--)
    {
      struct accept *a = g_ptr_array_index (j->accepting, i - 1);

      end (a, a->asked || a->writing ? 502 : 503, "store_away");
    }
}

/* The text kept of earlier jobs is known; too late when the job runs.  */
static void
on_carry (void *ctx, struct wy_carry *c)
{
  struct accept *a = ctx;

  a->reading_carry = false;
  if (!a->ended)
    {
      a->carry = c;
      return;
    }
  wy_carry_free (c);
  release (a);
}

static void
on_hangup (void *ctx)
{
  ((struct accept *)ctx)->request = NULL;
}

static void
accepted_here (struct accept *a, int64_t row_version)
{
  struct wy_jobs *j = a->jobs;

  a->record->row_version = row_version;
  (*j->env->count.jobs_accepted)++;
  if (a->spec)
    wy_staleness_job_accepted (j->lags, a->spec->model, a->spec->min_version);
  wy_jobs_learn (j, wy_job_record_copy (a->record));
  if (strcmp (a->record->holder, j->env->holder) != 0)
    wy_jobs_hand_on (j, a->record, &a->holder_address, a->body->str,
                     a->body->len);
  else if (!g_hash_table_contains (j->owned, a->record->id)
           && !g_hash_table_contains (j->taking, a->record->id))
    {
      struct wy_owned *o = wy_jobs_own (j, a->record, a->spec);

      a->spec = NULL;
      if (a->carry)
        wy_json_log ("job.text_taken", "id=%s items=%u", a->record->id,
                     wy_carry_apply (a->carry, o));
      wy_owned_pump (o);
    }
  end (a, STATUS_ACCEPTED, "kept");
}

static void write_row (struct accept *a);

static void
on_settle_timer (uv_timer_t *t)
{
  write_row (t->data);
}

static void
on_row_written (void *ctx, const struct wy_rows_result *r)
{
  struct accept *a = ctx;
  struct wy_job_record *found = NULL;

  a->writing = false;
  if (a->ended)
    {
      release (a);
      return;
    }
  if (!r->err)
    {
      accepted_here (a, r->version);
      return;
    }
  if (r->err == WY_ROWS_ECONFLICT)
    {
      if (r->n)
        found = wy_job_record_decode (&r->rows[0]);
      /* Our own write, performed although its answer was lost.  */
      if (found && !strcmp (found->object, a->record->object)
          && !strcmp (found->holder, a->record->holder)
          && found->state == WY_JOB_OPEN)
        accepted_here (a, found->row_version);
      else
        end (a, STATUS_ACCEPTED, "kept_before");
      if (found)
        wy_job_record_free (found);
      return;
    }
  if (r->err != WY_ROWS_EREFUSED)
    a->asked = true;
  if (++a->tries < SETTLE_TRIES)
    uv_timer_start (&a->timer, on_settle_timer, SETTLE_PAUSE_MS, 0);
  else
    end (a, a->asked ? 502 : 503, a->asked ? "unsettled" : "store_refused");
}

/* The same write serves to settle an earlier one: its condition shows whether
   that was performed.  */
static void
write_row (struct accept *a)
{
  int64_t store_ms = wy_rows_store_now_ms (a->jobs->env->rows);

  if (!a->asked)
    a->record->accepted_ms = store_ms;
  a->writing = true;
  wy_job_record_write (a->jobs->env->rows, a->record, on_row_written, a);
}

static void put_next (struct accept *a);

static void
on_piece (void *ctx, const struct wy_rows_result *r)
{
  struct accept *a = ctx;

  a->putting = false;
  if (a->ended)
    {
      release (a);
      return;
    }
  if (r->err && r->err != WY_ROWS_ECONFLICT)
    {
      if (r->err != WY_ROWS_EFULL && ++a->tries < PIECE_TRIES)
        put_next (a);
      else
        end (a, 503, "store_refused");
      return;
    }
  a->tries = 0;
  if (++a->next < a->record->pieces)
    put_next (a);
  else
    write_row (a);
}

static void
put_next (struct accept *a)
{
  size_t at = (size_t)a->next * a->jobs->piece_bytes;
  size_t n = MIN (a->body->len - at, a->jobs->piece_bytes);
  char name[NAME_SIZE_BYTES];

  snprintf (name, sizeof name, "%s.%u", a->record->object, a->next);
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

/* Jobs of one model run on one entry, whose connections to the replicas are
   open from the job before.  */
static void
choose_holder (struct accept *a)
{
  const char *holder;

  if (!*a->spec->model
      || !wy_members_choose_holder (a->jobs->members, a->spec->model, &holder,
                                    &a->holder_address))
    return;
  g_free (a->record->holder);
  a->record->holder = g_strdup (holder);
}

/* Whether each item of SPEC that is to be scored can be.  */
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
refuse_job (struct wy_h1_request *r, const char *id, int status,
            const char *why, size_t body_bytes)
{
  wy_json_log ("job.submitted", "id=%s status=%d reason=%s bytes=%zu", id,
               status, why, body_bytes);
  wy_respond_status (r, status, why, status == 503 ? RETRY_AFTER_MS : 0);
}

static bool
is_job_name (const char *id)
{
  return id && *id && strlen (id) < WY_JOB_NAME_SIZE_BYTES
         && !strchr (id, '/');
}

/* Take in the job that R submits for ORGANISATION.  Without CONFIG_IS_FRESH a
   route that is not known here may be known elsewhere.  */
void
wy_jobs_accept (struct wy_jobs *j, struct wy_h1_request *r,
                const char *organisation, bool config_is_fresh)
{
  char key[WY_JOB_KEY_SIZE_BYTES];
  struct wy_request_info info;
  struct wy_job_spec *spec;
  struct accept *a;
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
  if (wy_jobs_find (j, key))
    {
      wy_json_log ("job.submitted", "id=%s status=202 reason=known", key);
      wy_h1_respond (r, STATUS_ACCEPTED, NULL, 0, "", 0);
      return;
    }
  if (!wy_jobs_have_room (j, n))
    {
      refuse_job (r, key, 503, "memory", n);
      return;
    }
  spec = wy_job_decode (body, n, &why);
  if (!spec)
    {
      refuse_job (r, key, 400, why, n);
      return;
    }
  if (!has_scorer_routes (j, spec))
    {
      refuse_job (r, key, config_is_fresh ? 400 : 503, "no_scorer_route", n);
      wy_job_spec_free (spec);
      return;
    }
  if (wy_rows_is_unreachable (j->env->rows))
    {
      refuse_job (r, key, 503, "store_away", n);
      wy_job_spec_free (spec);
      return;
    }
  a = g_new0 (struct accept, 1);
  a->jobs = j;
  g_ptr_array_add (j->accepting, a);
  a->request = r;
  a->spec = spec;
  a->body = g_string_new_len (body, (gssize)n);
  a->record = new_record (j, &info, key, organisation, wy_h1_target (r),
                          spec->items->len, n);
  choose_holder (a);
  a->started_ms = wy_clock_mono_ms (j->env->clock);
  j->accepting_bytes += n;
  uv_timer_init (j->env->loop, &a->timer);
  a->timer.data = a;
  wy_h1_on_hangup (r, on_hangup, a);
  if (*spec->model && !strcmp (a->record->holder, j->env->holder))
    {
      a->reading_carry = true;
      wy_carry_read (j->env, spec->model, on_carry, a);
    }
  put_next (a);
}
