/* Deletes the rows of acknowledged steps.

   The sampler reads all rows of its trainer at each poll, so their number has
   to be limited.  One row, the floor, records the highest step whose row has
   been deleted: a late submission of a step at or below the floor is
   rejected.  */
#include <string.h>

#include "base/id.h"
#include "yard/sampler.h"

enum
{
  /* Acknowledged steps whose rows are kept: a trainer that restarts may
     request the last ones again.  */
  KEPT_STEPS = 4,
  DELETED_STEPS_MAX = 16
};

static void
on_deleted (void *ctx, const struct wy_store_result *r)
{
  struct wy_sampler *s = ctx;

  s->deleting_steps = false;
  wy_sampler_free_if_unused (s);
}

static int64_t
highest_acknowledged (const struct wy_sampler *s,
                      const struct wy_store_result *r)
{
  int64_t highest = 0;
  size_t n = strlen (s->prefix);

  for (size_t i = 0; i < r->n_rows; i++)
    {
      struct wy_step_row row;

      if (strncmp (r->rows[i].key, s->prefix, n) != 0
          || wy_step_row_parse (&row, &r->rows[i]))
        continue;
      if (row.state == WY_STEP_ACKNOWLEDGED && row.step > highest)
        highest = row.step;
      wy_step_row_clear (&row);
    }
  return highest;
}

/* Whether ROW is of an acknowledged step at or below FLOOR.  */
static bool
deletable (const struct wy_sampler *s, const struct wy_store_row *row,
           int64_t floor)
{
  struct wy_step_row step;
  bool yes;

  if (strncmp (row->key, s->prefix, strlen (s->prefix)) != 0
      || wy_step_row_parse (&step, row))
    return false;
  yes = step.state == WY_STEP_ACKNOWLEDGED && step.step <= floor;
  wy_step_row_clear (&step);
  return yes;
}

/* Whether all steps of R at or below FLOOR are acknowledged.  */
static bool
all_acknowledged (const struct wy_sampler *s, const struct wy_store_result *r,
                  int64_t floor)
{
  size_t n = strlen (s->prefix);

  for (size_t i = 0; i < r->n_rows; i++)
    {
      struct wy_step_row row;
      bool unfinished;

      if (strncmp (r->rows[i].key, s->prefix, n) != 0
          || wy_step_row_parse (&row, &r->rows[i]))
        continue;
      unfinished = row.state != WY_STEP_ACKNOWLEDGED && row.step <= floor;
      wy_step_row_clear (&row);
      if (unfinished)
        return false;
    }
  return true;
}

/* Delete the rows of the oldest acknowledged steps in R, if there are enough
   of them.  No lease is needed: the conditions of the transaction suffice.  */
void
wy_sampler_delete_old_steps (struct wy_sampler *s,
                             const struct wy_store_result *r)
{
  int64_t floor = highest_acknowledged (s, r) - KEPT_STEPS;
  const struct wy_store_row *old = wy_store_find_row (r, s->floor_key);
  struct wy_store_condition conditions[DELETED_STEPS_MAX + 1];
  struct wy_store_write writes[DELETED_STEPS_MAX + 1];
  struct wy_store_txn txn = { .cause = "clean",
                              .conditions = conditions,
                              .n_conditions = 1,
                              .writes = writes,
                              .n_writes = 1 };
  char op[WY_ID_SIZE_BYTES];

  if (s->deleting_steps || floor < 1 || !all_acknowledged (s, r, floor))
    return;
  for (size_t i = 0; i < r->n_rows && txn.n_writes <= DELETED_STEPS_MAX; i++)
    if (deletable (s, &r->rows[i], floor))
      {
        conditions[txn.n_conditions].key = r->rows[i].key;
        conditions[txn.n_conditions++].rev = r->rows[i].rev;
        writes[txn.n_writes].key = r->rows[i].key;
        writes[txn.n_writes++].value = NULL;
      }
  if (txn.n_writes == 1)
    return;
  wy_id_new (s->o.env->o.clock, op);
  txn.op = op;
  conditions[0].key = s->floor_key;
  conditions[0].rev = old ? old->rev : 0;
  writes[0].key = s->floor_key;
  writes[0].value
      = json_pack ("{s:I, s:s}", "step", (json_int_t)floor, "op", op);
  s->deleting_steps = true;
  wy_store_txn (s->o.env->o.store, &txn, on_deleted, s);
  json_decref (writes[0].value);
}
