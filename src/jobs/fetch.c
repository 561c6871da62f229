/* Fetches the submitted body of a job from the store.  */
#include "jobs/state.h"

#include <stdio.h>
#include <string.h>

#include "platform/job_wire.h"

enum
{
  NAME_SIZE_BYTES = 320
};

struct fetch
{
  struct wy_jobs *jobs;
  struct wy_job_record *record;
  uint32_t next_piece;
  GString *body;
  void (*on_done) (void *ctx, int err, struct wy_job_spec *spec);
  void *ctx;
};

static void
end_fetch (struct fetch *l, int err, struct wy_job_spec *spec)
{
  void (*on_done) (void *, int, struct wy_job_spec *) = l->on_done;
  void *ctx = l->ctx;

  wy_job_record_free (l->record);
  g_string_free (l->body, TRUE);
  g_free (l);
  on_done (ctx, err, spec);
}

static void fetch_next (struct fetch *l);

static void
on_piece (void *ctx, const struct wy_rows_result *r)
{
  struct fetch *l = ctx;
  const char *why;
  struct wy_job_spec *spec;

  if (r->err)
    {
      end_fetch (l, r->err, NULL);
      return;
    }
  g_string_append_len (l->body, r->object, (gssize)r->object_size_bytes);
  if (++l->next_piece < l->record->pieces)
    {
      fetch_next (l);
      return;
    }
  spec = wy_job_decode (l->body->str, l->body->len, &why);
  end_fetch (l, spec ? 0 : WY_ROWS_EMALFORMED, spec);
}

static void
fetch_next (struct fetch *l)
{
  char name[NAME_SIZE_BYTES];

  snprintf (name, sizeof name, "%s.%u", l->record->object, l->next_piece);
  wy_rows_get_object (l->jobs->env->rows, name, on_piece, l);
}

/* Fetch the job of the record R.  ON_DONE gets an enum wy_rows_error, or 0 and
   the job, which it owns.  */
void
wy_job_fetch (struct wy_jobs *j, const struct wy_job_record *r,
              void (*on_done) (void *ctx, int err, struct wy_job_spec *spec),
              void *ctx)
{
  struct fetch *l = g_new0 (struct fetch, 1);

  l->jobs = j;
  l->record = wy_job_record_copy (r);
  l->body = g_string_new (NULL);
  l->on_done = on_done;
  l->ctx = ctx;
  fetch_next (l);
}
