/* Usage: counting, and what drives storing and reporting.  */
#include "duties/usage_state.h"

#include <inttypes.h>
#include <stdio.h>

#include "trace/json_log.h"

enum
{
  TICK_MS = 100
};

/* The part that the rows of WINDOW lie in.  OUT has WY_USAGE_PART_SIZE_BYTES.
 */
void
wy_usage_partition (int64_t window, char *out)
{
  snprintf (out, WY_USAGE_PARTITION_SIZE_BYTES, "%" PRId64, window);
}

/* Time since the epoch, by the store's clock, which all entries share; the
   time of day of one instance may be off or step.  0: not known yet.  */
int64_t
wy_usage_true_ms (const struct wy_usage *u)
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

/* A request of ORGANISATION is sent to a target.  Returns the window that it
   is counted in, for wy_usage_end; 0: it is not counted.  */
int64_t
wy_usage_begin (struct wy_usage *u, const char *organisation)
{
  int64_t true_ms = wy_usage_true_ms (u);
  int64_t window;

  if (!true_ms)
    {
      wy_json_log ("usage.uncounted", "organisation=%s reason=no_time",
                   organisation);
      return 0;
    }
  window = wy_usage_counts_begin (u->counts, organisation, true_ms);
  wy_usage_store_soon (u);
  return window;
}

/* The request of ORGANISATION that was counted in WINDOW, which may be 0, has
   ended; BEGUN unless no target has run it.  */
void
wy_usage_end (struct wy_usage *u, int64_t window, const char *organisation,
              bool begun)
{
  if (!window)
    return;
  wy_usage_counts_end (u->counts, window, organisation, begun);
  if (!begun)
    wy_usage_store_soon (u);
}

static void
on_tick (uv_timer_t *t)
{
  struct wy_usage *u = t->data;
  int64_t true_ms = wy_usage_true_ms (u);
  int64_t complete;

  if (!true_ms)
    return;
  if (wy_rows_is_unreachable (u->o.rows))
    u->away_ms = wy_usage_now_ms (u);
  complete = wy_usage_counts_complete (u->counts, true_ms);
  if (complete != u->told_complete)
    {
      u->told_complete = complete;
      u->o.on_complete (u->o.ctx, complete);
    }
  if (!wy_election_is_leader (u->o.election))
    return;
  wy_usage_report_step (u);
  wy_usage_clean (u);
}

/* The lease of the duties is held from now on: all windows whose reports are
   not overdue are gone through, since it is not known which of them the holder
   before has sent.  */
void
wy_usage_on_elected (struct wy_usage *u)
{
  /* A step of an earlier hold may still be under way.  */
  u->restart = true;
}

/* Count and report as O says.  */
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

/* Stop.  The memory of U stays, since calls of it may be under way.  */
void
wy_usage_free (struct wy_usage *u)
{
  u->freed = true;
  uv_close ((uv_handle_t *)&u->tick, NULL);
  uv_close ((uv_handle_t *)&u->store_timer, NULL);
}

/* Tell how reporting goes.  */
void
wy_usage_stats (const struct wy_usage *u, struct wy_usage_stats *out)
{
  *out = u->stats;
}
