/* Results as rows of the store.

   The key of a result's first row is its position.  What does not fit follows
   in rows whose keys have a number appended, so that the rows in the order of
   their keys yield the result.  */
#include "jobs/result_rows.h"

#include <stdio.h>
#include <string.h>

enum
{
  POSITION_DIGITS = 10
};

/* Write to OUT the key of the first row of the result at POSITION.  */
void
wy_result_key (uint64_t position, char out[WY_RESULT_KEY_SIZE_BYTES])
{
  snprintf (out, WY_RESULT_KEY_SIZE_BYTES, "%010llu",
            (unsigned long long)position);
}

/* Return the number of rows of ROW_BYTES that SIZE_BYTES take.  */
uint32_t
wy_result_row_count (size_t size_bytes, size_t row_bytes)
{
  return size_bytes == 0
             ? 1
             : (uint32_t)((size_bytes + row_bytes - 1) / row_bytes);
}

/* Append the rows of VALUE, the result at POSITION, to OUT (struct
   wy_result_row); the values are copies.  */
void
wy_result_split (const char *value, uint64_t position, size_t row_bytes,
                 GArray *out)
{
  size_t n = strlen (value);
  uint32_t rows = wy_result_row_count (n, row_bytes);

  for (uint32_t i = 0; i < rows; i++)
    {
      struct wy_result_row row;
      size_t at = (size_t)i * row_bytes;

      wy_result_key (position, row.key);
      if (i)
        snprintf (row.key + POSITION_DIGITS, sizeof row.key - POSITION_DIGITS,
                  ".%05u", i);
      row.size_bytes = MIN (n - at, row_bytes);
      row.value = g_memdup2 (value + at, row.size_bytes);
      g_array_append_val (out, row);
    }
}

static bool
same_position (const struct wy_row *a, const struct wy_row *b)
{
  return !strncmp (a->key, b->key, POSITION_DIGITS);
}

/* Append to OUT (struct wy_result *) the results whose rows are all in R; NULL
   stands for one that is malformed, so that each keeps its position.  The last
   result of a page that has a next page may be incomplete and is left for that
   page.  */
void
wy_result_join (const struct wy_rows_result *r, GPtrArray *out)
{
  GString *value = g_string_new (NULL);
  size_t i = 0;

  while (i < r->n)
    {
      size_t first = i;
      struct wy_result *res;

      g_string_truncate (value, 0);
      for (; i < r->n && same_position (&r->rows[first], &r->rows[i]); i++)
        g_string_append_len (value, r->rows[i].value,
                             (gssize)r->rows[i].size_bytes);
      if (i == r->n && r->has_more && first > 0)
        break;
      res = wy_result_decode (value->str, value->len);
      if (!res && i == r->n && r->has_more)
        break;
      g_ptr_array_add (out, res);
    }
  g_string_free (value, TRUE);
}

/* Return the version of the first row in R of the result at POSITION; 0: there
   is none.  */
int64_t
wy_result_row_version (const struct wy_rows_result *r, uint64_t position)
{
  char key[WY_RESULT_KEY_SIZE_BYTES];

  wy_result_key (position, key);
  for (size_t i = 0; i < r->n; i++)
    if (!strcmp (r->rows[i].key, key))
      return r->rows[i].version;
  return 0;
}

/* Return the key from which the next page is to be read after POSITION
   results; the caller frees it.  NULL: R was the last page.  */
char *
wy_result_next_from (const struct wy_rows_result *r, uint64_t position)
{
  char key[WY_RESULT_KEY_SIZE_BYTES];

  if (!r->has_more)
    return NULL;
  wy_result_key (position, key);
  return g_strdup (key);
}
