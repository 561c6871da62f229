/* Event loop of the simulation, its callers, and rollouts without a
   trainer.  */
#include <math.h>
#include <stdlib.h>

#include "simulation_state.h"

#define SNAPSHOT_MS 200
#define REPORT_LAG_MS 100
#define CALLER_TOKENS 64
#define CALLER_SIGMA 0.4
#define CALLER_TOKENS_MAX 256
#define ROLLOUT_SIGMA 0.6
#define PROMPT_TOKENS 200
#define PREDICTION_SIGMA 0.2
#define STRAGGLER_ONE_IN 100
#define STRAGGLER_FACTOR 20
/* Maximum context length of the engine.  */
#define TOKENS_MAX 32000
#define PREFIXES 200

static double
normal (struct wy_rng *rng)
{
  double u = 1 - wy_rng_unit (rng);

  return sqrt (-2 * log (u)) * cos (2 * M_PI * wy_rng_unit (rng));
}

/* A random number, log-normally distributed with MEDIAN, at least 1.  */
uint32_t
wb_lognormal (struct wy_rng *rng, double median, double sigma)
{
  double v = median * exp (sigma * normal (rng));

  return v < 1 ? 1 : (uint32_t)v;
}

/* A random length of a rollout in tokens.  With STRAGGLERS, one in a hundred
   is 20 times as long.  */
uint32_t
wb_length (struct wy_rng *rng, double median, bool stragglers)
{
  uint32_t n = wb_lognormal (rng, median, ROLLOUT_SIGMA);

  if (wy_rng_below (rng, STRAGGLER_ONE_IN) == 0 && stragglers)
    n *= STRAGGLER_FACTOR;
  return n < TOKENS_MAX ? n : TOKENS_MAX;
}

/* Return a new request that arrives now.  */
struct wb_request *
wb_request_new (struct wb_simulation *w)
{
  struct wb_request *r = w->free;

  if (r)
    w->free = r->next_free;
  else
    {
      r = malloc (sizeof *r);
      w->req = realloc (w->req, (w->n_req + 1) * sizeof (struct wb_request *));
      if (!r || !w->req)
        abort ();
      w->req[w->n_req++] = r;
    }
  *r = (struct wb_request){ .trainer = WB_NO_TRAINER, .live = true };
  r->arrived_ms = w->now_ms;
  return r;
}

/* Free R, which has ended.  */
void
wb_request_free (struct wb_simulation *w, struct wb_request *r)
{
  if (r->place.work_class == WY_CLASS_ROLLOUT && r->trainer == WB_NO_TRAINER)
    w->rollouts--;
  r->live = false;
  r->next_free = w->free;
  w->free = r;
}

/* Reject the request R, which was not executed.  */
void
wb_reject_caller (struct wb_simulation *w, struct wb_request *r)
{
  double ms
      = w->now_ms - r->arrived_ms + 2 * WB_NETWORK_MS * (1 + r->place.n_tried);

  if (r->arrived_ms >= w->c->count_from_ms)
    {
      w->f.refused++;
      wb_values_add (&w->f.refusal_ms, ms);
    }
  wb_request_free (w, r);
}

static void
set_prefix (struct wb_simulation *w, struct wb_request *r)
{
  bool hot = wy_rng_unit (&w->rng) < w->c->prefix_skew;
  uint32_t cold = wy_rng_below (&w->rng, PREFIXES);

  if (w->c->prefix_tokens == 0)
    return;
  r->place.prefix_hash = hot ? 1 : 2 + cold;
  r->place.prefix_tokens = w->c->prefix_tokens;
  r->item.prompt_tokens += w->c->prefix_tokens;
}

static void
copy_request_fields (struct wb_request *r)
{
  r->stream.left_tokens = r->tokens;
  r->place.prompt_tokens = r->item.prompt_tokens;
  r->place.predicted_tokens = r->item.predicted_tokens;
  r->item.work_class = r->place.work_class;
}

static void
arrive (struct wb_simulation *w)
{
  struct wb_request *r = wb_request_new (w);
  uint32_t n = wb_lognormal (&w->rng, CALLER_TOKENS, CALLER_SIGMA);

  r->tokens = n < CALLER_TOKENS_MAX ? n : CALLER_TOKENS_MAX;
  r->item.prompt_tokens = PROMPT_TOKENS;
  r->item.predicted_tokens
      = wb_lognormal (&w->rng, r->tokens, PREDICTION_SIGMA);
  r->item.deadline_ms = (int64_t)w->now_ms + WB_RESPONSE_DEADLINE_MS;
  r->entry = wy_rng_below (&w->rng, w->c->entries);
  set_prefix (w, r);
  copy_request_fields (r);
  if (w->now_ms >= w->c->count_from_ms)
    {
      w->f.offered++;
      w->f.offered_tokens += r->tokens;
    }
  if (!wb_entry_place (w, r))
    wb_reject_caller (w, r);
}

static void
next_arrival (struct wb_simulation *w)
{
  const struct wb_case *c = w->c;
  double rate = c->callers_per_s * c->engines / 1000;
  double gap;

  if (rate <= 0)
    return;
  if (c->burst_ms > 0 && w->now_ms >= c->burst_at_ms
      && w->now_ms < c->burst_at_ms + c->burst_ms)
    rate *= c->burst_factor;
  gap = -log (1 - wy_rng_unit (&w->rng)) / rate;
  if (w->now_ms + gap < c->duration_ms - WB_DEADLINE_MS)
    wb_events_add (&w->events, w->now_ms + gap, WB_EV_ARRIVE, 0, 0);
}

/* Start rollouts without a trainer until the required number is in the
   system.  */
void
wb_rollout_refill (struct wb_simulation *w)
{
  uint32_t want = (uint32_t)(w->c->rollouts * w->c->engines);

  while (w->rollouts < want)
    {
      struct wb_request *r = wb_request_new (w);

      w->rollouts++;
      r->place.work_class = WY_CLASS_ROLLOUT;
      r->tokens = wb_length (&w->rollout_rng, w->c->rollout_tokens,
                             w->c->stragglers);
      r->item.prompt_tokens = PROMPT_TOKENS;
      r->item.predicted_tokens = (uint32_t)w->c->rollout_tokens;
      r->entry = wy_rng_below (&w->rollout_rng, w->c->entries);
      copy_request_fields (r);
      if (!wb_entry_place (w, r))
        {
          wb_request_free (w, r);
          return;
        }
    }
}

/* Report to the queue of agent I the tokens generated so far.  */
static void
report_progress (struct wb_simulation *w, uint32_t i)
{
  struct wb_agent *a = &w->agent[i];

  wb_engine_advance (&a->engine, w->now_ms);
  for (uint32_t k = 0; k < a->engine.n && !a->failed; k++)
    {
      struct wb_request *r = (struct wb_request *)a->engine.stream[k];
      double done = r->tokens - (r->stream.end_v - a->engine.v);

      if (done >= 1)
        wy_queue_progress (&a->queue, &r->item, (uint32_t)done,
                           (int64_t)w->now_ms);
    }
}

static void
snapshot (struct wb_simulation *w, uint32_t i)
{
  struct wb_agent *a = &w->agent[i];

  if (w->p->queue == WB_QUEUE_PRIORITY)
    {
      report_progress (w, i);
      wy_queue_load (&a->queue, (int64_t)w->now_ms, &a->snapshot);
    }
  else
    a->snapshot = (struct wy_queue_load){ .callers_running = a->engine.n,
                                          .callers_waiting = a->fifo.n,
                                          .streams_max = WB_STREAMS_MAX };
  wb_events_add (&w->events, w->now_ms + REPORT_LAG_MS, WB_EV_REPORT, i, 0);
  wb_events_add (&w->events, w->now_ms + SNAPSHOT_MS, WB_EV_SNAPSHOT, i, 0);
}

static void
handle (struct wb_simulation *w, const struct wb_event *e)
{
  switch ((enum wb_event_kind)e->kind)
    {
    case WB_EV_ARRIVE:
      arrive (w);
      next_arrival (w);
      return;
    case WB_EV_FINISH:
      wb_agent_finish (w, e->index, e->arg);
      return;
    case WB_EV_WAKE:
      wb_agent_wake (w, e->index, e->arg);
      return;
    case WB_EV_SNAPSHOT:
      snapshot (w, e->index);
      return;
    case WB_EV_REPORT:
      wb_entry_load_reported (w, e->index);
      return;
    case WB_EV_CACHE:
      wb_entry_cache_event (w, e->index, e->arg >> 1, e->arg & 1);
      return;
    case WB_EV_TRAINED:
      wb_trainer_trained (w, e->index);
      return;
    case WB_EV_TRAINER_TICK:
      wb_trainer_tick (w, e->index);
      return;
    default:
      wb_fault_inject (w, e);
      return;
    }
}

static void
init_agents (struct wb_simulation *w)
{
  const struct wb_case *c = w->c;
  struct wy_queue_options o = { .kind = WY_QUEUE_ENGINE,
                                .streams_max = WB_STREAMS_MAX,
                                .kv_tokens_max = WB_KV_TOKENS_MAX };

  w->agent = calloc (c->engines, sizeof *w->agent);
  if (!w->agent)
    abort ();
  for (uint32_t i = 0; i < c->engines; i++)
    {
      w->agent[i].az = i % c->azs;
      wb_engine_init (&w->agent[i].engine);
      wy_queue_init (&w->agent[i].queue, &o);
      for (uint32_t t = 0; t < c->trainers; t++)
        wy_queue_set_trainer (&w->agent[i].queue, t, c->trainer[t].worth);
      wb_events_add (&w->events, (double)SNAPSHOT_MS * i / c->engines,
                     WB_EV_SNAPSHOT, i, 0);
    }
}

static void
init_entry (struct wb_simulation *w, uint32_t k)
{
  const struct wb_case *c = w->c;
  struct wb_entry *e = &w->entry[k];
  struct wy_placement_options o
      = { .targets_max = c->engines, .az = k % c->azs };
  struct wy_retry_options retry = { 0 };

  e->place = wy_placement_new (&o);
  e->reported = calloc (c->engines, sizeof *e->reported);
  e->started_since_report
      = calloc (c->engines, sizeof *e->started_since_report);
  if (!e->place || !e->reported || !e->started_since_report)
    abort ();
  e->next_target = k;
  wy_retry_init (&e->retry, &retry);
  for (uint32_t i = 0; i < c->engines; i++)
    {
      struct wy_target_options t
          = { .id = i + 1, .az = i % c->azs, .streams_max = WB_STREAMS_MAX };

      wy_placement_add (e->place, &t);
    }
}

/* Simulate case C under policy P.  The caller frees the result.  */
struct wb_simulation *
wb_simulate (const struct wb_case *c, const struct wb_policy *p, uint64_t seed)
{
  struct wb_simulation *w = calloc (1, sizeof *w);
  struct wb_event e;

  if (!w)
    abort ();
  w->c = c;
  w->p = p;
  w->seed = seed;
  wy_rng_seed (&w->rng, seed);
  wy_rng_seed (&w->rollout_rng, seed + 1);
  wy_rng_seed (&w->place_rng, seed + 2);
  w->entry = calloc (c->entries, sizeof *w->entry);
  if (!w->entry)
    abort ();
  init_agents (w);
  for (uint32_t i = 0; i < c->entries; i++)
    init_entry (w, i);
  wb_faults_schedule (w);
  wb_trainers_start (w);
  wb_rollout_refill (w);
  next_arrival (w);
  while (wb_events_next (&w->events, &e) && e.at_ms <= c->duration_ms)
    {
      w->now_ms = e.at_ms;
      handle (w, &e);
    }
  w->now_ms = c->duration_ms;
  return w;
}

/* The measurements of W, owned by W.  */
struct wb_figures *
wb_simulation_figures (struct wb_simulation *w)
{
  return &w->f;
}

/* Free W.  */
void
wb_simulation_free (struct wb_simulation *w)
{
  for (uint32_t i = 0; i < w->c->entries; i++)
    {
      wy_placement_free (w->entry[i].place);
      free (w->entry[i].reported);
      free (w->entry[i].started_since_report);
    }
  for (uint32_t i = 0; i < w->n_req; i++)
    free (w->req[i]);
  wb_values_free (&w->f.latency_ms);
  wb_values_free (&w->f.refusal_ms);
  wb_trainers_free (w);
  wb_events_free (&w->events);
  free (w->req);
  free (w->agent);
  free (w->entry);
  free (w);
}
