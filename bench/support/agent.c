/* Simulated agent and its engine, with the queue of src/decide or the FIFO of
   an engine.  */
#include <math.h>
#include <stddef.h>

#include "decide/item_list.h"
#include "simulation_state.h"

#define CACHE_EVENT_LAG_MS 500
/* One cache event in this many is lost.  */
#define CACHE_EVENT_LOSS 5

static struct wb_request *
request_of (struct wy_queue_item *it)
{
  return it->data;
}

static void
cache_event (struct wb_simulation *w, uint32_t i, uint64_t prefix,
             bool present)
{
  if (prefix == 0 || wy_rng_below (&w->place_rng, CACHE_EVENT_LOSS) == 0)
    return;
  wb_events_add (&w->events, w->now_ms + CACHE_EVENT_LAG_MS, WB_EV_CACHE, i,
                 prefix << 1 | present);
}

static double
tokens_to_prefill (struct wb_simulation *w, uint32_t i, struct wb_request *r)
{
  uint64_t evicted;
  uint32_t fresh = r->item.prompt_tokens;

  if (r->item.started && !r->item.evicted)
    return 0;
  if (r->place.prefix_hash)
    {
      r->cached = wb_engine_prefix (&w->agent[i].engine, r->place.prefix_hash,
                                    &evicted);
      if (r->cached)
        fresh -= r->place.prefix_tokens;
      else
        cache_event (w, i, r->place.prefix_hash, true);
      cache_event (w, i, evicted, false);
    }
  return fresh + (r->item.evicted ? r->item.tokens : 0);
}

static void
start_stream (struct wb_simulation *w, uint32_t i, struct wb_request *r)
{
  double fresh = tokens_to_prefill (w, i, r);

  r->item.evicted = false;
  r->item.started = true;
  wb_engine_start (&w->agent[i].engine, &r->stream, fresh, w->now_ms);
}

static void
pause_stream (struct wb_simulation *w, uint32_t i, struct wb_request *r)
{
  double done;

  wb_engine_stop (&w->agent[i].engine, &r->stream, w->now_ms);
  done = r->tokens - r->stream.left_tokens;
  wy_queue_progress (&w->agent[i].queue, &r->item,
                     done > 0 ? (uint32_t)done : 0, (int64_t)w->now_ms);
}

static void
schedule_events (struct wb_simulation *w, uint32_t i)
{
  struct wb_agent *a = &w->agent[i];
  struct wb_stream *s = NULL;
  double at = wb_engine_next_ms (&a->engine, &s);
  int64_t wake;

  a->stamp++;
  if (!isinf (at))
    wb_events_add (&w->events, at, WB_EV_FINISH, i, a->stamp);
  if (w->p->queue == WB_QUEUE_FIFO)
    return;
  wake = wy_queue_next_wakeup_ms (&a->queue, (int64_t)w->now_ms);
  if (wake == INT64_MAX || (a->wake_ms > w->now_ms && a->wake_ms <= wake))
    return;
  a->wake_ms = (double)wake + 1;
  wb_events_add (&w->events, a->wake_ms, WB_EV_WAKE, i, ++a->wake_stamp);
}

static void
poll_fifo (struct wb_simulation *w, uint32_t i)
{
  struct wb_agent *a = &w->agent[i];

  while (a->fifo.head && a->engine.n < WB_STREAMS_MAX
         && a->kv_tokens + a->fifo.head->kv_tokens <= WB_KV_TOKENS_MAX)
    {
      struct wy_queue_item *it = a->fifo.head;

      wy_queue_item_unlink (&a->fifo, it);
      it->state = WY_QUEUE_ITEM_RUNNING;
      a->kv_tokens += it->kv_tokens;
      start_stream (w, i, request_of (it));
    }
}

static void
poll_queue (struct wb_simulation *w, uint32_t i)
{
  struct wy_queue *q = &w->agent[i].queue;
  int64_t now_ms = (int64_t)w->now_ms;
  struct wy_queue_item *it;
  struct wy_preempt p;

  while ((it = wy_queue_expire (q, now_ms)))
    {
      wb_entry_request_ended (w, request_of (it), WY_OUTCOME_REFUSED);
      wb_reject_caller (w, request_of (it));
    }
  while ((p = wy_queue_preempt (q, now_ms)).kind != WY_PREEMPT_NONE)
    if (p.kind == WY_PREEMPT_PAUSE)
      pause_stream (w, i, request_of (p.item));
  while ((it = wy_queue_next (q, now_ms)))
    start_stream (w, i, request_of (it));
}

/* Start, pause or reject requests of agent I as its queue decides.  */
void
wb_agent_poll (struct wb_simulation *w, uint32_t i)
{
  if (w->agent[i].failed)
    return;
  wb_engine_advance (&w->agent[i].engine, w->now_ms);
  if (w->p->queue == WB_QUEUE_FIFO)
    poll_fifo (w, i);
  else
    poll_queue (w, i);
  schedule_events (w, i);
}

/* Handle a wakeup of agent I, unless a later one has replaced STAMP.  */
void
wb_agent_wake (struct wb_simulation *w, uint32_t i, uint64_t stamp)
{
  if (stamp == w->agent[i].wake_stamp)
    wb_agent_poll (w, i);
}

/* Offer R to its target.  Returns the queue's decision.  */
enum wy_admission_kind
wb_agent_offer (struct wb_simulation *w, struct wb_request *r)
{
  struct wb_agent *a = &w->agent[r->target];
  struct wy_admission v;

  r->item.data = r;
  if (a->failed) /* appears accepted; no response ever comes */
    return WY_ADMISSION_QUEUED;
  if (w->p->queue == WB_QUEUE_FIFO)
    {
      r->item.kv_tokens = r->item.prompt_tokens + r->item.predicted_tokens;
      r->item.state = WY_QUEUE_ITEM_WAITING;
      wy_queue_item_push (&a->fifo, &r->item);
      wb_agent_poll (w, r->target);
      return WY_ADMISSION_QUEUED;
    }
  v = wy_queue_offer (&a->queue, &r->item, (int64_t)w->now_ms);
  if (v.kind == WY_ADMISSION_RUN)
    start_stream (w, r->target, r);
  if (v.kind != WY_ADMISSION_REFUSED)
    wb_agent_poll (w, r->target);
  return v.kind;
}

/* Remove R from its agent, whether it is running or waiting.  The tokens
   generated so far stay accounted for in its stream.  */
void
wb_agent_remove (struct wb_simulation *w, struct wb_request *r)
{
  struct wb_agent *a = &w->agent[r->target];

  if (r->item.state == WY_QUEUE_ITEM_RUNNING)
    wb_engine_stop (&a->engine, &r->stream, w->now_ms);
  if (w->p->queue == WB_QUEUE_PRIORITY)
    {
      wy_queue_cancel (&a->queue, &r->item, (int64_t)w->now_ms);
      return;
    }
  if (r->item.state == WY_QUEUE_ITEM_RUNNING)
    a->kv_tokens -= r->item.kv_tokens;
  else if (r->item.state == WY_QUEUE_ITEM_WAITING)
    wy_queue_item_unlink (&a->fifo, &r->item);
  r->item.state = WY_QUEUE_ITEM_NOT_QUEUED;
}

static void
caller_done (struct wb_simulation *w, struct wb_request *r)
{
  double ms = w->now_ms - r->arrived_ms + 2 * WB_NETWORK_MS;

  if (r->arrived_ms < w->c->count_from_ms)
    return;
  wb_values_add (&w->f.latency_ms, ms);
  if (ms > WB_DEADLINE_MS)
    return;
  w->f.in_time++;
  w->f.in_time_tokens += r->tokens;
}

/* End the first stream of agent I, unless a later event has replaced
   STAMP.  */
void
wb_agent_finish (struct wb_simulation *w, uint32_t i, uint64_t stamp)
{
  struct wb_agent *a = &w->agent[i];
  struct wb_stream *s = NULL;
  struct wb_request *r;

  if (a->failed || stamp != a->stamp)
    return;
  wb_engine_advance (&a->engine, w->now_ms);
  wb_engine_next_ms (&a->engine, &s);
  r = (struct wb_request *)s;
  if (w->p->queue == WB_QUEUE_PRIORITY)
    {
      wb_engine_stop (&a->engine, s, w->now_ms);
      wy_queue_done (&a->queue, &r->item, r->tokens, (int64_t)w->now_ms);
    }
  else
    wb_agent_remove (w, r);
  wb_entry_request_ended (w, r, WY_OUTCOME_OK);
  if (r->trainer != WB_NO_TRAINER)
    wb_trainer_sample_done (w, r);
  else if (r->place.work_class == WY_CLASS_ROLLOUT)
    {
      if (w->now_ms >= w->c->count_from_ms)
        w->f.rollout_tokens += r->tokens;
    }
  else
    caller_done (w, r);
  wb_request_free (w, r);
  wb_agent_poll (w, i);
  wb_rollout_refill (w);
}

/* Stop the engine of agent I, or start it again.  */
void
wb_agent_set_stopped (struct wb_simulation *w, uint32_t i, bool stopped)
{
  wb_engine_advance (&w->agent[i].engine, w->now_ms);
  w->agent[i].engine.stopped = stopped;
  wb_agent_poll (w, i);
}
