/* Counting of usage, and the timer that drives storage and reporting.  */
#include "duties/usage_state.h"

#include <inttypes.h>
#include <stdio.h>

#include "trace/json_log.h"

enum
{
  TICK_MS = 100
};

/* Write the partition of WINDOW to OUT, WY_USAGE_PARTITION_SIZE_BYTES long. */
void
wy_usage_partition (int64_t window, char *out)
{
  snprintf (out, WY_USAGE_PARTITION_SIZE_BYTES, "%" PRId64, window);
}

/* Wall-clock time in ms since the epoch, derived from the store's clock, which
   all entries share: the wall clock of an instance may be wrong or step.  0:
   not known yet.  */
int64_t
wy_usage_wall_ms (const struct wy_usage *u)
{
  int64_t store_ms = wy_rows_store_now_ms (u->o.rows);
  int64_t epoch_ms = u->o.epoch_ms (u->o.ctx);

  return store_ms && epoch_ms ? store_ms + epoch_ms : 0;
}

/* Monotonic time in ms.  */
int64_t
wy_usage_now_ms (const struct wy_usage *u)
{
  return wy_clock_mono_ms (u->o.clock);
}

/* Count a request of ORGANISATION that is being sent to a target.  Returns its
   window, for wy_usage_end, or 0 if it is not counted.  */
int64_t
wy_usage_begin (struct wy_usage *u, const char *organisation)
{
  int64_t wall_ms = wy_usage_wall_ms (u);
  int64_t window;

  if (!wall_ms)
    {
      wy_json_log ("usage.uncounted", "organisation=%s reason=no_time",
                   organisation);
      return 0;
    }
  window = wy_usage_counts_begin (u->counts, organisation, wall_ms);
  wy_usage_schedule_store (u);
  return window;
}

/* A request of ORGANISATION counted in WINDOW (0: not counted) has ended.
   Unless EXECUTED, no target has run it and its count is taken back.  */
void
wy_usage_end (struct wy_usage *u, int64_t window, const char *organisation,
              bool executed)
{
  if (!window)
    return;
  wy_usage_counts_end (u->counts, window, organisation, executed);
  if (!executed)
    wy_usage_schedule_store (u);
}

static void
on_tick (uv_timer_t *t)
{
  struct wy_usage *u = t->data;
  int64_t wall_ms = wy_usage_wall_ms (u);
  int64_t complete;

  if (!wall_ms)
    return;
  if (wy_rows_is_unreachable (u->o.rows))
    u->store_unreachable_ms = wy_usage_now_ms (u);
  complete = wy_usage_counts_complete (u->counts, wall_ms);
  if (complete != u->published_complete)
    {
      u->published_complete = complete;
      u->o.on_complete (u->o.ctx, complete);
    }
  if (!wy_election_is_leader (u->o.election))
    return;
  wy_usage_report_step (u);
  wy_usage_cleanup (u);
}

/* This instance has become the leader.  It starts with the oldest window that
   is not overdue, since it is unknown which reports the previous leader has
   sent.  */
void
wy_usage_on_elected (struct wy_usage *u)
{
  /* A step of an earlier term may still be in progress.  */
  u->restart = true;
}

/* Start counting and reporting with options O.  */
struct wy_usage *
wy_usage_new (const struct wy_usage_options *o)
{
  struct wy_usage *u = g_new0 (struct wy_usage, 1);

  u->o = *o;
  u->counts = wy_usage_counts_new (o->window_ms);
  uv_timer_init (o->loop, &u->store_timer);
  u->store_timer.data = u;
  uv_timer_init (o->loop, &u->tick);
  u->tick.data = u;
  uv_timer_start (&u->tick, on_tick, TICK_MS, TICK_MS);
  return u;
}

/* Stop.  U itself is not freed, since calls may be in progress.  */
void
wy_usage_free (struct wy_usage *u)
{
  u->freed = true;
  uv_close ((uv_handle_t *)&u->tick, NULL);
  uv_close ((uv_handle_t *)&u->store_timer, NULL);
}

/* Store the statistics of reporting in OUT.  */
void
wy_usage_stats (const struct wy_usage *u, struct wy_usage_stats *out)
{
  *out = u->stats;
}
