/* HTTP interface for trainers: functions that all requests use.  Any entry can
   handle any request, since all state is in the rows and objects.  */
#include "yard/trainer_api.h"

#include <string.h>

#include "http/json.h"

/* Retry-After, which has the unit of seconds, for a batch that is not
   committed yet.  Trainers may request it sooner.  */
#define BATCH_RETRY_MS 1000

static void
request_free (struct wy_trainer_request *c)
{
  wy_step_row_clear (&c->row);
  json_decref (c->body);
  json_decref (c->batch);
  g_free (c->yard);
  g_free (c->trainer);
  g_free (c->step_key);
  g_free (c->current_key);
  g_free (c->floor_key);
  g_free (c->version_key);
  g_free (c);
}

/* Respond with STATUS and BODY, whose reference is taken, and free C.  */
void
wy_trainer_respond (struct wy_trainer_request *c, int status, json_t *body)
{
  if (c->ex)
    wy_http_respond_json (c->ex, status, body);
  else
    json_decref (body);
  request_free (c);
}

/* Respond with a problem document and free C.  */
void
wy_trainer_respond_problem (struct wy_trainer_request *c, int status,
                            const char *title, const char *detail)
{
  struct wy_http_problem p
      = { .status = status, .title = title, .detail = detail };

  if (c->ex)
    wy_http_respond_problem (c->ex, &p);
  request_free (c);
}

/* Respond that the store is unavailable or that the outcome of the request is
   unknown, and free C.  All requests are idempotent, so the trainer may send
   this one again.  */
void
wy_trainer_respond_store_error (struct wy_trainer_request *c,
                                const struct wy_store_result *r)
{
  struct wy_http_problem p = { .status = WY_STATUS_UNAVAILABLE,
                               .title = "The store is unavailable",
                               .detail = wy_store_strerror (r->err),
                               .retry_after_ms = r->retry_after_ms };

  if (c->ex)
    wy_http_respond_problem (c->ex, &p);
  request_free (c);
}

/* Respond that the batch is not committed yet, and free C.  */
void
wy_trainer_respond_pending (struct wy_trainer_request *c)
{
  if (c->ex)
    wy_http_retry_after (c->ex, BATCH_RETRY_MS);
  wy_trainer_respond (c, WY_STATUS_ACCEPTED,
                      json_pack ("{s:I, s:s}", "step", (json_int_t)c->step,
                                 "state", "submitted"));
}

/* Parse the rows of C in R, which may contain only some of them.  Returns 0 or
   WY_YARD_EINVALID.  */
int
wy_trainer_parse_rows (struct wy_trainer_request *c,
                       const struct wy_store_result *r)
{
  const struct wy_store_row *step
      = c->step_key ? wy_store_find_row (r, c->step_key) : NULL;
  const struct wy_store_row *current = wy_store_find_row (r, c->current_key);
  const struct wy_store_row *floor
      = c->floor_key ? wy_store_find_row (r, c->floor_key) : NULL;

  wy_step_row_clear (&c->row);
  c->has_row = step != NULL;
  if (step && wy_step_row_parse (&c->row, step))
    return WY_YARD_EINVALID;
  if (current)
    {
      c->current_rev = current->rev;
      c->current
          = json_integer_value (json_object_get (current->value, "version"));
    }
  if (floor)
    {
      c->floor_rev = floor->rev;
      c->floor = json_integer_value (json_object_get (floor->value, "step"));
    }
  return 0;
}

/* Read the rows of the step, the newest version and the floor.  */
void
wy_trainer_read_rows (struct wy_trainer_request *c,
                      void (*on_done) (void *ctx,
                                       const struct wy_store_result *r))
{
  const char *keys[] = { c->step_key, c->current_key, c->floor_key };
  struct wy_store_read read
      = { .cause = "trainer", .keys = keys, .n_keys = G_N_ELEMENTS (keys) };

  wy_store_read (c->store, &read, on_done, c);
}

/* Write the row of the step as it is in C, on the condition that it has not
   changed since it was read and, if AT_CURRENT, that no version has been
   published since.  */
void
wy_trainer_write_step (struct wy_trainer_request *c, const char *cause,
                       bool at_current,
                       void (*on_done) (void *ctx,
                                        const struct wy_store_result *r))
{
  json_t *value;
  struct wy_store_condition conditions[]
      = { { c->step_key, c->row.rev }, { c->current_key, c->current_rev } };
  struct wy_store_write write = { c->step_key, NULL };
  struct wy_store_txn txn = { .cause = cause,
                              .op = c->op,
                              .conditions = conditions,
                              .n_conditions = at_current ? 2 : 1,
                              .writes = &write,
                              .n_writes = 1 };

  wy_id_new (c->clock, c->op);
  value = wy_step_row_json (&c->row, c->op);
  write.value = value;
  wy_store_txn (c->store, &txn, on_done, c);
  json_decref (value);
}
