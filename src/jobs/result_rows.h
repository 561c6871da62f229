/* Results as rows of the store: one row each, or several if the result is
   longer than a row may be.  */
#ifndef WY_JOBS_RESULT_ROWS_H
#define WY_JOBS_RESULT_ROWS_H

#include "jobs/result.h"
#include "rows/rows.h"

enum
{
  WY_RESULT_KEY_SIZE_BYTES = 24
};

/* A row to be written.  */
struct wy_result_row
{
  char key[WY_RESULT_KEY_SIZE_BYTES];
  char *value;
  size_t size_bytes;
};

void wy_result_key (uint64_t position, char out[WY_RESULT_KEY_SIZE_BYTES]);
uint32_t wy_result_row_count (size_t size_bytes, size_t row_bytes);
void wy_result_split (const char *value, uint64_t position, size_t row_bytes,
                      GArray *out);
void wy_result_join (const struct wy_rows_result *r, GPtrArray *out);
int64_t wy_result_row_version (const struct wy_rows_result *r,
                               uint64_t position);
char *wy_result_next_from (const struct wy_rows_result *r, uint64_t position);

#endif
