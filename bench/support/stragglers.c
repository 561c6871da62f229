/* Samples that take much longer than others: handled as src/decide/steps says,
   or by the baseline that cancels and restarts them.  */
#include "simulation_state.h"

/* The baseline restarts a sample at this multiple of the median length.  */
#define RESTART_FACTOR 5

static void
move_sample (struct wb_simulation *w, struct wb_open_step *s, uint32_t sample)
{
  struct wb_request *r = s->sample[sample];
  uint32_t from = r->target;
  uint32_t best = from;

  for (uint32_t i = 0; i < w->c->engines; i++)
    if (!w->agent[i].failed && w->agent[i].engine.n < w->agent[best].engine.n)
      best = i;
  wy_step_moved (s->step, sample);
  if (best == from || r->item.state != WY_QUEUE_ITEM_RUNNING)
    return;
  wb_agent_remove (w, r);
  wb_entry_request_ended (w, r, WY_OUTCOME_CANCELLED);
  r->target = best;
  wy_placement_request_started (w->entry[r->entry].place, best, &r->place,
                                (int64_t)w->now_ms);
  wb_agent_offer (w, r);
  wb_agent_poll (w, from);
}

static void
restart_stragglers (struct wb_simulation *w, struct wb_open_step *s)
{
  double limit = RESTART_FACTOR * w->c->rollout_tokens;

  for (uint32_t k = 0; k < wy_step_samples_max (s->step); k++)
    {
      const struct wb_request *r = s->sample[k];

      if (!r || r->item.state != WY_QUEUE_ITEM_RUNNING)
        continue;
      if (r->tokens - (r->stream.end_v - w->agent[r->target].engine.v) < limit)
        continue;
      wb_trainer_cancel_sample (w, s, k);
      wy_step_failed (s->step, k);
    }
}

static void
report_progress (struct wb_simulation *w, struct wb_open_step *s)
{
  for (uint32_t k = 0; k < wy_step_samples_max (s->step); k++)
    {
      const struct wb_request *r = s->sample[k];
      const struct wb_engine *e;
      double left;

      if (!r)
        continue;
      e = &w->agent[r->target].engine;
      left = r->stream.left_tokens;
      if (r->item.state == WY_QUEUE_ITEM_RUNNING)
        left = r->stream.end_v - e->v;
      wy_step_progress (s->step, k,
                        left < r->tokens ? (uint32_t)(r->tokens - left) : 0,
                        r->item.state == WY_QUEUE_ITEM_RUNNING
                            ? (uint32_t)(wb_token_ms (e->n) / e->speed * 1000)
                            : WY_STEP_STALLED_US);
    }
}

static void
handle_stragglers (struct wb_simulation *w, struct wb_trainer *t,
                   struct wb_open_step *s)
{
  for (;;)
    {
      struct wy_step_inputs now = wb_trainer_step_inputs (w, t);
      struct wy_straggler what = wy_step_straggler (s->step, &now);

      switch (what.action)
        {
        case WY_STRAGGLER_NONE:
          return;
        case WY_STRAGGLER_MOVE:
          move_sample (w, s, what.sample);
          break;
        case WY_STRAGGLER_DROP:
        case WY_STRAGGLER_CANCEL:
          wb_trainer_cancel_sample (w, s, what.sample);
          break;
        }
    }
}

/* Report the progress of the samples of S to its step, and handle its
   stragglers.  */
void
wb_stragglers_handle (struct wb_simulation *w, struct wb_trainer *t,
                      struct wb_open_step *s)
{
  report_progress (w, s);
  if (w->p->straggler == WB_STRAGGLER_RESTART)
    restart_stragglers (w, s);
  else
    handle_stragglers (w, t, s);
}
