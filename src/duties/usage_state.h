/* Inside of the usage reports: src/duties/usage*.c.  */
#ifndef WY_DUTIES_USAGE_STATE_H
#define WY_DUTIES_USAGE_STATE_H

#include "duties/usage.h"

/* Both tables have a part a window.  Counts: a row an entry.  Reports: one row
   with the text that is sent, written once.  */
#define WY_USAGE_COUNTS_TABLE "wy-usage"
#define WY_USAGE_REPORTS_TABLE "wy-usage-reports"
#define WY_USAGE_REPORT_KEY "report"

enum
{
  WY_USAGE_PARTITION_SIZE_BYTES = 24
};

enum wy_usage_phase
{
  WY_USAGE_IDLE,
  WY_USAGE_READING, /* the fixed text */
  WY_USAGE_ADDING,  /* the entries' counts */
  WY_USAGE_FIXING,
  WY_USAGE_SENDING
};

struct wy_usage
{
  struct wy_usage_options o;
  struct wy_usage_counts *counts;
  uv_timer_t tick;
  /* Storing the counts of this entry.  */
  uv_timer_t store_timer;
  int64_t stored_ms; /* the last write began */
  struct wy_usage_window *storing;
  int64_t told_complete;
  /* Reporting, while the lease is held.  */
  enum wy_usage_phase phase;
  bool restart;    /* go through all windows that are not overdue */
  int64_t window;  /* to be reported next */
  int64_t wait_ms; /* no step before this time */
  int64_t away_ms; /* the store was last away */
  GHashTable *sum; /* gint64 * by organisation */
  uint32_t n_rows;
  char *text;
  bool is_forced;
  struct wy_usage_stats stats;
  /* Removing old windows.  */
  bool cleaning;
  int64_t removing; /* window */
  int64_t clean_due_ms;
  bool freed;
};

void wy_usage_partition (int64_t window, char *out);
int64_t wy_usage_true_ms (const struct wy_usage *u);
int64_t wy_usage_now_ms (const struct wy_usage *u);
void wy_usage_store_soon (struct wy_usage *u);
void wy_usage_report_step (struct wy_usage *u);
void wy_usage_clean (struct wy_usage *u);

#endif
