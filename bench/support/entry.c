/* Simulated entry: the placement of src/decide or a baseline, and retries.  */
#include <stddef.h>

#include "simulation_state.h"

#define RETRIES_MAX 2

static uint32_t
known_load (const struct wb_entry *e, const struct wb_policy *p, uint32_t i)
{
  if (p->place == WB_PLACE_LEAST_REPORTED)
    return e->reported[i];
  return e->reported[i] + e->started_since_report[i];
}

static uint32_t
least_loaded (struct wb_simulation *w, const struct wb_entry *e)
{
  uint32_t first = wy_rng_below (&w->place_rng, w->c->engines);
  uint32_t best = first;

  for (uint32_t k = 1; k < w->c->engines; k++)
    {
      uint32_t i = (first + k) % w->c->engines;

      if (known_load (e, w->p, i) < known_load (e, w->p, best))
        best = i;
    }
  return best;
}

static uint32_t
less_loaded_of_two (struct wb_simulation *w, const struct wb_entry *e)
{
  uint32_t a = wy_rng_below (&w->place_rng, w->c->engines);
  uint32_t b = wy_rng_below (&w->place_rng, w->c->engines);

  return known_load (e, w->p, a) <= known_load (e, w->p, b) ? a : b;
}

static int
pick (struct wb_simulation *w, struct wb_request *r)
{
  struct wb_entry *e = &w->entry[r->entry];

  switch (w->p->place)
    {
    case WB_PLACE_TABLE:
      return wy_placement_pick (e->place, &r->place, (int64_t)w->now_ms,
                                &w->place_rng);
    case WB_PLACE_ROUND_ROBIN:
      return (int)(e->next_target++ % w->c->engines);
    case WB_PLACE_LEAST_REPORTED:
      return (int)least_loaded (w, e);
    case WB_PLACE_TWO_CHOICES:
      return (int)less_loaded_of_two (w, e);
    }
  return -1;
}

static bool
attempt (struct wb_simulation *w, struct wb_request *r)
{
  struct wb_entry *e = &w->entry[r->entry];
  int slot = pick (w, r);

  if (slot < 0)
    return false;
  r->target = (uint32_t)slot;
  e->started_since_report[slot]++;
  wy_placement_request_started (e->place, r->target, &r->place,
                                (int64_t)w->now_ms);
  if (wb_agent_offer (w, r) != WY_ADMISSION_REFUSED)
    return true;
  wb_entry_request_ended (w, r, WY_OUTCOME_REFUSED);
  if (r->place.n_tried < WY_PLACEMENT_TRIED_MAX)
    r->place.tried[r->place.n_tried++] = r->target;
  return false;
}

/* Place R, and retry on other targets after rejections as far as the retry
   budget allows.  Returns whether R was accepted.  */
bool
wb_entry_place (struct wb_simulation *w, struct wb_request *r)
{
  struct wb_entry *e = &w->entry[r->entry];

  wy_retry_request (&e->retry);
  if (attempt (w, r))
    return true;
  for (uint32_t n = 0; n < RETRIES_MAX; n++)
    {
      if (wy_retry_take (&e->retry) < 0)
        return false;
      if (r->place.work_class != WY_CLASS_ROLLOUT
          && r->arrived_ms >= w->c->count_from_ms)
        w->f.retries++;
      if (attempt (w, r))
        return true;
    }
  return false;
}

/* Account for the end of R at its target with OUTCOME.  */
void
wb_entry_request_ended (struct wb_simulation *w, struct wb_request *r,
                        enum wy_outcome outcome)
{
  struct wb_entry *e = &w->entry[r->entry];

  if (e->started_since_report[r->target] > 0)
    e->started_since_report[r->target]--;
  wy_placement_request_ended (e->place, r->target, r->place.work_class,
                              outcome, (int64_t)w->now_ms);
}

/* Deliver the last load snapshot of TARGET to all entries.  */
void
wb_entry_load_reported (struct wb_simulation *w, uint32_t target)
{
  struct wb_agent *a = &w->agent[target];
  const struct wy_queue_load *l = &a->snapshot;
  struct wy_load_report r
      = { .callers = l->callers_running + l->callers_waiting,
          .rollouts_running = l->rollouts_running,
          .rollouts_waiting = l->rollouts_waiting,
          .streams_max = l->streams_max,
          .caller_wait_ms = l->caller_wait_ms,
          .us_per_token = l->us_per_token,
          .kv_free_tokens = l->kv_free_tokens };

  if (a->failed)
    return;
  for (uint32_t i = 0; i < w->c->entries; i++)
    {
      wy_placement_load_reported (w->entry[i].place, target, &r, 100,
                                  (int64_t)w->now_ms);
      w->entry[i].reported[target]
          = r.callers + r.rollouts_running + r.rollouts_waiting;
      w->entry[i].started_since_report[target] = 0;
    }
}

/* Deliver a cache event of TARGET to all entries.  */
void
wb_entry_cache_event (struct wb_simulation *w, uint32_t target,
                      uint64_t prefix, bool present)
{
  for (uint32_t i = 0; i < w->c->entries; i++)
    wy_placement_cache_event (w->entry[i].place, target, prefix, present,
                              (int64_t)w->now_ms);
}
