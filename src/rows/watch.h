/* Follows a table of the store: all its rows first, then each change.  */
#ifndef WY_ROWS_WATCH_H
#define WY_ROWS_WATCH_H

#include "rows/rows.h"

struct wy_watch;

struct wy_watch_options
{
  uv_loop_t *loop;
  const struct wy_clock *clock;
  struct wy_rows *rows;
  const char *table;        /* static */
  bool all_partitions;      /* false: rows of the empty part alone */
  uint32_t min_interval_ms; /* least time between two calls */
  uint64_t seed;
  /* A row is new, changed or deleted; it may be told more than once.  */
  void (*on_row) (void *ctx, const struct wy_row *row);
  /* All rows are known; comes again when they had to be read anew.  */
  void (*on_synced) (void *ctx);
  void *ctx;
};

struct wy_watch *wy_watch_new (const struct wy_watch_options *o);
void wy_watch_free (struct wy_watch *w);
bool wy_watch_is_synced (const struct wy_watch *w);
int64_t wy_watch_age_ms (const struct wy_watch *w);

#endif
