/* Trainers read the batch of a step and acknowledge it.

   A fixed batch that nobody has seen is checked against the newest version
   once more; one that has become too old goes back to be made anew.  The
   first hand-out is written to the row, on the condition that no version was
   published since the check, before the trainer gets a byte.  From then on
   the batch stays the same: the trainer may be training on it.  If versions
   move on past the bound before it is acknowledged, it is not handed out
   again, and the trainer is told to acknowledge and go on.  */
#include "yard/trainer_api.h"

static json_t *
sample_ids (const struct wy_trainer_call *c)
{
  return json_incref (c->row.samples);
}

static void
hand_out (struct wy_trainer_call *c)
{
  json_t *samples = json_object_get (c->batch, "samples");

  wy_trace_event (
      c->trace, "step.handed", "{s:s, s:s, s:I, s:o, s:I, s:I, s:I}", "yard",
      c->yard, "trainer", c->trainer, "step", (json_int_t)c->step, "samples",
      sample_ids (c), "oldest", (json_int_t)c->row.oldest, "current",
      (json_int_t)c->current, "bound", (json_int_t)c->row.bound);
  wy_trainer_answer (
      c, WY_STATUS_OK,
      json_pack ("{s:I, s:I, s:I, s:O}", "step", (json_int_t)c->step,
                 "current", (json_int_t)c->current, "oldest",
                 (json_int_t)c->row.oldest, "samples", samples));
}

static void on_batch_rows (void *ctx, const struct wy_store_result *r);

static void
on_handed (void *ctx, const struct wy_store_result *r)
{
  struct wy_trainer_call *c = ctx;

  if (r->err == WY_STORE_ECONFLICT)
    {
      /* Another entry handed it out, or a version was published.  */
      wy_trainer_read (c, on_batch_rows);
      return;
    }
  if (r->err)
    {
      wy_trainer_store_problem (c, r);
      return;
    }
  hand_out (c);
}

static void
on_batch_object (void *ctx, const struct wy_store_result *r)
{
  struct wy_trainer_call *c = ctx;

  if (r->err)
    {
      wy_trainer_store_problem (c, r);
      return;
    }
  json_decref (c->batch);
  c->batch = json_loadb (r->data, r->size_bytes, 0, NULL);
  if (!json_is_array (json_object_get (c->batch, "samples")))
    {
      wy_trainer_problem (c, WY_STATUS_UNAVAILABLE, "The batch can't be read",
                          NULL);
      return;
    }
  if (c->row.state == WY_STEP_HANDED)
    {
      hand_out (c);
      return;
    }
  c->row.state = WY_STEP_HANDED;
  c->row.current = c->current;
  wy_trainer_write_step (c, "hand-out", true, on_handed);
}

static void
on_returned (void *ctx, const struct wy_store_result *r)
{
  struct wy_trainer_call *c = ctx;

  if (r->err && r->err != WY_STORE_ECONFLICT)
    wy_trainer_store_problem (c, r);
  else
    wy_trainer_wait (c);
}

/* The batch is too old before anybody has seen it: its samples are lost, and
   the step is sampled anew.  */
static void
return_batch (struct wy_trainer_call *c)
{
  c->row.state = WY_STEP_SUBMITTED;
  c->row.attempt++;
  wy_trainer_write_step (c, "return", false, on_returned);
}

static void
give_batch (struct wy_trainer_call *c)
{
  bool stale = wy_step_row_stale (&c->row, c->current);

  switch (c->row.state)
    {
    case WY_STEP_SUBMITTED:
      wy_trainer_wait (c);
      return;
    case WY_STEP_ACKNOWLEDGED:
      wy_trainer_problem (c, WY_STATUS_GONE, "Step is over",
                          "The step has been acknowledged.");
      return;
    case WY_STEP_FIXED:
      if (stale)
        {
          return_batch (c);
          return;
        }
      break;
    case WY_STEP_HANDED:
      if (stale)
        {
          wy_trainer_problem (c, WY_STATUS_CONFLICT, "Batch is too old",
                              "The batch was handed out before and versions "
                              "have moved on past the bound; acknowledge the "
                              "step and go on.");
          return;
        }
      break;
    }
  wy_store_get_object (c->store, "batch", c->row.batch, on_batch_object, c);
}

static void
on_batch_rows (void *ctx, const struct wy_store_result *r)
{
  struct wy_trainer_call *c = ctx;

  if (r->err)
    wy_trainer_store_problem (c, r);
  else if (wy_trainer_take_rows (c, r))
    wy_trainer_problem (c, WY_STATUS_UNAVAILABLE, "The step can't be read",
                        NULL);
  else if (!c->has_row && c->step <= c->floor)
    wy_trainer_problem (c, WY_STATUS_GONE, "Step is over",
                        "The step has been acknowledged.");
  else if (!c->has_row)
    wy_trainer_problem (c, WY_STATUS_NOT_FOUND, "No such step", NULL);
  else
    give_batch (c);
}

/* GET .../steps/S/batch  */
void
wy_trainer_batch (struct wy_trainer_call *c)
{
  wy_trainer_read (c, on_batch_rows);
}

static void
acknowledged (struct wy_trainer_call *c)
{
  wy_trainer_answer (c, WY_STATUS_OK,
                     json_pack ("{s:I}", "step", (json_int_t)c->step));
}

static void on_ack_rows (void *ctx, const struct wy_store_result *r);

static void
on_acked (void *ctx, const struct wy_store_result *r)
{
  struct wy_trainer_call *c = ctx;

  if (r->err == WY_STORE_ECONFLICT)
    {
      wy_trainer_read (c, on_ack_rows);
      return;
    }
  if (r->err)
    {
      wy_trainer_store_problem (c, r);
      return;
    }
  wy_trace_event (c->trace, "step.acked", "{s:s, s:s, s:I}", "yard", c->yard,
                  "trainer", c->trainer, "step", (json_int_t)c->step);
  wy_yard_changed (c->owner, c->yard, c->trainer);
  acknowledged (c);
}

static bool
is_over (const struct wy_trainer_call *c)
{
  return c->has_row ? c->row.state == WY_STEP_ACKNOWLEDGED
                    : c->step <= c->floor;
}

static void
on_ack_rows (void *ctx, const struct wy_store_result *r)
{
  struct wy_trainer_call *c = ctx;

  if (r->err)
    wy_trainer_store_problem (c, r);
  else if (wy_trainer_take_rows (c, r))
    wy_trainer_problem (c, WY_STATUS_UNAVAILABLE, "The step can't be read",
                        NULL);
  else if (is_over (c))
    acknowledged (c);
  else if (!c->has_row)
    wy_trainer_problem (c, WY_STATUS_NOT_FOUND, "No such step", NULL);
  else if (c->row.state != WY_STEP_HANDED)
    wy_trainer_problem (c, WY_STATUS_CONFLICT, "Nothing to acknowledge",
                        "The batch has not been handed out.");
  else
    {
      c->row.state = WY_STEP_ACKNOWLEDGED;
      wy_trainer_write_step (c, "ack", false, on_acked);
    }
}

/* POST .../steps/S/ack  */
void
wy_trainer_ack (struct wy_trainer_call *c)
{
  wy_trainer_read (c, on_ack_rows);
}
