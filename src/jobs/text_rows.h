/* Partial texts of items as rows of the store: pieces in the order of their
   generation, some with the state of the text up to their end.  */
#ifndef WY_JOBS_TEXT_ROWS_H
#define WY_JOBS_TEXT_ROWS_H

#include <glib.h>

#include "rows/rows.h"

/* State of a text, stored with its last piece.  */
struct wy_text_state
{
  uint64_t text_id; /* pieces with another id belong to a discarded text */
  const int64_t *versions;
  uint32_t n_versions;
  int64_t last_event;
  bool complete;
  int64_t at_ms; /* by the store's clock */
};

/* A text read from the store.  */
struct wy_saved_text
{
  char *item;
  GString *text;
  GArray *versions; /* int64_t */
  uint64_t text_id;
  int64_t last_event;
  bool complete;
  int64_t at_ms;
  GPtrArray *keys; /* of the text's rows, filled in by the reader */
};

void wy_text_rows_add (GArray *writes, const char *table, const char *item,
                       const char *text, size_t from_bytes, size_t to_bytes,
                       const struct wy_text_state *state, size_t row_bytes);
void wy_text_rows_clear (GArray *writes);
size_t wy_text_key_item_bytes (const char *key);
struct wy_saved_text *wy_text_rows_join (const struct wy_row *rows, size_t n);
void wy_saved_text_free (struct wy_saved_text *t);

#endif
