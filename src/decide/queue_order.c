/* Order in which queued work starts, and who gives way.  */
#include "decide/queue_order.h"

#include <stddef.h>

#include "decide/item_list.h"

/* One start in this many goes to a rollout past its ageing time: rollouts
   progress under callers without end, callers lose at most an eighth.  */
#define AGED_EVERY 8
/* A suspect that has waited this long stops new starts, or a busy target
   would never be empty for it.  */
#define ALONE_WAIT_MS 2000

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

/* Put IT among the waiting.  */
void
wy_queue_enqueue (struct wy_queue *q, struct wy_queue_item *it)
{
  struct wy_queue_trainer *t;

  it->state = WY_QUEUE_ITEM_WAITING;
  wy_queue_item_push (waiting_list (q, it), it);
  if (it->start_by_ms < q->expire_ms && it->work_class != WY_CLASS_ROLLOUT)
    q->expire_ms = it->start_by_ms;
  if (!counts_as_rollout (it))
    return;
  if (it->trainer >= q->trainers)
    q->trainers = it->trainer + 1;
  q->rollouts_waiting++;
  t = &q->trainer[it->trainer];
  /* A trainer that was away must not come back with a credit that shuts the
     others out.  */
  if (t->waiting.n == 1 && t->paused.n == 0 && t->served < q->served_floor)
    t->served = q->served_floor;
}

/* Take IT from among the waiting.  */
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
         || now_ms - q->caller_seen_ms < (int64_t)q->o.quiet_ms;
}

/* How many streams may run if the next is a rollout.  */
static uint32_t
rollout_cap (const struct wy_queue *q, int64_t now_ms)
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
first_of (const struct wy_queue_trainer *t)
{
  return t->paused.head ? t->paused.head : t->waiting.head;
}

/* The rollout whose turn it is: that of the trainer served least for its
   worth; among its own, paused ones first, which hold memory.  */
static struct wy_queue_item *
next_rollout (const struct wy_queue *q)
{
  const struct wy_queue_trainer *best = NULL;

  if (q->rollouts_waiting + q->rollouts_paused == 0)
    return NULL;
  for (uint32_t i = 0; i < q->trainers; i++)
    {
      const struct wy_queue_trainer *t = &q->trainer[i];

      if (first_of (t) && (!best || t->served < best->served))
        best = t;
    }
  return best ? first_of (best) : NULL;
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
  if (rollout && q->trainer[it->trainer].served > q->served_floor)
    q->served_floor = q->trainer[it->trainer].served;
  if (it->suspect)
    q->alone = it;
  wy_queue_item_push (rollout ? &q->running_rollouts : &q->running_callers,
                      it);
  it->state = WY_QUEUE_ITEM_RUNNING;
  it->run_ms = now_ms;
  it->seen_ms = 0;
}

static bool
suspect_due (const struct wy_queue *q, int64_t now_ms)
{
  return q->suspects.head
         && now_ms - q->suspects.head->arrived_ms >= ALONE_WAIT_MS;
}

static bool
rollout_may_start (const struct wy_queue *q, const struct wy_queue_item *it,
                   int64_t now_ms)
{
  return it && running (q) < rollout_cap (q, now_ms) && fits (q, it);
}

static bool
aged_turn (const struct wy_queue *q, const struct wy_queue_item *it,
           int64_t now_ms)
{
  return it && q->starts_since_aged >= AGED_EVERY
         && now_ms - it->arrived_ms >= (int64_t)q->o.ageing_ms;
}

/* The item that may start now, left where it is; NULL when there is none.  */
static struct wy_queue_item *
candidate (const struct wy_queue *q, int64_t now_ms)
{
  struct wy_queue_item *r = next_rollout (q);

  if (q->alone)
    return NULL;
  if (q->suspects.head && running (q) == 0)
    return q->suspects.head;
  if (suspect_due (q, now_ms))
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
    q->starts_since_aged = 0;
  else
    q->starts_since_aged++;
}

/* The next item to start, or to resume when its `started' was set before the
   call returned it earlier; it runs from now on.  NULL when nothing may
   start.  */
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

/* Start IT, just queued, if it is the one whose turn it is.  */
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
  it->ran_ms += now_ms - it->run_ms;
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
        && (!most || q->trainer[i].served > most->served))
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

/* Which rollout must give way now: callers wait for a place or for memory,
   or run beside more streams than they should.  Call until it says none, then
   call wy_queue_next.  The item is already paused (or waits again, evicted)
   when the call returns it.  */
struct wy_preempt
wy_queue_preempt (struct wy_queue *q, int64_t now_ms)
{
  struct wy_preempt none = { WY_PREEMPT_NONE, NULL };
  const struct wy_queue_item *head = q->callers.head;
  bool alone = suspect_due (q, now_ms) && !q->alone;

  if (q->alone)
    return none;
  if (q->running_rollouts.n > 0
      && (alone
          || (callers_present (q, now_ms)
              && running (q) + (head ? 1 : 0) > q->o.shared_streams_max)))
    return pause_last (q, now_ms);
  if (!head || fits (q, head))
    return none;
  if (q->kv_paused_tokens == 0 && q->running_rollouts.n > 0)
    return pause_last (q, now_ms);
  return evict_one (q);
}
