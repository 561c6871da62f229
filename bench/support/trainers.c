/* Simulated trainers.  Each takes a batch when it is complete, trains, and
   publishes new weights.  Samples of later steps are issued meanwhile as far
   as src/decide/steps allows.  */
#include <stdlib.h>

#include "simulation_state.h"

#define TICK_MS 500
#define GROUP_SIGMA 0.4
#define PREDICTION_SIGMA 0.15
#define PROMPT_TOKENS 200
/* Samples queued beyond the running ones, so that an engine never waits for an
   entry.  */
#define QUEUED_PER_ENGINE 4

static struct wy_rng
sample_rng (const struct wb_simulation *w, uint32_t i, uint64_t step,
            uint32_t what)
{
  struct wy_rng r;

  wy_rng_seed (&r, w->seed ^ ((uint64_t)(i + 1) << 56) ^ (step << 32) ^ what);
  wy_rng_u64 (&r);
  return r;
}

static uint32_t
group_median (const struct wb_simulation *w, uint32_t i, uint64_t step,
              uint32_t g)
{
  struct wy_rng rng = sample_rng (w, i, step, g);

  return wb_lognormal (&rng, w->c->rollout_tokens, GROUP_SIGMA);
}

static void
open_step (struct wb_simulation *w, uint32_t i)
{
  struct wb_trainer *t = &w->trainer[i];
  struct wb_open_step *s = &t->open[t->n_open++];
  struct wy_step_options o
      = { .step = ++t->step_no,
          .version = t->step_no,
          .groups = t->c->groups,
          .group_samples = t->c->group_samples,
          .staleness_max = t->c->staleness_max,
          .weights = { t->c->weigh_staleness, t->c->weigh_idle } };

  *s = (struct wb_open_step){ .step = wy_step_new (&o), .version = o.version };
  if (!s->step)
    abort ();
  s->sample
      = calloc (wy_step_samples_max (s->step), sizeof (struct wb_request *));
  if (!s->sample)
    abort ();
  for (uint32_t g = 0; g < o.groups; g++)
    {
      struct wy_rng rng = sample_rng (w, i, o.step, g + (1U << 20));
      uint32_t median = group_median (w, i, o.step, g);

      wy_step_predict (s->step, g,
                       wb_lognormal (&rng, median, PREDICTION_SIGMA));
    }
}

static void
close_first (struct wb_trainer *t)
{
  wy_step_free (t->open[0].step);
  free (t->open[0].sample);
  t->n_open--;
  for (uint32_t k = 0; k < t->n_open; k++)
    t->open[k] = t->open[k + 1];
}

/* The open step STEP of T; NULL if it is closed.  */
static struct wb_open_step *
find_open (struct wb_trainer *t, uint64_t step)
{
  for (uint32_t k = 0; k < t->n_open; k++)
    if (t->open[k].version == step)
      return &t->open[k];
  return NULL;
}

static uint32_t
free_streams (const struct wb_simulation *w, const struct wb_trainer *t)
{
  uint32_t all = w->c->engines * (WB_STREAMS_MAX + QUEUED_PER_ENGINE);

  return t->running < all ? all - t->running : 0;
}

/* The inputs to a decision about a step of T.  */
struct wy_step_inputs
wb_trainer_step_inputs (const struct wb_simulation *w,
                        const struct wb_trainer *t)
{
  uint32_t least = WB_STREAMS_MAX;
  struct wy_step_inputs now = { .now_ms = (int64_t)w->now_ms,
                                .version = t->version,
                                .free_streams = free_streams (w, t) };

  for (uint32_t i = 0; i < w->c->engines; i++)
    if (w->agent[i].engine.n < least)
      least = w->agent[i].engine.n;
  now.us_per_token = (uint32_t)(wb_token_ms (WB_STREAMS_MAX) * 1000);
  now.best_us_per_token = (uint32_t)(wb_token_ms (least + 1) * 1000);
  return now;
}

static bool
start_sample (struct wb_simulation *w, uint32_t i, struct wb_open_step *s,
              const struct wy_step_issuance *what)
{
  struct wb_trainer *t = &w->trainer[i];
  struct wb_request *r = wb_request_new (w);
  struct wy_rng rng = sample_rng (w, i, s->version, what->sample + (1U << 21));

  r->trainer = i;
  r->sample = what->sample;
  r->step = s->version;
  r->version = t->version;
  r->tokens = wb_length (&rng, group_median (w, i, s->version, what->group),
                         w->c->stragglers);
  r->stream.left_tokens = r->tokens;
  r->item.trainer = i;
  r->item.work_class = WY_CLASS_ROLLOUT;
  r->item.prompt_tokens = PROMPT_TOKENS;
  r->item.predicted_tokens = (uint32_t)w->c->rollout_tokens;
  r->place.work_class = WY_CLASS_ROLLOUT;
  r->place.prompt_tokens = PROMPT_TOKENS;
  r->place.predicted_tokens = r->item.predicted_tokens;
  r->entry = i % w->c->entries;
  s->sample[what->sample] = r;
  t->running++;
  if (wb_entry_place (w, r))
    return true;
  wb_trainer_sample_failed (w, r);
  wb_request_free (w, r);
  return false;
}

static void
issue_open (struct wb_simulation *w, uint32_t i, bool spare)
{
  struct wb_trainer *t = &w->trainer[i];

  for (uint32_t k = 0; k < t->n_open; k++)
    for (;;)
      {
        struct wy_step_inputs now = wb_trainer_step_inputs (w, t);
        struct wy_step_issuance s;

        now.may_over_issue = spare;
        s = wy_step_issue (t->open[k].step, &now);
        if (!s.is_issued || !start_sample (w, i, &t->open[k], &s))
          break;
      }
}

/* Issue the samples that may be issued, those of the step that is due first
   before others, then use streams that are still free.  */
static void
issue (struct wb_simulation *w, uint32_t i)
{
  issue_open (w, i, false);
  if (w->trainer[i].running < w->c->engines * WB_STREAMS_MAX)
    issue_open (w, i, true);
}

/* Cancel SAMPLE of S for good.  */
void
wb_trainer_cancel_sample (struct wb_simulation *w, struct wb_open_step *s,
                          uint32_t sample)
{
  struct wb_request *r = s->sample[sample];
  struct wb_trainer *t = &w->trainer[r->trainer];

  wb_agent_remove (w, r);
  wb_entry_request_ended (w, r, WY_OUTCOME_CANCELLED);
  if (w->now_ms >= w->c->count_from_ms)
    t->wasted_tokens += r->tokens - r->stream.left_tokens;
  t->running--;
  s->sample[sample] = NULL;
  wb_agent_poll (w, r->target);
  wb_request_free (w, r);
}

static void
count_batch (struct wb_simulation *w, struct wb_trainer *t,
             const struct wb_open_step *s)
{
  double from_ms = w->c->count_from_ms;

  if (w->now_ms < from_ms)
    return;
  if (t->idle_from_ms > from_ms)
    from_ms = t->idle_from_ms;
  t->idle_ms += w->now_ms - from_ms;
  t->batches++;
  t->tokens += s->tokens;
  t->samples += s->accepted;
  t->staleness_sum += (double)s->staleness;
  if (s->staleness_max > t->staleness_max)
    t->staleness_max = s->staleness_max;
  if (s->staleness_max > t->c->staleness_max)
    t->beyond_bound++;
}

static void
take_batch (struct wb_simulation *w, uint32_t i)
{
  struct wb_trainer *t = &w->trainer[i];
  struct wb_open_step *s = &t->open[0];

  if (t->training || !wy_step_is_complete (s->step))
    return;
  for (uint32_t k = 0; k < wy_step_samples_max (s->step); k++)
    if (s->sample[k])
      wb_trainer_cancel_sample (w, s, k);
  count_batch (w, t, s);
  t->training = true;
  wb_events_add (&w->events, w->now_ms + t->c->train_ms, WB_EV_TRAINED, i, 0);
  close_first (t);
  open_step (w, i);
  issue (w, i);
}

/* End the training of a batch; the new weights take effect.  */
void
wb_trainer_trained (struct wb_simulation *w, uint32_t i)
{
  struct wb_trainer *t = &w->trainer[i];

  t->training = false;
  t->idle_from_ms = w->now_ms;
  t->version++;
  issue (w, i);
  take_batch (w, i);
}

/* Handle the end of the sample R.  */
void
wb_trainer_sample_done (struct wb_simulation *w, struct wb_request *r)
{
  struct wb_trainer *t = &w->trainer[r->trainer];
  struct wb_open_step *s = find_open (t, r->step);
  uint64_t staleness = s->version - r->version;

  s->sample[r->sample] = NULL;
  t->running--;
  if (wy_step_done (s->step, r->sample, r->version, r->tokens)
      == WY_STEP_VERDICT_ACCEPT)
    {
      s->accepted++;
      s->tokens += r->tokens;
      s->staleness += staleness;
      if (staleness > s->staleness_max)
        s->staleness_max = staleness;
    }
  else if (w->now_ms >= w->c->count_from_ms)
    t->wasted_tokens += r->tokens;
  issue (w, r->trainer);
  take_batch (w, r->trainer);
}

/* Handle the failure to place the sample R, or its loss.  */
void
wb_trainer_sample_failed (struct wb_simulation *w, struct wb_request *r)
{
  struct wb_trainer *t = &w->trainer[r->trainer];
  struct wb_open_step *s = find_open (t, r->step);

  s->sample[r->sample] = NULL;
  t->running--;
  wy_step_failed (s->step, r->sample);
}

/* Handle stragglers of trainer I and issue samples, periodically.  */
void
wb_trainer_tick (struct wb_simulation *w, uint32_t i)
{
  struct wb_trainer *t = &w->trainer[i];

  for (uint32_t k = 0; k < w->c->engines; k++)
    wb_engine_advance (&w->agent[k].engine, w->now_ms);
  for (uint32_t k = 0; k < t->n_open; k++)
    wb_stragglers_handle (w, t, &t->open[k]);
  issue (w, i);
  wb_events_add (&w->events, w->now_ms + TICK_MS, WB_EV_TRAINER_TICK, i, 0);
}

/* Start the trainers of the case.  */
void
wb_trainers_start (struct wb_simulation *w)
{
  w->trainer = calloc (w->c->trainers + 1, sizeof *w->trainer);
  if (!w->trainer)
    abort ();
  for (uint32_t i = 0; i < w->c->trainers; i++)
    {
      struct wb_trainer *t = &w->trainer[i];

      t->c = &w->c->trainer[i];
      t->version = 1;
      while (t->n_open < 1 + t->c->staleness_max)
        open_step (w, i);
      issue (w, i);
      wb_events_add (&w->events, TICK_MS, WB_EV_TRAINER_TICK, i, 0);
    }
}

/* Free the memory of the trainers.  */
void
wb_trainers_free (struct wb_simulation *w)
{
  for (uint32_t i = 0; i < w->c->trainers; i++)
    while (w->trainer[i].n_open > 0)
      close_first (&w->trainer[i]);
  free (w->trainer);
}
