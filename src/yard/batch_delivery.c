/* Delivers the batch of a step to its trainer, and handles the
   acknowledgement.

   A committed batch that has not been delivered is checked against the newest
   version again; a stale one is discarded, and the step is sampled again.  The
   first delivery is recorded in the row (state "handed"), on the condition
   that no version has been published since the check, before the trainer gets
   any data.  From then on the batch never changes, since the trainer may be
   training on it.  If it becomes stale before it is acknowledged, it is not
   delivered again, and the trainer is asked to acknowledge the step and to
   continue with the next one.  */
#include "yard/trainer_api.h"

static json_t *
sample_ids (const struct wy_trainer_request *c)
{
  return json_incref (c->row.samples);
}

static void
deliver_batch (struct wy_trainer_request *c)
{
  json_t *samples = json_object_get (c->batch, "samples");

  wy_trace_event (
      c->trace, "step.handed", "{s:s, s:s, s:I, s:o, s:I, s:I, s:I}", "yard",
      c->yard, "trainer", c->trainer, "step", (json_int_t)c->step, "samples",
      sample_ids (c), "oldest", (json_int_t)c->row.oldest, "current",
      (json_int_t)c->current, "bound", (json_int_t)c->row.bound);
  wy_trainer_respond (
      c, WY_STATUS_OK,
      json_pack ("{s:I, s:I, s:I, s:O}", "step", (json_int_t)c->step,
                 "current", (json_int_t)c->current, "oldest",
                 (json_int_t)c->row.oldest, "samples", samples));
}

static void on_batch_rows (void *ctx, const struct wy_store_result *r);

static void
on_marked_handed (void *ctx, const struct wy_store_result *r)
{
  struct wy_trainer_request *c = ctx;

  if (r->err == WY_STORE_ECONFLICT)
    {
      /* Another entry has delivered it, or a version has been published.  */
      wy_trainer_read_rows (c, on_batch_rows);
      return;
    }
  if (r->err)
    {
      wy_trainer_respond_store_error (c, r);
      return;
    }
  deliver_batch (c);
}

static void
on_batch_object (void *ctx, const struct wy_store_result *r)
{
  struct wy_trainer_request *c = ctx;

  if (r->err)
    {
      wy_trainer_respond_store_error (c, r);
      return;
    }
  json_decref (c->batch);
  c->batch = json_loadb (r->data, r->size_bytes, 0, NULL);
  if (!json_is_array (json_object_get (c->batch, "samples")))
    {
      wy_trainer_respond_problem (c, WY_STATUS_UNAVAILABLE,
                                  "Invalid batch object", NULL);
      return;
    }
  if (c->row.state == WY_STEP_HANDED)
    {
      deliver_batch (c);
      return;
    }
  c->row.state = WY_STEP_HANDED;
  c->row.current = c->current;
  wy_trainer_write_step (c, "hand-out", true, on_marked_handed);
}

static void
on_discarded (void *ctx, const struct wy_store_result *r)
{
  struct wy_trainer_request *c = ctx;

  if (r->err && r->err != WY_STORE_ECONFLICT)
    wy_trainer_respond_store_error (c, r);
  else
    wy_trainer_respond_pending (c);
}

/* Discard the stale batch, which has not been delivered: its samples are lost,
   and the step is sampled again.  */
static void
discard_batch (struct wy_trainer_request *c)
{
  c->row.state = WY_STEP_SUBMITTED;
  c->row.attempt++;
  wy_trainer_write_step (c, "return", false, on_discarded);
}

static void
respond_with_batch (struct wy_trainer_request *c)
{
  bool stale = wy_step_row_stale (&c->row, c->current);

  switch (c->row.state)
    {
    case WY_STEP_SUBMITTED:
      wy_trainer_respond_pending (c);
      return;
    case WY_STEP_ACKNOWLEDGED:
      wy_trainer_respond_problem (c, WY_STATUS_GONE, "Step is finished",
                                  "The step has been acknowledged.");
      return;
    case WY_STEP_FIXED:
      if (stale)
        {
          discard_batch (c);
          return;
        }
      break;
    case WY_STEP_HANDED:
      if (stale)
        {
          wy_trainer_respond_problem (
              c, WY_STATUS_CONFLICT, "Batch is too old",
              "The batch was delivered before and is now older "
              "than the staleness bound; acknowledge the step "
              "and continue with the next one.");
          return;
        }
      break;
    }
  wy_store_get_object (c->store, "batch", c->row.batch, on_batch_object, c);
}

static void
on_batch_rows (void *ctx, const struct wy_store_result *r)
{
  struct wy_trainer_request *c = ctx;

  if (r->err)
    wy_trainer_respond_store_error (c, r);
  else if (wy_trainer_parse_rows (c, r))
    wy_trainer_respond_problem (c, WY_STATUS_UNAVAILABLE, "Invalid step row",
                                NULL);
  else if (!c->has_row && c->step <= c->floor)
    wy_trainer_respond_problem (c, WY_STATUS_GONE, "Step is finished",
                                "The step has been acknowledged.");
  else if (!c->has_row)
    wy_trainer_respond_problem (c, WY_STATUS_NOT_FOUND, "No such step", NULL);
  else
    respond_with_batch (c);
}

/* GET .../steps/S/batch  */
void
wy_trainer_batch (struct wy_trainer_request *c)
{
  wy_trainer_read_rows (c, on_batch_rows);
}

static void
respond_acknowledged (struct wy_trainer_request *c)
{
  wy_trainer_respond (c, WY_STATUS_OK,
                      json_pack ("{s:I}", "step", (json_int_t)c->step));
}

static void on_ack_rows (void *ctx, const struct wy_store_result *r);

static void
on_acked (void *ctx, const struct wy_store_result *r)
{
  struct wy_trainer_request *c = ctx;

  if (r->err == WY_STORE_ECONFLICT)
    {
      wy_trainer_read_rows (c, on_ack_rows);
      return;
    }
  if (r->err)
    {
      wy_trainer_respond_store_error (c, r);
      return;
    }
  wy_trace_event (c->trace, "step.acked", "{s:s, s:s, s:I}", "yard", c->yard,
                  "trainer", c->trainer, "step", (json_int_t)c->step);
  wy_yard_row_changed (c->owner, c->yard, c->trainer);
  respond_acknowledged (c);
}

static bool
is_acknowledged (const struct wy_trainer_request *c)
{
  return c->has_row ? c->row.state == WY_STEP_ACKNOWLEDGED
                    : c->step <= c->floor;
}

static void
on_ack_rows (void *ctx, const struct wy_store_result *r)
{
  struct wy_trainer_request *c = ctx;

  if (r->err)
    wy_trainer_respond_store_error (c, r);
  else if (wy_trainer_parse_rows (c, r))
    wy_trainer_respond_problem (c, WY_STATUS_UNAVAILABLE, "Invalid step row",
                                NULL);
  else if (is_acknowledged (c))
    respond_acknowledged (c);
  else if (!c->has_row)
    wy_trainer_respond_problem (c, WY_STATUS_NOT_FOUND, "No such step", NULL);
  else if (c->row.state != WY_STEP_HANDED)
    wy_trainer_respond_problem (c, WY_STATUS_CONFLICT,
                                "Nothing to acknowledge",
                                "The batch has not been delivered.");
  else
    {
      c->row.state = WY_STEP_ACKNOWLEDGED;
      wy_trainer_write_step (c, "ack", false, on_acked);
    }
}

/* POST .../steps/S/ack  */
void
wy_trainer_ack (struct wy_trainer_request *c)
{
  wy_trainer_read_rows (c, on_ack_rows);
}
