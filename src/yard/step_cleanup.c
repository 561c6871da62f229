/* Deleting the rows of steps that are over.

   The sampler reads all rows of its trainer at each interval, so they must
   not pile up.  Those that are deleted are remembered by one row, the floor:
   a step at or below it is over, and a submission that arrives late can't
   begin it again.  */
#include <string.h>

#include "base/id.h"
#include "yard/sampler.h"

enum
{
  /* Acknowledged steps that stay: a trainer that restarts may ask for the
     last ones again and is then answered by their rows.  */
  KEPT = 4,
  DELETED_MAX = 16
};

static void
on_cleaned (void *ctx, const struct wy_store_result *r)
{
  struct wy_sampler *s = ctx;

  s->cleaning = false;
  wy_sampler_destroy (s);
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

/* Whether ROW is of a step that is over and at or below FLOOR.  */
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

static bool
all_over (const struct wy_sampler *s, const struct wy_store_result *r,
          int64_t floor)
{
  size_t n = strlen (s->prefix);

  for (size_t i = 0; i < r->n_rows; i++)
    {
      struct wy_step_row row;
      bool open;

      if (strncmp (r->rows[i].key, s->prefix, n) != 0
          || wy_step_row_parse (&row, &r->rows[i]))
        continue;
      open = row.state != WY_STEP_ACKNOWLEDGED && row.step <= floor;
      wy_step_row_clear (&row);
      if (open)
        return false;
    }
  return true;
}

/* Delete the oldest of the steps in R that are over, if there are enough of
   them.  Needs no lease: the conditions say it all.  */
void
wy_sampler_clean (struct wy_sampler *s, const struct wy_store_result *r)
{
  int64_t floor = highest_acknowledged (s, r) - KEPT;
  const struct wy_store_row *old = wy_store_find_row (r, s->floor_key);
  struct wy_store_condition conditions[DELETED_MAX + 1];
  struct wy_store_write writes[DELETED_MAX + 1];
  struct wy_store_txn txn = { .cause = "clean",
                              .conditions = conditions,
                              .n_conditions = 1,
                              .writes = writes,
                              .n_writes = 1 };
  char op[WY_ID_SIZE_BYTES];

  if (s->cleaning || floor < 1 || !all_over (s, r, floor))
    return;
  for (size_t i = 0; i < r->n_rows && txn.n_writes <= DELETED_MAX; i++)
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
  s->cleaning = true;
  wy_store_txn (s->o.env->o.store, &txn, on_cleaned, s);
  json_decref (writes[0].value);
}
