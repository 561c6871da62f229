/* The time per event of job items at targets, by the number of runs there.  */
#include "gate/target_pace.h"

#include <string.h>

#include "gate/targets_state.h"

enum
{
  /* Speeds of targets are compared at this interval.  */
  SPREAD_INTERVAL_MS = 500,
  /* Targets that are compared; more would not make it better.  */
  SPREAD_TARGETS_MAX = 64
};

/* Number of runs at G, without those that wait there.  */
static uint32_t
runs_at (const struct wy_target *g, int64_t now_ms)
{
  return MIN (wy_target_load (g, now_ms), g->info.slots);
}

/* Record that events of a job item took EVENT_MS each at G.  */
void
wy_target_record_events (struct wy_targets *t, struct wy_target *g,
                         double event_ms, int64_t now_ms)
{
  wy_target_record_pace (g, WY_WORK_EVENT, event_ms, now_ms);
  wy_pace_record (&wy_targets_service (t, g->info.service)->pace,
                  &g->event_pace, runs_at (g, now_ms), event_ms, now_ms);
}

/* Record the percentage that G has reported with its load.  */
void
wy_target_record_percent (struct wy_targets *t, struct wy_target *g,
                          uint32_t percent, int64_t now_ms)
{
  wy_pace_record_percent (&wy_targets_service (t, g->info.service)->pace,
                          &g->event_pace, percent, now_ms);
}

static void
update_spread (const struct wy_targets *t, struct wy_service_estimate *e,
               const char *service)
{
  double paces_ms[SPREAD_TARGETS_MAX];
  GHashTableIter it;
  gpointer p;
  size_t n = 0;

  g_hash_table_iter_init (&it, t->by_id);
  while (n < SPREAD_TARGETS_MAX && g_hash_table_iter_next (&it, NULL, &p))
    {
      const struct wy_target *g = p;
      double ms = wy_pace_settled_ms (&g->event_pace);

      if (ms > 0 && wy_target_is_ready (g, service))
        paces_ms[n++] = ms;
    }
  wy_pace_spread_update (&e->spread, paces_ms, n);
}

/* Whether targets of SERVICE are chosen by their pace by load: their speeds
   are uneven, or they report a percentage.  */
bool
wy_targets_are_paced_by_load (struct wy_targets *t, const char *service,
                              int64_t now_ms)
{
  struct wy_service_estimate *e = wy_targets_service (t, service);

  if (!e->spread_ms || now_ms - e->spread_ms >= SPREAD_INTERVAL_MS)
    {
      update_spread (t, e, service);
      e->spread_ms = now_ms;
    }
  return e->pace.percent_reported || e->spread.uneven;
}

/* Return whether the rule for SERVICE has changed since the last call, and
   store its inputs in OUT.  */
bool
wy_targets_by_load_changed (struct wy_targets *t, const char *service,
                            struct wy_pace_by_load *out)
{
  struct wy_service_estimate *e = wy_targets_service (t, service);

  *out
      = (struct wy_pace_by_load){ .on = e->pace.percent_reported
                                        || e->spread.uneven,
                                  .percent_reported = e->pace.percent_reported,
                                  .ratio = e->spread.ratio,
                                  .slope = e->pace.slope };
  if (out->on == e->by_load_reported)
    return false;
  e->by_load_reported = out->on;
  return true;
}

/* Expected time per event at G with one run more than now; UNKNOWN_MS if
   nothing is known of G.  */
static double
expected_ms (const struct wy_service_estimate *e, const struct wy_target *g,
             double unknown_ms, int64_t now_ms)
{
  uint32_t runs = runs_at (g, now_ms) + 1;
  double ms = wy_pace_expected_ms (&e->pace, &g->event_pace, runs, now_ms);

  if (ms <= 0)
    ms = wy_pace_usual_ms (&e->pace, &g->event_pace, runs);
  return ms > 0 ? ms : unknown_ms;
}

/* Expected time per event of one more run at G; UNKNOWN_MS if nothing is known
   of G.  */
double
wy_target_event_ms (struct wy_targets *t, const struct wy_target *g,
                    double unknown_ms, int64_t now_ms)
{
  if (!wy_targets_are_paced_by_load (t, g->info.service, now_ms))
    return wy_target_pace_ms (g, WY_WORK_EVENT, unknown_ms, now_ms);
  return expected_ms (wy_targets_service (t, g->info.service), g, unknown_ms,
                      now_ms);
}

/* Time per event at G with the runs that it has now, without temporary
   slow-downs; 0: unknown.  */
double
wy_target_usual_event_ms (const struct wy_targets *t,
                          const struct wy_target *g, int64_t now_ms)
{
  return wy_pace_usual_ms (&wy_targets_service (t, g->info.service)->pace,
                           &g->event_pace, runs_at (g, now_ms));
}

static struct wy_pace_offer
offer_of (const struct wy_service_estimate *e, const struct wy_target *g,
          double unknown_ms, int64_t now_ms)
{
  uint32_t runs = runs_at (g, now_ms);
  struct wy_pace_offer offer
      = { .event_ms = expected_ms (e, g, unknown_ms, now_ms),
          .occupied_part = (double)runs / g->info.slots,
          .is_slow = wy_pace_spread_is_slow (
              &e->spread, wy_pace_settled_ms (&g->event_pace)) };

  offer.others_ms
      = runs * offer.event_ms * e->pace.slope / (1 + e->pace.slope * runs);
  return offer;
}

/* Cost of running the item I at G, by the pace of G at its load.  */
double
wy_target_cost_by_load (const struct wy_targets *t, const struct wy_target *g,
                        const struct wy_pace_item *i, double unknown_ms,
                        int64_t now_ms)
{
  struct wy_pace_offer offer = offer_of (
      wy_targets_service (t, g->info.service), g, unknown_ms, now_ms);

  return wy_pace_choice_cost (i, &offer);
}

/* Whether the item I should wait for a fast target instead of running at G,
   the best one now.  */
bool
wy_target_is_too_slow (const struct wy_targets *t, const struct wy_target *g,
                       const struct wy_pace_item *i, int64_t now_ms)
{
  const struct wy_service_estimate *e
      = wy_targets_service (t, g->info.service);
  struct wy_pace_offer offer = offer_of (e, g, e->spread.fastest_ms, now_ms);

  return wy_pace_choice_waits (
      i, &offer,
      e->spread.fastest_ms * wy_pace_run_factor (&e->pace, g->info.slots));
}
