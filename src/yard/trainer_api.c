/* The trainers' interface: what its calls share.  Any entry answers any call
   from the rows and objects alone.  */
#include "yard/trainer_api.h"

#include <string.h>

#include "http/json.h"

/* How soon a trainer asks again for a batch that is not fixed yet.  Seconds
   are the unit of Retry-After; trainers may ask sooner.  */
#define BATCH_RETRY_MS 1000

static void
call_free (struct wy_trainer_call *c)
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

/* Answer with BODY, which is taken, and free C.  */
void
wy_trainer_answer (struct wy_trainer_call *c, int status, json_t *body)
{
  if (c->ex)
    wy_http_respond_json (c->ex, status, body);
  else
    json_decref (body);
  call_free (c);
}

/* Answer with a problem and free C.  */
void
wy_trainer_problem (struct wy_trainer_call *c, int status, const char *title,
                    const char *detail)
{
  struct wy_http_problem p
      = { .status = status, .title = title, .detail = detail };

  if (c->ex)
    wy_http_respond_problem (c->ex, &p);
  call_free (c);
}

/* Answer that the store could not be asked, or that the outcome is not known,
   and free C.  All calls are idempotent, so that the trainer may repeat
   either.  */
void
wy_trainer_store_problem (struct wy_trainer_call *c,
                          const struct wy_store_result *r)
{
  struct wy_http_problem p = { .status = WY_STATUS_UNAVAILABLE,
                               .title = "The store can't be asked",
                               .detail = wy_store_strerror (r->err),
                               .retry_after_ms = r->retry_after_ms };

  if (c->ex)
    wy_http_respond_problem (c->ex, &p);
  call_free (c);
}

/* Tell the trainer to come back for its batch, and free C.  */
void
wy_trainer_wait (struct wy_trainer_call *c)
{
  if (c->ex)
    wy_http_retry_after (c->ex, BATCH_RETRY_MS);
  wy_trainer_answer (c, WY_STATUS_ACCEPTED,
                     json_pack ("{s:I, s:s}", "step", (json_int_t)c->step,
                                "state", "submitted"));
}

/* Take the rows of C out of R, which may hold just some of them.  Returns 0
   or WY_YARD_EINVALID.  */
int
wy_trainer_take_rows (struct wy_trainer_call *c,
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

/* Read the rows of the step, of the newest version and of the floor.  */
void
wy_trainer_read (struct wy_trainer_call *c,
                 void (*on_done) (void *ctx, const struct wy_store_result *r))
{
  const char *keys[] = { c->step_key, c->current_key, c->floor_key };
  struct wy_store_read read
      = { .cause = "trainer", .keys = keys, .n_keys = G_N_ELEMENTS (keys) };

  wy_store_read (c->store, &read, on_done, c);
}

/* Write the row of the step as C holds it, on the condition that it has not
   changed and, if AT_CURRENT, that no version was published since.  */
void
wy_trainer_write_step (struct wy_trainer_call *c, const char *cause,
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
