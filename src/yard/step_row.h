/* The row of one step in the table.  Inside the package only.  */
#ifndef WY_YARD_STEP_ROW_H
#define WY_YARD_STEP_ROW_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "store/client.h"

enum wy_step_state
{
  WY_STEP_SUBMITTED,   /* samples are being made */
  WY_STEP_FIXED,       /* the batch is chosen, nobody has seen it */
  WY_STEP_HANDED,      /* the trainer may have it: it never changes again */
  WY_STEP_ACKNOWLEDGED /* the trainer is done with it */
};

struct wy_step_row
{
  enum wy_step_state state;
  int64_t step;
  int64_t rev;
  char *groups;         /* key of the object with the groups */
  char *digest;         /* of what was submitted */
  uint32_t n_samples;   /* that make the batch */
  uint32_t bound;       /* versions */
  uint32_t worth_milli; /* of the step, times the trainer's worth */
  uint32_t attempt;     /* batches made and found too old, plus one */
  /* From WY_STEP_FIXED on.  */
  char *batch;     /* key of the object with the batch */
  json_t *samples; /* list of sample ids */
  int64_t oldest;  /* version */
  int64_t current; /* version when fixed or handed out */
  int64_t fence;   /* of the sampler that fixed it */
};

int wy_step_row_parse (struct wy_step_row *out,
                       const struct wy_store_row *row);
void wy_step_row_clear (struct wy_step_row *r);
json_t *wy_step_row_json (const struct wy_step_row *r, const char *op);
bool wy_step_row_stale (const struct wy_step_row *r, int64_t current);

char *wy_key_step (const char *yard, const char *trainer, int64_t step);
char *wy_key_steps (const char *yard, const char *trainer);
char *wy_key_floor (const char *yard, const char *trainer);
char *wy_key_current (const char *yard);
char *wy_key_version (const char *yard, int64_t version);

#endif
