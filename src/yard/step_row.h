/* The row of one step in the table, and the keys of a yard's rows.  Internal
   to this module.  */
#ifndef WY_YARD_STEP_ROW_H
#define WY_YARD_STEP_ROW_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "store/client.h"

enum wy_step_state
{
  WY_STEP_SUBMITTED,   /* samples are being generated */
  WY_STEP_FIXED,       /* the batch is committed, but not delivered */
  WY_STEP_HANDED,      /* delivered: the batch never changes again */
  WY_STEP_ACKNOWLEDGED /* the trainer has finished the step */
};

struct wy_step_row
{
  enum wy_step_state state;
  int64_t step;
  int64_t rev;
  char *groups;         /* key of the object with the groups */
  char *digest;         /* of the submission, SHA-256 in hex */
  uint32_t n_samples;   /* of a complete batch */
  uint32_t bound;       /* staleness, in versions */
  uint32_t worth_milli; /* of the step; multiplies the trainer's */
  uint32_t attempt;     /* 1 + number of discarded stale batches */
  /* From WY_STEP_FIXED on.  */
  char *batch;     /* key of the object with the batch */
  json_t *samples; /* list of sample ids */
  int64_t oldest;  /* version of its tokens */
  int64_t current; /* newest version at the commit, then at the delivery */
  int64_t fencing_token; /* of the sampler that committed it */
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
