/* Handles submissions of steps and published weight versions.

   The groups of a step are stored as an object first, whose key contains their
   digest.  Then the row of the step is written, on the condition that there is
   none.  If a response is lost and the trainer sends the request again,
   through any entry, the row is found and the response is the same.  */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "trace/log.h"
#include "yard/trainer_api.h"

enum
{
  GROUPS_MAX = 65536,
  SAMPLES_PER_GROUP_MAX = 1024,
  MAX_TOKENS_MAX = 1 << 20,
  WORTH_UNIT = 1000
};

#define WORTH_MAX 1000.0

static int
check_group (const json_t *g, json_int_t samples)
{
  const char *name = json_string_value (json_object_get (g, "group"));
  const char *prompt = json_string_value (json_object_get (g, "prompt"));
  json_int_t max_tokens
      = json_integer_value (json_object_get (g, "max_tokens"));

  if (!name || !*name || !prompt || max_tokens < 1
      || max_tokens > MAX_TOKENS_MAX)
    return WY_YARD_EINVALID;
  if (json_integer_value (json_object_get (g, "samples")) != samples)
    return WY_YARD_EINVALID;
  return 0;
}

/* Check the body of C and fill in the row of C from it.  Returns NULL, or what
   is invalid.  */
static const char *
check_submission (struct wy_trainer_request *c)
{
  const json_t *groups = json_object_get (c->body, "groups");
  const json_t *bound = json_object_get (c->body, "max_staleness");
  const json_t *worth = json_object_get (c->body, "worth");
  size_t n = json_array_size (groups);
  json_int_t samples = json_integer_value (
      json_object_get (json_array_get (groups, 0), "samples"));
  double w = worth ? json_number_value (worth) : 1;

  if (n == 0 || n > GROUPS_MAX)
    return "groups: must be a list of 1 to 65536 groups";
  if (samples < 1 || samples > SAMPLES_PER_GROUP_MAX)
    return "samples: must be 1 to 1024";
  for (size_t i = 0; i < n; i++)
    if (check_group (json_array_get (groups, i), samples))
      return "groups: each needs a group, a prompt, max_tokens (1 to "
             "1048576) and the same number of samples as the others";
  if (bound && (!json_is_integer (bound) || json_integer_value (bound) < 0))
    return "max_staleness: must be an integer of at least 0 (versions)";
  if (!(w > 0) || w > WORTH_MAX)
    return "worth: must be above 0 and at most 1000";
  c->row.n_samples = (uint32_t)(n * (size_t)samples);
  c->row.bound = c->bound_max;
  if (bound && json_integer_value (bound) < c->bound_max)
    c->row.bound = (uint32_t)json_integer_value (bound);
  c->row.worth_milli = (uint32_t)(w * WORTH_UNIT);
  return NULL;
}

static char *
digest_of (const json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT | JSON_SORT_KEYS);
  char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, text, -1);

  free (text);
  return digest;
}

static void
respond_accepted (struct wy_trainer_request *c)
{
  wy_trainer_respond (c, WY_STATUS_ACCEPTED,
                      json_pack ("{s:I}", "step", (json_int_t)c->step));
}

/* Respond for a step that has a row already: by DIGEST it is the same
   submission or a different one.  */
static void
respond_existing (struct wy_trainer_request *c, const char *digest)
{
  if (c->row.digest && !strcmp (c->row.digest, digest))
    respond_accepted (c);
  else
    wy_trainer_respond_problem (
        c, WY_STATUS_CONFLICT, "Step already submitted",
        "The step was submitted before with different content.");
}

static void
on_submitted (void *ctx, const struct wy_store_result *r)
{
  struct wy_trainer_request *c = ctx;

  if (r->err == WY_STORE_ECONFLICT)
    {
      char *digest = g_strdup (c->row.digest);

      if (wy_trainer_parse_rows (c, r) || !c->has_row)
        wy_trainer_respond_store_error (c, r);
      else
        respond_existing (c, digest);
      g_free (digest);
      return;
    }
  if (r->err)
    {
      wy_trainer_respond_store_error (c, r);
      return;
    }
  wy_trace_event (c->trace, "step.submitted", "{s:s, s:s, s:I, s:I, s:I}",
                  "yard", c->yard, "trainer", c->trainer, "step",
                  (json_int_t)c->step, "samples", (json_int_t)c->row.n_samples,
                  "bound", (json_int_t)c->row.bound);
  wy_yard_row_changed (c->owner, c->yard, c->trainer);
  respond_accepted (c);
}

/* Write the row.  The floor is a condition as well, so that a step whose row
   has been deleted isn't started again.  */
static void
on_groups_stored (void *ctx, const struct wy_store_result *r)
{
  struct wy_trainer_request *c = ctx;
  json_t *value;
  struct wy_store_condition conditions[]
      = { { c->step_key, 0 }, { c->floor_key, c->floor_rev } };
  struct wy_store_write write = { c->step_key, NULL };
  struct wy_store_txn txn = { .cause = "submit",
                              .op = c->op,
                              .conditions = conditions,
                              .n_conditions = G_N_ELEMENTS (conditions),
                              .writes = &write,
                              .n_writes = 1 };

  if (r->err)
    {
      wy_trainer_respond_store_error (c, r);
      return;
    }
  wy_id_new (c->clock, c->op);
  c->row.state = WY_STEP_SUBMITTED;
  c->row.attempt = 1;
  value = wy_step_row_json (&c->row, c->op);
  write.value = value;
  wy_store_txn (c->store, &txn, on_submitted, c);
  json_decref (value);
}

static void
on_submit_rows (void *ctx, const struct wy_store_result *r)
{
  struct wy_trainer_request *c = ctx;
  struct wy_step_row wanted = c->row;
  char *text;

  if (r->err)
    {
      wy_trainer_respond_store_error (c, r);
      return;
    }
  memset (&c->row, 0, sizeof c->row);
  if (wy_trainer_parse_rows (c, r) || c->has_row)
    {
      respond_existing (c, wanted.digest);
      wy_step_row_clear (&wanted);
      return;
    }
  c->row = wanted;
  if (c->step <= c->floor)
    {
      wy_trainer_respond_problem (c, WY_STATUS_CONFLICT, "Step is finished",
                                  "A later step has been acknowledged.");
      return;
    }
  text = json_dumps (json_object_get (c->body, "groups"), JSON_COMPACT);
  wy_store_put_object (c->store, "submit", c->row.groups, text, strlen (text),
                       on_groups_stored, c);
  free (text);
}

/* POST .../steps/S/groups  */
void
wy_trainer_submit (struct wy_trainer_request *c)
{
  const char *invalid = check_submission (c);

  if (invalid)
    {
      wy_trainer_respond_problem (c, WY_STATUS_UNPROCESSABLE,
                                  "Invalid submission", invalid);
      return;
    }
  c->row.digest = digest_of (c->body);
  c->row.groups = g_strdup_printf ("%s/groups/%s", c->step_key, c->row.digest);
  wy_trainer_read_rows (c, on_submit_rows);
}

static void
on_published (void *ctx, const struct wy_store_result *r)
{
  struct wy_trainer_request *c = ctx;

  if (r->err == WY_STORE_ECONFLICT && wy_store_find_row (r, c->version_key))
    {
      wy_trainer_respond (
          c, WY_STATUS_ACCEPTED,
          json_pack ("{s:I}", "version", (json_int_t)c->version));
      return;
    }
  if (r->err)
    {
      wy_trainer_respond_store_error (c, r);
      return;
    }
  wy_trace_event (c->trace, "version.published", "{s:s, s:I}", "yard", c->yard,
                  "version", (json_int_t)c->version);
  wy_yard_row_changed (c->owner, c->yard, NULL);
  wy_trainer_respond (c, WY_STATUS_ACCEPTED,
                      json_pack ("{s:I}", "version", (json_int_t)c->version));
}

static void
on_version_rows (void *ctx, const struct wy_store_result *r)
{
  struct wy_trainer_request *c = ctx;
  json_t *value;

  if (r->err)
    {
      wy_trainer_respond_store_error (c, r);
      return;
    }
  wy_trainer_parse_rows (c, r);
  if (wy_store_find_row (r, c->version_key))
    {
      wy_trainer_respond (
          c, WY_STATUS_ACCEPTED,
          json_pack ("{s:I}", "version", (json_int_t)c->version));
      return;
    }
  if (c->version <= c->current)
    {
      wy_trainer_respond_problem (c, WY_STATUS_CONFLICT,
                                  "Version is not newer",
                                  "A higher version has been published.");
      return;
    }
  wy_id_new (c->clock, c->op);
  value = json_pack ("{s:I, s:s}", "version", (json_int_t)c->version, "op",
                     c->op);
  {
    struct wy_store_condition conditions[]
        = { { c->version_key, 0 }, { c->current_key, c->current_rev } };
    struct wy_store_write writes[]
        = { { c->version_key, value }, { c->current_key, value } };
    struct wy_store_txn txn = { .cause = "publish",
                                .op = c->op,
                                .conditions = conditions,
                                .n_conditions = G_N_ELEMENTS (conditions),
                                .writes = writes,
                                .n_writes = G_N_ELEMENTS (writes) };

    wy_store_txn (c->store, &txn, on_published, c);
  }
  json_decref (value);
}

/* POST /v1/yards/Y/weights  */
void
wy_trainer_publish (struct wy_trainer_request *c)
{
  const json_t *version = json_object_get (c->body, "version");
  const char *keys[2];
  struct wy_store_read read
      = { .cause = "publish", .keys = keys, .n_keys = 2 };

  c->version = json_integer_value (version);
  if (!json_is_integer (version) || c->version < 1)
    {
      wy_trainer_respond_problem (c, WY_STATUS_UNPROCESSABLE,
                                  "Invalid version",
                                  "version: must be an integer above 0");
      return;
    }
  c->version_key = wy_key_version (c->yard, c->version);
  keys[0] = c->version_key;
  keys[1] = c->current_key;
  wy_store_read (c->store, &read, on_version_rows, c);
}
