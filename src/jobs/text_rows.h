/* Text of unfinished items as rows of the store: pieces in the order in which
   it was made, each row telling how far the text goes with it.  */
#ifndef WY_JOBS_TEXT_ROWS_H
#define WY_JOBS_TEXT_ROWS_H

#include <glib.h>

#include "rows/rows.h"

/* What is told of a text with its last piece.  */
struct wy_text_state
{
  uint64_t text_id; /* of one making: pieces of others do not fit behind it */
  const int64_t *versions;
  uint32_t n_versions;
  int64_t last_event;
  bool whole;
  int64_t at_ms; /* by the store's clock */
};

/* A text that was read back.  */
struct wy_kept_text
{
  char *item;
  GString *text;
  GArray *versions; /* int64_t */
  uint64_t text_id;
  int64_t last_event;
  bool whole;
  int64_t at_ms;
  GPtrArray *keys; /* of its rows, as far as they are noted here */
};

void wy_text_rows_add (GArray *writes, const char *table, const char *item,
                       const char *text, size_t from_bytes, size_t to_bytes,
                       const struct wy_text_state *state, size_t row_bytes);
void wy_text_rows_clear (GArray *writes);
size_t wy_text_item_size (const char *key);
struct wy_kept_text *wy_text_rows_join (const struct wy_row *rows, size_t n);
void wy_kept_text_free (struct wy_kept_text *t);

#endif
