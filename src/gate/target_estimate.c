/* Estimates of the load and pace of targets.  */
#include <stdlib.h>

#include "gate/target_estimate.h"
#include "gate/targets_state.h"

enum
{
  /* The load reported in a response is out of date after this time.  */
  LOAD_VALID_MS = 1000,
  /* The pace of a target is unknown after this time without a new sample;
     otherwise a slow target would never be tried again.  */
  PACE_VALID_MS = 4000,
  /* Targets used for the median pace; more would not make it better.  */
  MEDIAN_SAMPLE_MAX = 64
};

/* Weight of a new sample in the moving average of the pace, which so covers
   about the last five samples.  */
static const double pace_smoothing = 0.2;

/* Estimated number of requests of all entries at G.  */
uint32_t
wy_target_load (const struct wy_target *g, int64_t now_ms)
{
  int64_t load;

  if (g->reported_ms == 0 || now_ms - g->reported_ms > LOAD_VALID_MS)
    return g->in_flight;
  load = (int64_t)g->reported_load + g->in_flight - g->in_flight_at_report;
  return load > (int64_t)g->in_flight ? (uint32_t)load : g->in_flight;
}

/* Pace of G at WORK in ms; UNKNOWN_MS if there is no recent sample.  */
double
wy_target_pace_ms (const struct wy_target *g, enum wy_work_kind work,
                   double unknown_ms, int64_t now_ms)
{
  const struct wy_work_pace *p = &g->pace[work];

  if (p->ms <= 0 || now_ms - p->seen_ms > PACE_VALID_MS)
    return unknown_ms;
  return p->ms;
}

static int
compare_values (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

/* Median pace at WORK, in ms, of the targets of SERVICE, which a few slow
   targets don't affect; 1 if none is known, so that costs can be compared.  */
double
wy_targets_median_pace_ms (const struct wy_targets *t, const char *service,
                           enum wy_work_kind work)
{
  double pace[MEDIAN_SAMPLE_MAX];
  GHashTableIter it;
  gpointer p;
  uint32_t n = 0;

  g_hash_table_iter_init (&it, t->by_id);
  while (g_hash_table_iter_next (&it, NULL, &p) && n < MEDIAN_SAMPLE_MAX)
    {
      const struct wy_target *g = p;

      if (g->pace[work].ms > 0 && wy_target_is_ready (g, service))
        pace[n++] = g->pace[work].ms;
    }
  if (n == 0)
    return 1;
  qsort (pace, n, sizeof *pace, compare_values);
  return pace[(n - 1) / 2];
}

/* Record the LOAD that G has reported: the number of requests of all entries,
   including this one.  */
void
wy_target_record_load (struct wy_target *g, uint32_t load, int64_t now_ms)
{
  g->reported_load = load;
  g->in_flight_at_report = g->in_flight;
  g->reported_ms = now_ms;
}

/* Record that G took MS for a unit of WORK.  */
void
wy_target_record_pace (struct wy_target *g, enum wy_work_kind work, double ms,
                       int64_t now_ms)
{
  struct wy_work_pace *p = &g->pace[work];

  if (p->ms <= 0 || now_ms - p->seen_ms > PACE_VALID_MS)
    p->ms = ms;
  else
    p->ms += pace_smoothing * (ms - p->ms);
  p->seen_ms = now_ms;
}

/* What was observed of SERVICE.  */
struct wy_service_estimate *
wy_targets_service (const struct wy_targets *t, const char *service)
{
  struct wy_service_estimate *e = g_hash_table_lookup (t->services, service);

  if (e)
    return e;
  e = g_new0 (struct wy_service_estimate, 1);
  g_hash_table_insert (t->services, g_strdup (service), e);
  return e;
}

static bool
has_recent_load (const struct wy_target *g, int64_t now_ms)
{
  return g->reported_ms && now_ms - g->reported_ms <= LOAD_VALID_MS;
}

/* Whether more requests than G has slots are known to be there, so that some
   of them wait.  */
bool
wy_target_is_full (const struct wy_target *g, int64_t now_ms)
{
  return wy_target_load (g, now_ms) > g->info.slots;
}

/* Whether G has a free slot by a recent report.  */
bool
wy_target_has_known_slot (const struct wy_target *g, int64_t now_ms)
{
  return has_recent_load (g, now_ms)
         && wy_target_load (g, now_ms) < g->info.slots;
}

/* Record that a run at SERVICE got its first event after MS.  */
void
wy_targets_record_first_event (const struct wy_targets *t, const char *service,
                               double ms)
{
  wy_running_median_add (&wy_targets_service (t, service)->first_event_ms, ms);
}

/* Usual time to the first event of a run at SERVICE; 0: unknown.  */
double
wy_targets_first_event_ms (const struct wy_targets *t, const char *service)
{
  return wy_targets_service (t, service)->first_event_ms.value;
}

/* Record that an item of EXPECTED_TOKENS by its submitter's estimate was
   complete after EVENTS at SERVICE.  An event holds several tokens, and how
   many depends on the service.  */
void
wy_targets_record_length (const struct wy_targets *t, const char *service,
                          uint32_t expected_tokens, uint32_t events)
{
  if (expected_tokens)
    wy_running_median_add (&wy_targets_service (t, service)->events_per_token,
                           (double)events / expected_tokens);
}

/* Expected number of events of an item of EXPECTED_TOKENS at SERVICE; 0:
   unknown.  */
double
wy_targets_expected_events (const struct wy_targets *t, const char *service,
                            uint32_t expected_tokens)
{
  return wy_targets_service (t, service)->events_per_token.value
         * expected_tokens;
}

/* Whether a slot of G is free as far as known.  Requests that wait for a
   response don't count: when one of several is rejected, the others will
   be.  */
bool
wy_target_seems_free (const struct wy_target *g, int64_t now_ms)
{
  uint32_t running = g->in_flight - MIN (g->unanswered, g->in_flight);

  if (has_recent_load (g, now_ms) && g->reported_load >= g->info.slots)
    return false;
  return running < g->info.slots;
}

/* Whether INFO shows a newer version of a model's weights than G is known to
   have.  */
bool
wy_target_row_is_newer (const struct wy_target *g,
                        const struct wy_replica *info)
{
  for (uint32_t i = 0; i < info->n_models; i++)
    if (info->models[i].version > wy_target_version (g, info->models[i].model))
      return true;
  return false;
}

/* Record that G has rejected a run although it has free slots.  Return whether
   a load of weights explains it.  */
bool
wy_target_load_rejected (struct wy_targets *t, struct wy_target *g,
                         int64_t now_ms)
{
  return wy_weight_load_rejected (
      &g->weight_load, &wy_targets_service (t, g->info.service)->load_time,
      now_ms);
}

/* Record that G has accepted a run started at STARTED_MS.  Return whether this
   is the first one after a load of weights.  */
bool
wy_target_run_accepted (struct wy_targets *t, struct wy_target *g,
                        int64_t started_ms, int64_t now_ms)
{
  g->refusals = 0;
  return wy_weight_load_accepted (
      &g->weight_load, &wy_targets_service (t, g->info.service)->load_time,
      started_ms, now_ms);
}

/* Usual duration of a load of weights at SERVICE.  */
double
wy_targets_load_time_ms (const struct wy_targets *t, const char *service)
{
  return wy_weight_load_usual_ms (&wy_targets_service (t, service)->load_time);
}
