/* The row of one step in the table, and the keys of a yard's rows.

   Each change of a step is one conditional write of its row.  If two processes
   change it at the same time, the write of one fails.  */
#include "yard/step_row.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "decide/steps.h"
#include "yard/yard.h"

static const char *const state_names[]
    = { "submitted", "fixed", "handed", "acknowledged" };

static int
parse_state (const char *name, enum wy_step_state *out)
{
  for (size_t i = 0; name && i < G_N_ELEMENTS (state_names); i++)
    if (!strcmp (name, state_names[i]))
      {
        *out = (enum wy_step_state)i;
        return 0;
      }
  return WY_YARD_EINVALID;
}

static char *
text_of (const json_t *x, const char *key)
{
  return g_strdup (json_string_value (json_object_get (x, key)));
}

static int64_t
number_of (const json_t *x, const char *key)
{
  return json_integer_value (json_object_get (x, key));
}

/* Parse ROW, whose key ends in the number of the step, into OUT, to be freed
   by wy_step_row_clear.  Returns 0 or WY_YARD_EINVALID.  */
int
wy_step_row_parse (struct wy_step_row *out, const struct wy_store_row *row)
{
  const json_t *x = row->value;
  const char *slash = strrchr (row->key, '/');
  const json_t *samples = json_object_get (x, "samples");

  memset (out, 0, sizeof *out);
  if (!slash
      || parse_state (json_string_value (json_object_get (x, "state")),
                      &out->state))
    return WY_YARD_EINVALID;
  out->step = strtoll (slash + 1, NULL, 10);
  out->rev = row->rev;
  out->groups = text_of (x, "groups");
  out->digest = text_of (x, "digest");
  out->n_samples = (uint32_t)number_of (x, "n_samples");
  out->bound = (uint32_t)number_of (x, "bound");
  out->worth_milli = (uint32_t)number_of (x, "worth_milli");
  out->attempt = (uint32_t)number_of (x, "attempt");
  out->batch = text_of (x, "batch");
  out->samples = samples ? json_deep_copy (samples) : json_array ();
  out->oldest = number_of (x, "oldest");
  out->current = number_of (x, "current");
  out->fencing_token = number_of (x, "fence");
  return 0;
}

/* Free the members of R and set it to zero.  */
void
wy_step_row_clear (struct wy_step_row *r)
{
  g_free (r->groups);
  g_free (r->digest);
  g_free (r->batch);
  json_decref (r->samples);
  memset (r, 0, sizeof *r);
}

/* The JSON value of R, to be written by operation OP.  */
json_t *
wy_step_row_json (const struct wy_step_row *r, const char *op)
{
  json_t *x = json_pack (
      "{s:s, s:s, s:s, s:s, s:I, s:I, s:I, s:I}", "state",
      state_names[r->state], "op", op, "groups", r->groups, "digest",
      r->digest, "n_samples", (json_int_t)r->n_samples, "bound",
      (json_int_t)r->bound, "worth_milli", (json_int_t)r->worth_milli,
      "attempt", (json_int_t)r->attempt);

  if (r->state == WY_STEP_SUBMITTED)
    return x;
  json_object_set_new (x, "batch", json_string (r->batch));
  json_object_set (x, "samples", r->samples);
  json_object_set_new (x, "oldest", json_integer (r->oldest));
  json_object_set_new (x, "current", json_integer (r->current));
  json_object_set_new (x, "fence", json_integer (r->fencing_token));
  return x;
}

/* Whether the batch of R is stale for a trainer at version CURRENT.  */
bool
wy_step_row_stale (const struct wy_step_row *r, int64_t current)
{
  return !wy_sample_eligible ((uint64_t)r->oldest, (uint64_t)current,
                              r->bound);
}

/* The key of the row of STEP.  */
char *
wy_key_step (const char *yard, const char *trainer, int64_t step)
{
  return g_strdup_printf ("yard/%s/trainer/%s/step/%" PRId64, yard, trainer,
                          step);
}

/* The key prefix of the rows of all steps of TRAINER.  */
char *
wy_key_steps (const char *yard, const char *trainer)
{
  return g_strdup_printf ("yard/%s/trainer/%s/step/", yard, trainer);
}

/* The key of the floor, the row with the highest step whose row has been
   deleted.  */
char *
wy_key_floor (const char *yard, const char *trainer)
{
  return g_strdup_printf ("yard/%s/trainer/%s/floor", yard, trainer);
}

/* The key of the row with the newest published version.  */
char *
wy_key_current (const char *yard)
{
  return g_strdup_printf ("yard/%s/current", yard);
}

/* The key of the row of a published VERSION, which is written once.  */
char *
wy_key_version (const char *yard, int64_t version)
{
  return g_strdup_printf ("yard/%s/version/%" PRId64, yard, version);
}
