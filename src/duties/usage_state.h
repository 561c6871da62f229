/* Internals of usage reports, shared by src/duties/usage*.c.  */
#ifndef WY_DUTIES_USAGE_STATE_H
#define WY_DUTIES_USAGE_STATE_H

#include "duties/usage.h"

/* Both tables have one partition for each window.  The counts table has one
   row for each entry.  The reports table has one row, with the body of the
   report, which is written once.  */
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
  WY_USAGE_READING,    /* the stored report */
  WY_USAGE_SUMMING,    /* reading the counts of all entries */
  WY_USAGE_PERSISTING, /* storing the report's body */
  WY_USAGE_SENDING
};

struct wy_usage
{
  struct wy_usage_options o;
  struct wy_usage_counts *counts;
  uv_timer_t tick;
  /* Storage of this entry's counts.  */
  uv_timer_t store_timer;
  int64_t stored_ms; /* when the last write started */
  struct wy_usage_window *storing;
  int64_t published_complete; /* last window passed to on_complete */
  /* Reporting, while this instance is the leader.  */
  enum wy_usage_phase phase;
  bool restart;   /* start again with the oldest window that is not overdue */
  int64_t window; /* next to report */
  int64_t not_before_ms; /* time of the next attempt */
  int64_t
      store_unreachable_ms; /* when the store was last unreachable; 0: never */
  GHashTable *sum;          /* gint64 * by organisation */
  uint32_t n_rows;          /* entries in sum */
  char *body;               /* of the report; NULL: not read or stored yet */
  bool is_forced;           /* not all entries have stored their counts */
  struct wy_usage_stats stats;
  /* Removal of old windows.  */
  bool cleanup_pending;
  int64_t removing_window; /* window */
  int64_t cleanup_due_ms;
  bool freed;
};

void wy_usage_partition (int64_t window, char *out);
int64_t wy_usage_wall_ms (const struct wy_usage *u);
int64_t wy_usage_now_ms (const struct wy_usage *u);
void wy_usage_schedule_store (struct wy_usage *u);
void wy_usage_report_step (struct wy_usage *u);
void wy_usage_cleanup (struct wy_usage *u);

#endif
