/* Watch on a table of the store: reports all its rows first, then each
   change.  */
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
  bool all_partitions;      /* false: only the empty partition */
  uint32_t min_interval_ms; /* between two calls */
  uint64_t seed;
  /* A row is new, changed or deleted; may be reported more than once.  */
  void (*on_row) (void *ctx, const struct wy_row *row);
  /* All rows have been reported; called again after each complete reread.  */
  void (*on_synced) (void *ctx);
  void *ctx;
};

struct wy_watch *wy_watch_new (const struct wy_watch_options *o);
void wy_watch_free (struct wy_watch *w);
bool wy_watch_is_synced (const struct wy_watch *w);
int64_t wy_watch_age_ms (const struct wy_watch *w);

#endif
