/* Internal state of a watch, shared by src/rows/watch*.c.  */
#ifndef WY_ROWS_WATCH_STATE_H
#define WY_ROWS_WATCH_STATE_H

#include <glib.h>

#include "base/rng.h"
#include "rows/watch.h"

struct wy_watch
{
  struct wy_watch_options o;
  uv_timer_t timer;
  struct wy_rng rng;
  GHashTable *known; /* "part\nkey" -> generation of the read that told it */
  uint64_t generation;
  int64_t version; /* the feed goes on from here */
  int64_t sync_version;
  int64_t answered_ms;
  int64_t called_ms;
  uint32_t retry_ms;
  char *from;          /* where the next page starts */
  GPtrArray *parts;    /* still to be read */
  GHashTable *skipped; /* set of parts left out of the full read */
  uint32_t reading;
  uint32_t reading_skipped; /* page reads of skipped parts in progress */
  bool skipped_check_due;   /* call should_read_part again for skipped parts */
  bool read_failed;
  bool reading_parts; /* some are to be read again */
  bool synced;
  bool calling;
  uint32_t pending_calls; /* unanswered calls to the store */
  bool timer_closed;
  bool closing;
};

bool wy_watch_finish_call (struct wy_watch *w);
void wy_watch_schedule_retry (struct wy_watch *w);
void wy_watch_tell (struct wy_watch *w, const struct wy_row *row);
void wy_watch_end_sync (struct wy_watch *w);
char *wy_watch_next_key (const struct wy_row *row);

void wy_watch_read_parts (struct wy_watch *w);
void wy_watch_read_skipped (struct wy_watch *w);

#endif
