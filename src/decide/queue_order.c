/* Order in which queued items start, and preemption.  */
#include "decide/queue_order.h"

#include <stddef.h>

#include "decide/item_list.h"

/* At most one rollout past its ageing time per this many callers is started
   before waiting callers: rollouts progress under a permanent load of callers,
   which lose at most an eighth.  */
#define AGED_INTERVAL 8
/* Nothing else starts once a suspect has waited this long; otherwise a busy
   target would never become empty for it.  */
#define ISOLATE_WAIT_MS 2000

static struct wy_queue_item_list *
waiting_list (struct wy_queue *q, const struct wy_queue_item *it)
{
  if (it->suspect)
    return &q->suspects;
  if (it->work_class == WY_CLASS_ROLLOUT)
    return &q->trainer[it->trainer].waiting;
  return &q->callers;
}

static bool
counts_as_rollout (const struct wy_queue_item *it)
{
  return it->work_class == WY_CLASS_ROLLOUT && !it->suspect;
}

/* Append IT to its wait queue.  */
void
wy_queue_enqueue (struct wy_queue *q, struct wy_queue_item *it)
{
  struct wy_queue_trainer *t;

  it->state = WY_QUEUE_ITEM_WAITING;
  wy_queue_item_push (waiting_list (q, it), it);
  if (it->start_by_ms < q->next_expiry_ms
      && it->work_class != WY_CLASS_ROLLOUT)
    q->next_expiry_ms = it->start_by_ms;
  if (!counts_as_rollout (it))
    return;
  if (it->trainer >= q->trainers)
    q->trainers = it->trainer + 1;
  q->rollouts_waiting++;
  t = &q->trainer[it->trainer];
  /* A trainer that had nothing queued must not return with a low virtual time,
     with which it would get all streams for a while.  */
  if (t->waiting.n == 1 && t->paused.n == 0
      && t->virtual_time < q->virtual_time_floor)
    t->virtual_time = q->virtual_time_floor;
}

/* Remove IT from its wait queue.  */
void
wy_queue_dequeue (struct wy_queue *q, struct wy_queue_item *it)
{
  wy_queue_item_unlink (waiting_list (q, it), it);
  if (counts_as_rollout (it))
    q->rollouts_waiting--;
}

static uint32_t
running (const struct wy_queue *q)
{
  return q->running_callers.n + q->running_rollouts.n;
}

static bool
callers_present (const struct wy_queue *q, int64_t now_ms)
{
  return q->running_callers.n + q->callers.n > 0
         || now_ms - q->last_caller_ms < (int64_t)q->o.caller_idle_ms;
}

/* The number of streams that may run if the next one is a rollout.  */
static uint32_t
rollout_streams_max (const struct wy_queue *q, int64_t now_ms)
{
  return callers_present (q, now_ms) ? q->o.shared_streams_max
                                     : q->o.streams_max;
}

static bool
fits (const struct wy_queue *q, const struct wy_queue_item *it)
{
  uint32_t more = it->state == WY_QUEUE_ITEM_PAUSED ? 0 : it->kv_tokens;

  return q->kv_used_tokens + more <= q->o.kv_tokens_max;
}

static struct wy_queue_item *
first_rollout (const struct wy_queue_trainer *t)
{
  return t->paused.head ? t->paused.head : t->waiting.head;
}

/* The next rollout by weighted fair queuing: of the trainer with the lowest
   virtual time, paused ones first, as they occupy memory.  */
static struct wy_queue_item *
next_rollout (const struct wy_queue *q)
{
  const struct wy_queue_trainer *best = NULL;

  if (q->rollouts_waiting + q->rollouts_paused == 0)
    return NULL;
  for (uint32_t i = 0; i < q->trainers; i++)
    {
      const struct wy_queue_trainer *t = &q->trainer[i];

      if (first_rollout (t) && (!best || t->virtual_time < best->virtual_time))
        best = t;
    }
  return best ? first_rollout (best) : NULL;
}

static void
start (struct wy_queue *q, struct wy_queue_item *it, int64_t now_ms)
{
  bool rollout = it->work_class == WY_CLASS_ROLLOUT;

  if (it->state == WY_QUEUE_ITEM_PAUSED)
    {
      wy_queue_item_unlink (&q->trainer[it->trainer].paused, it);
      q->rollouts_paused--;
      q->kv_paused_tokens -= it->kv_tokens;
    }
  else
    {
      wy_queue_dequeue (q, it);
      q->kv_used_tokens += it->kv_tokens;
    }
  if (rollout && q->trainer[it->trainer].virtual_time > q->virtual_time_floor)
    q->virtual_time_floor = q->trainer[it->trainer].virtual_time;
  if (it->suspect)
    q->isolated = it;
  wy_queue_item_push (rollout ? &q->running_rollouts : &q->running_callers,
                      it);
  it->state = WY_QUEUE_ITEM_RUNNING;
  it->run_started_ms = now_ms;
  it->measured_ms = 0;
}

static bool
suspect_is_overdue (const struct wy_queue *q, int64_t now_ms)
{
  return q->suspects.head
         && now_ms - q->suspects.head->arrived_ms >= ISOLATE_WAIT_MS;
}

static bool
rollout_may_start (const struct wy_queue *q, const struct wy_queue_item *it,
                   int64_t now_ms)
{
  return it && running (q) < rollout_streams_max (q, now_ms) && fits (q, it);
}

static bool
aged_turn (const struct wy_queue *q, const struct wy_queue_item *it,
           int64_t now_ms)
{
  return it && q->callers_since_rollout >= AGED_INTERVAL
         && now_ms - it->arrived_ms >= (int64_t)q->o.ageing_ms;
}

/* The item that may start now, which is not removed; NULL if there is none. */
static struct wy_queue_item *
candidate (const struct wy_queue *q, int64_t now_ms)
{
  struct wy_queue_item *r = next_rollout (q);

  if (q->isolated)
    return NULL;
  if (q->suspects.head && running (q) == 0)
    return q->suspects.head;
  if (suspect_is_overdue (q, now_ms))
    return NULL;
  if (running (q) >= q->o.streams_max)
    return NULL;
  if (aged_turn (q, r, now_ms) && fits (q, r))
    return r;
  if (q->callers.head)
    return fits (q, q->callers.head) ? q->callers.head : NULL;
  return rollout_may_start (q, r, now_ms) ? r : NULL;
}

static void
count_start (struct wy_queue *q, const struct wy_queue_item *it)
{
  if (it->work_class == WY_CLASS_ROLLOUT)
    q->callers_since_rollout = 0;
  else
    q->callers_since_rollout++;
}

/* Remove the next item to run from its wait queue; it counts as running.  It
   must be resumed if its `started' is set, otherwise started.  NULL if nothing
   may start.  */
struct wy_queue_item *
wy_queue_next (struct wy_queue *q, int64_t now_ms)
{
  struct wy_queue_item *it = candidate (q, now_ms);

  if (!it)
    return NULL;
  count_start (q, it);
  start (q, it, now_ms);
  return it;
}

/* Start IT, which was just queued, if it is next.  */
void
wy_queue_start_if_first (struct wy_queue *q, struct wy_queue_item *it,
                         int64_t now_ms)
{
  if (!it || candidate (q, now_ms) != it)
    return;
  count_start (q, it);
  start (q, it, now_ms);
}

static struct wy_preempt
pause_last (struct wy_queue *q, int64_t now_ms)
{
  struct wy_queue_item *it = q->running_rollouts.tail;
  struct wy_preempt p = { it ? WY_PREEMPT_PAUSE : WY_PREEMPT_NONE, it };

  if (!it)
    return p;
  wy_queue_item_unlink (&q->running_rollouts, it);
  it->earlier_runs_ms += now_ms - it->run_started_ms;
  it->started = true;
  it->state = WY_QUEUE_ITEM_PAUSED;
  wy_queue_item_push_front (&q->trainer[it->trainer].paused, it);
  q->rollouts_paused++;
  q->kv_paused_tokens += it->kv_tokens;
  return p;
}

static struct wy_preempt
evict_one (struct wy_queue *q)
{
  struct wy_preempt p = { WY_PREEMPT_NONE, NULL };
  struct wy_queue_trainer *most = NULL;

  for (uint32_t i = 0; i < q->trainers; i++)
    if (q->trainer[i].paused.n
        && (!most || q->trainer[i].virtual_time > most->virtual_time))
      most = &q->trainer[i];
  if (!most)
    return p;
  p.kind = WY_PREEMPT_EVICT;
  p.item = most->paused.tail;
  wy_queue_item_unlink (&most->paused, p.item);
  q->rollouts_paused--;
  q->kv_used_tokens -= p.item->kv_tokens;
  q->kv_paused_tokens -= p.item->kv_tokens;
  p.item->evicted = true;
  p.item->state = WY_QUEUE_ITEM_WAITING;
  wy_queue_item_push_front (&most->waiting, p.item);
  q->rollouts_waiting++;
  return p;
}

/* Pause or evict a rollout if callers wait for a stream or for memory, or if
   more streams run beside callers than allowed.  To be called until it returns
   WY_PREEMPT_NONE, and then wy_queue_next.  The returned item counts as paused
   already, or, if evicted, as waiting.  */
struct wy_preempt
wy_queue_preempt (struct wy_queue *q, int64_t now_ms)
{
  struct wy_preempt none = { WY_PREEMPT_NONE, NULL };
  const struct wy_queue_item *head = q->callers.head;
  bool isolate = suspect_is_overdue (q, now_ms) && !q->isolated;

  if (q->isolated)
    return none;
  if (q->running_rollouts.n > 0
      && (isolate
          || (callers_present (q, now_ms)
              && running (q) + (head ? 1 : 0) > q->o.shared_streams_max)))
    return pause_last (q, now_ms);
  if (!head || fits (q, head))
    return none;
  if (q->kv_paused_tokens == 0 && q->running_rollouts.n > 0)
    return pause_last (q, now_ms);
  return evict_one (q);
}
