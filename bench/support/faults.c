/* Faults and changes during a case: a slow engine, a lost availability zone, a
   swap of weights.  */
#include <stddef.h>
#include <stdlib.h>

#include "decide/waves.h"
#include "simulation_state.h"

#define SLOW_SPEED 0.1
/* Time until missing heartbeats reveal a failed target.  */
#define DETECTION_MS 500
#define SWAP_MS 500
#define WAVE_TICK_MS 100

/* Schedule the faults of the case.  */
void
wb_faults_schedule (struct wb_simulation *w)
{
  if (w->c->slow_at_ms > 0)
    wb_events_add (&w->events, w->c->slow_at_ms, WB_EV_SLOW, 0, 0);
  if (w->c->az_lost_at_ms > 0)
    wb_events_add (&w->events, w->c->az_lost_at_ms, WB_EV_AZ_LOST, 0, 0);
  if (w->c->swap_at_ms > 0)
    wb_events_add (&w->events, w->c->swap_at_ms, WB_EV_WAVE, 0, 0);
}

static void
az_lost (struct wb_simulation *w)
{
  for (uint32_t i = 0; i < w->c->engines; i++)
    if (w->agent[i].az == 0)
      {
        wb_engine_advance (&w->agent[i].engine, w->now_ms);
        w->agent[i].failed = true;
      }
  wb_events_add (&w->events, w->now_ms + DETECTION_MS, WB_EV_AZ_LOSS_DETECTED,
                 0, 0);
}

static void
place_elsewhere (struct wb_simulation *w, struct wb_request *r)
{
  wb_entry_request_ended (w, r, WY_OUTCOME_FAILED);
  r->item.evicted = true;
  r->item.started = false;
  if (wb_entry_place (w, r))
    return;
  if (r->place.work_class != WY_CLASS_ROLLOUT)
    {
      wb_reject_caller (w, r);
      return;
    }
  if (r->trainer != WB_NO_TRAINER)
    wb_trainer_sample_failed (w, r);
  wb_request_free (w, r);
}

static void
detect_az_loss (struct wb_simulation *w)
{
  /* As an entry does when its connections to the targets time out.  */
  for (uint32_t i = 0; i < w->c->entries; i++)
    for (uint32_t k = 0; k < w->c->engines; k++)
      if (w->agent[k].failed)
        wy_placement_drain (w->entry[i].place, k);
  for (uint32_t i = 0; i < w->n_req; i++)
    {
      struct wb_request *r = w->req[i];

      if (!r->live || !w->agent[r->target].failed)
        continue;
      wb_agent_remove (w, r);
      place_elsewhere (w, r);
    }
}

static void
begin_swap (struct wb_simulation *w, uint32_t i)
{
  w->agent[i].swapping = true;
  w->swapping++;
  wb_agent_set_stopped (w, i, true);
  wb_events_add (&w->events, w->now_ms + SWAP_MS, WB_EV_SWAPPED, i, 0);
}

static double
caller_share (const struct wb_simulation *w)
{
  double callers = 0;

  for (uint32_t i = 0; i < w->c->engines; i++)
    callers += w->agent[i].queue.running_callers.n;
  return callers / ((double)w->c->engines * WB_STREAMS_MAX);
}

static void
activate_wave (struct wb_simulation *w)
{
  uint32_t n = w->c->engines;
  struct wy_wave_replica *r = calloc (n, sizeof *r);
  uint32_t *out = calloc (n, sizeof *out);
  struct wy_wave_options o
      = { .swap_ms = SWAP_MS, .load_share = caller_share (w) };
  uint32_t n_chosen;

  if (!r || !out)
    abort ();
  for (uint32_t i = 0; i < n; i++)
    {
      r[i].az = w->agent[i].az;
      r[i].callers = w->agent[i].queue.running_callers.n;
      r[i].staged = !w->agent[i].swapping;
      r[i].done = w->agent[i].swapped;
    }
  n_chosen = wy_wave_next (&o, r, n, w->swapping, out, n);
  for (uint32_t i = 0; i < n_chosen; i++)
    begin_swap (w, out[i]);
  free (r);
  free (out);
  if (w->swapped < n)
    wb_events_add (&w->events, w->now_ms + WAVE_TICK_MS, WB_EV_WAVE, 0, 0);
}

static void
swapped (struct wb_simulation *w, uint32_t i)
{
  w->agent[i].swapped = true;
  w->agent[i].swapping = false;
  w->swapping--;
  if (++w->swapped == w->c->engines)
    w->f.swap_ms = w->now_ms - w->c->swap_at_ms;
  wb_agent_set_stopped (w, i, false);
}

/* Handle the fault event E.  */
void
wb_fault_inject (struct wb_simulation *w, const struct wb_event *e)
{
  switch ((enum wb_event_kind)e->kind)
    {
    case WB_EV_SLOW:
      wb_engine_advance (&w->agent[0].engine, w->now_ms);
      w->agent[0].engine.speed = SLOW_SPEED;
      wb_agent_poll (w, 0);
      return;
    case WB_EV_AZ_LOST:
      az_lost (w);
      return;
    case WB_EV_AZ_LOSS_DETECTED:
      detect_az_loss (w);
      return;
    case WB_EV_WAVE:
      activate_wave (w);
      return;
    case WB_EV_SWAPPED:
      swapped (w, e->index);
      return;
    default:
      return;
    }
}
