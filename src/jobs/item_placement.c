/* What the choice of a target needs to know of a job item.  */
#include "jobs/item_placement.h"

#include <stdlib.h>

#include "decide/run_move.h"
#include "gate/target_estimate.h"
#include "gate/target_pace.h"
#include "trace/json_log.h"

enum
{
  /* The median length of the waiting items is computed at this interval.  */
  MEDIAN_INTERVAL_MS = 100
};

/* Number of events of the text of I, whose ids begin at 1.  */
uint32_t
wy_item_events (const struct wy_item *i)
{
  return i->last_event > 0 ? (uint32_t)i->last_event : 0;
}

/* Time until I, which was submitted by ROUTE, is due, if the route says so. */
double
wy_item_time_left_ms (const struct wy_item *i, const struct wy_route *route)
{
  const struct wy_active_job *o = i->job;
  int64_t age_ms = wy_active_job_age_ms (o);

  if (age_ms < 0)
    age_ms = wy_clock_mono_ms (o->env->clock) - o->started_ms;
  return (double)route->result_deadline_ms - (double)age_ms;
}

static int
compare_tokens (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;

  return x < y ? -1 : x > y;
}

/* Median of the expected tokens of the waiting items of O; 0: none waits.  */
static uint32_t
waiting_median (struct wy_active_job *o, int64_t now_ms)
{
  uint32_t *tokens;
  uint32_t n = 0;

  if (o->waiting_median_ms
      && now_ms - o->waiting_median_ms < MEDIAN_INTERVAL_MS)
    return o->waiting_median_tokens;
  tokens = g_new (uint32_t, o->n_items);
  for (uint32_t k = 0; k < o->n_items; k++)
    if (o->items[k].state == WY_ITEM_WAITING)
      tokens[n++] = o->items[k].spec->expected_tokens;
  qsort (tokens, n, sizeof *tokens, compare_tokens);
  o->waiting_median_tokens = n ? tokens[n / 2] : 0;
  o->waiting_median_ms = now_ms;
  g_free (tokens);
  return o->waiting_median_tokens;
}

static void
log_change (struct wy_targets *t, const char *service)
{
  struct wy_pace_by_load p;

  if (wy_targets_by_load_changed (t, service, &p))
    wy_json_log ("pace.by_load",
                 "service=%s on=%d ratio=%.2f slope=%.3f "
                 "percent_reported=%d",
                 service, p.on, p.ratio, p.slope, p.percent_reported);
}

/* Store in OUT what the choice of a target of SERVICE for I by its length
   needs, and return true.  Return false if targets are not chosen like this:
   the service has no engines with slots in the configuration, or they are
   equally fast.  */
static bool
placement_of (const struct wy_item *i, const char *service,
              const struct wy_route *route, struct wy_pace_item *out)
{
  struct wy_active_job *o = i->job;
  struct wy_targets *t = o->env->targets;
  const struct wy_service *s = wy_routing_service (o->env->routing, service);
  int64_t now_ms = wy_clock_mono_ms (o->env->clock);
  uint32_t tokens = i->spec->expected_tokens;
  struct wy_run_move_options m = { .events_done = wy_item_events (i) };
  bool by_load;

  if (!s || !s->slots)
    return false;
  by_load = wy_targets_are_paced_by_load (t, service, now_ms);
  log_change (t, service);
  if (!by_load)
    return false;
  m.expected_events = wy_targets_expected_events (t, service, tokens);
  *out = (struct wy_pace_item){
    .events_left = m.expected_events > 0 ? wy_run_move_events_left (&m) : 0,
    .is_long = tokens >= waiting_median (o, now_ms),
    .has_due = route->result_deadline_ms > 0,
    .time_left_ms = wy_item_time_left_ms (i, route)
  };
  return true;
}

/* Pick a target for I, which was submitted by ROUTE, by the criteria Q. Return
   NULL if none is suitable, or if I should wait for a faster one, which is
   recorded in its job.  */
struct wy_target *
wy_item_placement_pick (const struct wy_item *i, const struct wy_route *route,
                        struct wy_target_criteria *q)
{
  struct wy_targets *t = i->job->env->targets;
  int64_t now_ms = wy_clock_mono_ms (i->job->env->clock);
  struct wy_pace_item by_length;
  struct wy_target *g;

  if (!placement_of (i, q->service, route, &by_length))
    return wy_targets_pick (t, q, now_ms);
  q->item = &by_length;
  g = wy_targets_pick (t, q, now_ms);
  if (!g || !wy_target_is_too_slow (t, g, &by_length, now_ms))
    return g;
  i->job->left_slow_slot = true;
  return NULL;
}
