/* Usage reports.  Each entry counts requests by organisation and window of
   time and stores its counts.  The leader sums the counts of all entries and
   sends the platform one report for each window.  */
#ifndef WY_DUTIES_USAGE_H
#define WY_DUTIES_USAGE_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

#include "base/clock.h"
#include "duties/election.h"
#include "duties/calls.h"
#include "duties/usage_counts.h"
#include "rows/rows.h"

struct wy_usage;

struct wy_usage_options
{
  uv_loop_t *loop;
  const struct wy_clock *clock;
  struct wy_rows *rows;
  const char *counts_row_key; /* unique to one start of the instance */
  struct wy_election *election;
  struct wy_duty_calls *calls;
  uint32_t window_ms;
  uint32_t report_deadline_ms; /* after the window's end */
  /* Wall-clock time at zero of the store's clock; 0: not known yet.  */
  int64_t (*epoch_ms) (void *ctx);
  /* Newest window whose counts all live entries have stored.  */
  int64_t (*newest_complete_window) (void *ctx);
  /* All counts of this entry up to WINDOW are stored.  */
  void (*on_complete) (void *ctx, int64_t window);
  void *ctx;
};

struct wy_usage_stats
{
  uint64_t reported; /* windows accepted by the platform */
  uint64_t late;     /* reported after their deadline */
  uint64_t missed;   /* skipped, long after their deadline */
  uint64_t rejected; /* by the platform */
  uint64_t forced;   /* reported without the counts of some entry */
  int64_t last_window;
};

struct wy_usage *wy_usage_new (const struct wy_usage_options *o);
void wy_usage_free (struct wy_usage *u);
int64_t wy_usage_begin (struct wy_usage *u, const char *organisation);
void wy_usage_end (struct wy_usage *u, int64_t window,
                   const char *organisation, bool executed);
void wy_usage_on_elected (struct wy_usage *u);
void wy_usage_stats (const struct wy_usage *u, struct wy_usage_stats *out);

#endif
