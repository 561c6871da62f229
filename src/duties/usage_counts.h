/* One entry's counts of the requests that targets have executed, by window of
   time and organisation.  */
#ifndef WY_DUTIES_USAGE_COUNTS_H
#define WY_DUTIES_USAGE_COUNTS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

struct wy_usage_window
{
  int64_t number;
  GHashTable *counts;  /* gint64 * by organisation */
  uint32_t open;       /* counted requests without an outcome yet */
  uint64_t changes;    /* number of changes to counts */
  uint64_t stored;     /* changes confirmed by the store */
  uint64_t storing;    /* changes in the write in progress; 0: none */
  int64_t row_version; /* of the stored row; 0: none yet */
};

struct wy_usage_counts;

struct wy_usage_counts *wy_usage_counts_new (uint32_t window_ms);
void wy_usage_counts_free (struct wy_usage_counts *c);
int64_t wy_usage_counts_begin (struct wy_usage_counts *c,
                               const char *organisation, int64_t wall_ms);
void wy_usage_counts_end (struct wy_usage_counts *c, int64_t window,
                          const char *organisation, bool executed);
struct wy_usage_window *wy_usage_counts_next (struct wy_usage_counts *c);
struct wy_usage_window *wy_usage_counts_find (struct wy_usage_counts *c,
                                              int64_t window);
int64_t wy_usage_counts_complete (struct wy_usage_counts *c, int64_t wall_ms);
char *wy_usage_counts_encode (const struct wy_usage_window *w);
void wy_usage_counts_add (GHashTable *sum, const void *p, size_t n);
GHashTable *wy_usage_counts_table_new (void);

#endif
