/* The row of a job in the store.  */
#include "jobs/record.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "base/text.h"
#include "platform/request_wire.h"

static const char *const state_names[] = { "open", "ended", "done" };

/* Return the name of STATE in rows and logs.  */
const char *
wy_job_state_name (enum wy_job_state state)
{
  return state_names[state];
}

/* Write to OUT the key in the store of the job that callers of ORGANISATION
   know as NAME, which contains no slash.  The organisation is part of the key,
   so two organisations may use the same name without reaching each other's
   job.  */
void
wy_job_key (const char *organisation, const char *name, char *out, size_t size)
{
  char *digest = NULL;

  /* The name of a partition of the store has a limited length.  */
  if (strlen (organisation) + 1 + WY_JOB_NAME_SIZE_BYTES > size)
    {
      digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, organisation,
                                              -1);
      organisation = digest;
    }
  g_snprintf (out, size, "%s%s%s", organisation, *organisation ? "/" : "",
              name);
  g_free (digest);
}

/* Return the organisation that R runs for, or NULL.  */
const char *
wy_job_organisation (const struct wy_job_record *r)
{
  return r->organisation && *r->organisation ? r->organisation : NULL;
}

/* Return a copy of R.  */
struct wy_job_record *
wy_job_record_copy (const struct wy_job_record *r)
{
  struct wy_job_record *c = g_memdup2 (r, sizeof *r);

  c->id = g_strdup (r->id);
  c->organisation = g_strdup (r->organisation);
  c->holder = g_strdup (r->holder);
  c->host = g_strdup (r->host);
  c->path = g_strdup (r->path);
  c->object = g_strdup (r->object);
  return c;
}

/* Free R, which may be NULL.  */
void
wy_job_record_free (struct wy_job_record *r)
{
  if (!r)
    return;
  g_free (r->id);
  g_free (r->organisation);
  g_free (r->holder);
  g_free (r->host);
  g_free (r->path);
  g_free (r->object);
  g_free (r);
}

/* Write R as JSON for the store to OUT; the caller frees it.  Return 0, or
   WY_JOB_ENOTEXT if R has bytes that the store can't keep; OUT is then
   unchanged.  */
int
wy_job_record_encode (const struct wy_job_record *r, char **out)
{
  json_t *doc = json_pack (
      "{s:s, s:s, s:s, s:s, s:s, s:s, s:I, s:I, s:I}", "holder", r->holder,
      "organisation", r->organisation ? r->organisation : "", "state",
      state_names[r->state], "host", r->host, "path", r->path, "object",
      r->object, "pieces", (json_int_t)r->pieces, "total",
      (json_int_t)r->total, "accepted_ms", (json_int_t)r->accepted_ms);
  char *text = doc ? json_dumps (doc, JSON_COMPACT) : NULL;

  json_decref (doc);
  if (!text)
    return WY_JOB_ENOTEXT;
  *out = g_strdup (text);
  free (text);
  return 0;
}

static char *
text_of (json_t *doc, const char *key)
{
  const char *v = json_string_value (json_object_get (doc, key));

  return g_strdup (v ? v : "");
}

/* Parse the record of a job from its row; NULL if it is malformed.  */
struct wy_job_record *
wy_job_record_decode (const struct wy_row *row)
{
  json_t *doc = json_loadb (row->value, row->size_bytes, 0, NULL);
  const char *state = json_string_value (json_object_get (doc, "state"));
  struct wy_job_record *r = NULL;

  if (state)
    {
      r = g_new0 (struct wy_job_record, 1);
      r->id = g_strdup (row->partition);
      r->holder = text_of (doc, "holder");
      r->organisation = text_of (doc, "organisation");
      for (int i = 0; i < (int)G_N_ELEMENTS (state_names); i++)
        if (!strcmp (state, state_names[i]))
          r->state = (enum wy_job_state)i;
      r->host = text_of (doc, "host");
      r->path = text_of (doc, "path");
      r->object = text_of (doc, "object");
      r->pieces
          = (uint32_t)json_integer_value (json_object_get (doc, "pieces"));
      r->total = (uint64_t)json_integer_value (json_object_get (doc, "total"));
      r->accepted_ms
          = json_integer_value (json_object_get (doc, "accepted_ms"));
      r->row_version = row->version;
    }
  json_decref (doc);
  return r;
}

/* Write R on the condition that its row still has the version in R (0: no
   row).  Return 0, or WY_JOB_ENOTEXT if R can't be written; CB is then not
   called.  */
int
wy_job_record_write (struct wy_rows *rows, const struct wy_job_record *r,
                     wy_rows_cb *cb, void *ctx)
{
  char *value = NULL;
  struct wy_row_ref condition = { .table = WY_JOBS_TABLE,
                                  .key = WY_JOB_ROW_KEY,
                                  .version = r->row_version };
  struct wy_row_write w = { .table = WY_JOBS_TABLE, .key = WY_JOB_ROW_KEY };
  struct wy_rows_tx tx = { .partition = r->id,
                           .conditions = &condition,
                           .n_conditions = 1,
                           .writes = &w,
                           .n_writes = 1 };
  int err = wy_text_is_valid (r->id, strlen (r->id))
                ? wy_job_record_encode (r, &value)
                : WY_JOB_ENOTEXT;

  if (err)
    return err;
  w.value = value;
  w.size_bytes = strlen (value);
  wy_rows_tx (rows, &tx, cb, ctx);
  g_free (value);
  return 0;
}
