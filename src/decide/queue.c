/* Admission queue in front of one target.

   Engines admit all that arrives and know no priorities, so the queue holds
   work back.  Callers (interactive and non-idempotent work) go first, rollout
   streams fill what is left and give way.  The load it is made for is rollout
   work without end beside callers who come in bursts.  */
#include "decide/queue.h"

#include <stddef.h>
#include <string.h>

#include "decide/item_list.h"
#include "decide/queue_order.h"

/* An engine's batch; beyond it the engine queues by itself, blind to
   priorities.  */
#define STREAMS_MAX 64
#define KV_TOKENS_MAX 65536
/* Bounds the memory of the queue, not the wait, which deadlines bound.  */
#define CALLERS_WAITING_MAX 1024
#define ROLLOUTS_WAITING_MAX 4096
/* A rollout that has waited this long takes a turn among the callers.  */
#define AGEING_MS 30000
/* Callers come in bunches; spreading out between two of them would only pause
   the same streams again.  */
#define QUIET_MS 500
#define TOKEN_BASE_US 8000
#define TOKEN_STREAM_US 250
#define PREFILL_TOKEN_US 20
#define SERVICE_MS 20
/* A wait is an expectation, and half of the callers admitted with nothing to
   spare would be refused later after all, having waited for it.  The target
   stays as busy with a shorter queue.  */
#define WAIT_MARGIN 2
/* Weight of a new measurement; a few tens of calls make the estimate.  */
#define SMOOTHING 0.1
/* Tokens between two measurements of a stream's pace: single ones come in
   bunches.  */
#define PACE_TOKENS 8
/* A full batch gives some fifty measurements a second.  */
#define PACE_SMOOTHING 0.05

static uint32_t
or_default (uint32_t v, uint32_t dflt)
{
  return v ? v : dflt;
}

/* Make Q an empty queue for a target described by O.  */
void
wy_queue_init (struct wy_queue *q, const struct wy_queue_options *o)
{
  memset (q, 0, sizeof *q);
  q->o.kind = o->kind;
  q->o.streams_max = or_default (o->streams_max, STREAMS_MAX);
  q->o.shared_streams_max
      = or_default (o->shared_streams_max, WY_SHARED_STREAMS);
  if (q->o.shared_streams_max > q->o.streams_max)
    q->o.shared_streams_max = q->o.streams_max;
  q->o.kv_tokens_max = or_default (o->kv_tokens_max, KV_TOKENS_MAX);
  q->o.callers_waiting_max
      = or_default (o->callers_waiting_max, CALLERS_WAITING_MAX);
  q->o.rollouts_waiting_max
      = or_default (o->rollouts_waiting_max, ROLLOUTS_WAITING_MAX);
  q->o.ageing_ms = or_default (o->ageing_ms, AGEING_MS);
  q->o.quiet_ms = or_default (o->quiet_ms, QUIET_MS);
  q->o.token_base_us = or_default (o->token_base_us, TOKEN_BASE_US);
  q->o.token_stream_us = or_default (o->token_stream_us, TOKEN_STREAM_US);
  q->o.prefill_token_us = or_default (o->prefill_token_us, PREFILL_TOKEN_US);
  q->o.service_ms = or_default (o->service_ms, SERVICE_MS);
  q->pace = 1;
  q->caller_seen_ms = INT64_MIN / 2;
  q->expire_ms = INT64_MAX;
  for (uint32_t i = 0; i < WY_QUEUE_TRAINERS_MAX; i++)
    q->trainer[i].worth = 1;
}

/* Give the trainer of SLOT its WORTH, the weight of its share.  */
int
wy_queue_set_trainer (struct wy_queue *q, uint32_t slot, double worth)
{
  if (slot >= WY_QUEUE_TRAINERS_MAX || !(worth > 0))
    return -1;
  q->trainer[slot].worth = worth;
  return 0;
}

static struct wy_admission
refuse (enum wy_refusal reason, uint32_t retry_after_ms)
{
  struct wy_admission v = { WY_ADMISSION_REFUSED, reason, retry_after_ms };

  return v;
}

static struct wy_admission
accepted (const struct wy_queue_item *it)
{
  struct wy_admission v = { WY_ADMISSION_QUEUED, WY_REFUSAL_NONE, 0 };

  if (it->state == WY_QUEUE_ITEM_RUNNING)
    v.kind = WY_ADMISSION_RUN;
  return v;
}

/* Why IT can't be kept, or WY_REFUSAL_NONE.  A deadline that can't be met is
   refused here, at once: under saturation, work that would be answered too
   late takes the place of work that could still be answered in time.  */
static enum wy_refusal
check (const struct wy_queue *q, const struct wy_queue_item *it,
       int64_t now_ms)
{
  int64_t end_ms;

  if (q->closing)
    return WY_REFUSAL_CLOSING;
  if (it->kv_tokens > q->o.kv_tokens_max)
    return WY_REFUSAL_TOO_LARGE;
  if (it->work_class == WY_CLASS_ROLLOUT)
    {
      if (q->rollouts_waiting >= q->o.rollouts_waiting_max)
        return WY_REFUSAL_FULL;
      return WY_REFUSAL_NONE;
    }
  if (q->callers.n + q->suspects.n >= q->o.callers_waiting_max)
    return WY_REFUSAL_FULL;
  if (it->deadline_ms == 0)
    return WY_REFUSAL_NONE;
  end_ms = now_ms + wy_queue_expected_run_ms (q, it)
           + (int64_t)(WAIT_MARGIN * wy_queue_expected_wait_ms (q, now_ms));
  return end_ms > it->deadline_ms ? WY_REFUSAL_DEADLINE : WY_REFUSAL_NONE;
}

/* Before the first caller has ended, the drain rate is guessed from what it
   asks for; with a guess of nothing a burst on a fresh target would all be
   admitted and most of it answered too late.  */
static void
note_caller (struct wy_queue *q, const struct wy_queue_item *it,
             int64_t now_ms)
{
  q->caller_seen_ms = now_ms;
  if (q->caller_ms == 0)
    q->caller_ms = wy_queue_expected_run_ms (q, it);
}

/* Offer IT to Q.  A refused item is not kept and has not run.  An item that
   may run now is running when the call returns and must be started.  */
struct wy_admission
wy_queue_offer (struct wy_queue *q, struct wy_queue_item *it, int64_t now_ms)
{
  enum wy_refusal why;

  if (it->work_class == WY_CLASS_ROLLOUT
      && it->trainer >= WY_QUEUE_TRAINERS_MAX)
    it->trainer = WY_QUEUE_TRAINERS_MAX - 1;
  it->kv_tokens = q->o.kind == WY_QUEUE_ENGINE
                      ? it->prompt_tokens + it->predicted_tokens
                      : 0;
  if (it->work_class != WY_CLASS_ROLLOUT)
    note_caller (q, it, now_ms);
  why = check (q, it, now_ms);
  if (why == WY_REFUSAL_CLOSING || why == WY_REFUSAL_TOO_LARGE)
    return refuse (why, 0);
  if (why != WY_REFUSAL_NONE)
    return refuse (why, 1 + wy_queue_expected_wait_ms (q, now_ms));
  it->arrived_ms = now_ms;
  it->start_by_ms = it->deadline_ms
                        ? it->deadline_ms - wy_queue_expected_run_ms (q, it)
                        : INT64_MAX;
  wy_queue_enqueue (q, it);
  wy_queue_start_if_first (q, it, now_ms);
  return accepted (it);
}

static struct wy_queue_item_list *
running_list (struct wy_queue *q, const struct wy_queue_item *it)
{
  return it->work_class == WY_CLASS_ROLLOUT ? &q->running_rollouts
                                            : &q->running_callers;
}

/* Learn from a run of TOKENS that took RUN_MS.  */
static void
learn (struct wy_queue *q, const struct wy_queue_item *it, int64_t run_ms)
{
  double expected = wy_queue_expected_run_ms (q, it) / q->pace;

  if (it->work_class != WY_CLASS_ROLLOUT)
    q->caller_ms += SMOOTHING * ((double)run_ms - q->caller_ms);
  if (q->o.kind == WY_QUEUE_SERVICE && expected > 0)
    q->pace += SMOOTHING * ((double)run_ms / expected - q->pace);
}

/* Learn the engine's pace from the tokens IT got since the last time.  The
   first time only starts the measurement: what came before holds the
   prefill.  An engine can fall to a tenth of its speed and look sound in all
   else; its agent sees it here, refuses by it and reports it.  */
static void
learn_pace (struct wy_queue *q, struct wy_queue_item *it, uint32_t tokens,
            int64_t now_ms)
{
  uint32_t streams = q->running_callers.n + q->running_rollouts.n;
  double expected_us
      = q->o.token_base_us + (double)q->o.token_stream_us * streams;
  double us;

  if (it->seen_ms != 0 && tokens < it->seen_tokens + PACE_TOKENS)
    return;
  us = (double)(now_ms - it->seen_ms) * 1000 / (tokens - it->seen_tokens);
  if (it->seen_ms != 0)
    q->pace += PACE_SMOOTHING * (us / expected_us - q->pace);
  it->seen_ms = now_ms;
  it->seen_tokens = tokens;
}

/* Note that IT has TOKENS of output by now.  A stream that outgrows its
   prediction is charged for what it really holds.  */
void
wy_queue_progress (struct wy_queue *q, struct wy_queue_item *it,
                   uint32_t tokens, int64_t now_ms)
{
  uint32_t held = it->prompt_tokens + tokens;

  if (q->o.kind == WY_QUEUE_ENGINE && it->state == WY_QUEUE_ITEM_RUNNING
      && tokens > it->seen_tokens)
    learn_pace (q, it, tokens, now_ms);
  if (it->work_class == WY_CLASS_ROLLOUT && tokens > it->tokens)
    q->trainer[it->trainer].served
        += (tokens - it->tokens) / q->trainer[it->trainer].worth;
  if (tokens > it->tokens)
    it->tokens = tokens;
  if (q->o.kind != WY_QUEUE_ENGINE || held <= it->kv_tokens)
    return;
  if (it->state == WY_QUEUE_ITEM_RUNNING || it->state == WY_QUEUE_ITEM_PAUSED)
    q->kv_used_tokens += held - it->kv_tokens;
  if (it->state == WY_QUEUE_ITEM_PAUSED)
    q->kv_paused_tokens += held - it->kv_tokens;
  it->kv_tokens = held;
}

/* IT has ended after TOKENS of output; it is out of the queue.  */
void
wy_queue_done (struct wy_queue *q, struct wy_queue_item *it, uint32_t tokens,
               int64_t now_ms)
{
  if (it->state != WY_QUEUE_ITEM_RUNNING)
    {
      wy_queue_cancel (q, it, now_ms);
      return;
    }
  wy_queue_progress (q, it, tokens, now_ms);
  learn (q, it, now_ms - it->run_ms);
  wy_queue_cancel (q, it, now_ms);
}

/* Take IT out of the queue in whatever state it is.  */
void
wy_queue_cancel (struct wy_queue *q, struct wy_queue_item *it, int64_t now_ms)
{
  switch (it->state)
    {
    case WY_QUEUE_ITEM_NOT_QUEUED:
      return;
    case WY_QUEUE_ITEM_WAITING:
      wy_queue_dequeue (q, it);
      break;
    case WY_QUEUE_ITEM_RUNNING:
      wy_queue_item_unlink (running_list (q, it), it);
      q->kv_used_tokens -= it->kv_tokens;
      if (it->work_class != WY_CLASS_ROLLOUT)
        q->caller_seen_ms = now_ms;
      break;
    case WY_QUEUE_ITEM_PAUSED:
      wy_queue_item_unlink (&q->trainer[it->trainer].paused, it);
      q->rollouts_paused--;
      q->kv_used_tokens -= it->kv_tokens;
      q->kv_paused_tokens -= it->kv_tokens;
      break;
    }
  if (q->alone == it)
    q->alone = NULL;
  it->state = WY_QUEUE_ITEM_NOT_QUEUED;
}

/* Take no new work from now on; what is in the queue goes on.  */
void
wy_queue_close (struct wy_queue *q)
{
  q->closing = true;
}

/* Whether nothing waits, runs or is paused.  */
bool
wy_queue_empty (const struct wy_queue *q)
{
  return q->callers.n == 0 && q->suspects.n == 0 && q->rollouts_waiting == 0
         && q->rollouts_paused == 0 && q->running_callers.n == 0
         && q->running_rollouts.n == 0;
}

static struct wy_queue_item *
find_expired (struct wy_queue *q, int64_t now_ms)
{
  struct wy_queue_item_list *lists[] = { &q->callers, &q->suspects };

  q->expire_ms = INT64_MAX;
  for (uint32_t i = 0; i < sizeof lists / sizeof lists[0]; i++)
    for (struct wy_queue_item *it = lists[i]->head; it; it = it->next)
      {
        if (it->start_by_ms <= now_ms)
          return it;
        if (it->start_by_ms < q->expire_ms)
          q->expire_ms = it->start_by_ms;
      }
  return NULL;
}

/* The next waiting caller whose deadline has passed or can't be met any more,
   taken out of the queue; NULL when there is none.  It has not run, and its
   refusal goes out at once.  The list is walked only when the earliest of
   them is due.  */
struct wy_queue_item *
wy_queue_expire (struct wy_queue *q, int64_t now_ms)
{
  struct wy_queue_item *it;

  if (now_ms < q->expire_ms)
    return NULL;
  it = find_expired (q, now_ms);
  if (!it)
    return NULL;
  q->expire_ms = now_ms;
  wy_queue_cancel (q, it, now_ms);
  return it;
}

/* When to call wy_queue_expire and wy_queue_next again though nothing else
   happens; INT64_MAX when there is no such time.  */
int64_t
wy_queue_next_wakeup_ms (const struct wy_queue *q, int64_t now_ms)
{
  int64_t at = q->expire_ms;
  int64_t quiet_ms = q->caller_seen_ms + q->o.quiet_ms;

  if (q->rollouts_waiting + q->rollouts_paused > 0 && quiet_ms > now_ms
      && quiet_ms < at)
    at = quiet_ms;
  return at < now_ms ? now_ms : at;
}
