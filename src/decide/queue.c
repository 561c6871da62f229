/* Admission queue in front of one target.

   Engines start whatever arrives and have no priorities, so requests wait here
   instead.  Callers (interactive and non-idempotent requests) go first;
   rollouts use the remaining streams and are paused for callers.  It is
   designed for an unlimited backlog of rollouts and callers that arrive in
   bursts.  */
#include "decide/queue.h"

#include <stddef.h>
#include <string.h>

#include "decide/item_list.h"
#include "decide/queue_order.h"

/* The batch size of an engine, which queues further streams itself, without
   priorities.  */
#define STREAMS_MAX 64
#define KV_TOKENS_MAX 65536
/* Limits the memory of the queue; waiting times are limited by deadlines.  */
#define CALLERS_WAITING_MAX 1024
#define ROLLOUTS_WAITING_MAX 4096
/* A rollout that has waited this long may start before callers.  */
#define AGEING_MS 30000
/* Callers come in bursts; rollouts resumed between two of them would only be
   paused again.  */
#define CALLER_IDLE_MS 500
#define TOKEN_BASE_US 8000
#define TOKEN_PER_STREAM_US 250
#define PREFILL_TOKEN_US 20
#define SERVICE_MS 20
/* Factor on the expected wait.  Half of the callers admitted without a margin
   would wait longer than expected and be rejected later.  The target is
   utilized as well with a shorter queue.  */
#define WAIT_MARGIN 2
/* Weight of a new measurement: the mean covers a few tens of calls.  */
#define SMOOTHING 0.1
/* Tokens between two measurements of a stream's time per token, as tokens
   arrive in bursts.  */
#define MEASURE_TOKENS 8
/* A full batch yields about fifty measurements per second.  */
#define SLOWNESS_SMOOTHING 0.05

static uint32_t
or_default (uint32_t v, uint32_t dflt)
{
  return v ? v : dflt;
}

/* Initialize Q for the target described by O.  */
void
wy_queue_init (struct wy_queue *q, const struct wy_queue_options *o)
{
  memset (q, 0, sizeof *q);
  q->o.kind = o->kind;
  q->o.streams_max = or_default (o->streams_max, STREAMS_MAX);
  q->o.shared_streams_max
      = or_default (o->shared_streams_max, WY_SHARED_STREAMS_MAX);
  if (q->o.shared_streams_max > q->o.streams_max)
    q->o.shared_streams_max = q->o.streams_max;
  q->o.kv_tokens_max = or_default (o->kv_tokens_max, KV_TOKENS_MAX);
  q->o.callers_waiting_max
      = or_default (o->callers_waiting_max, CALLERS_WAITING_MAX);
  q->o.rollouts_waiting_max
      = or_default (o->rollouts_waiting_max, ROLLOUTS_WAITING_MAX);
  q->o.ageing_ms = or_default (o->ageing_ms, AGEING_MS);
  q->o.caller_idle_ms = or_default (o->caller_idle_ms, CALLER_IDLE_MS);
  q->o.token_base_us = or_default (o->token_base_us, TOKEN_BASE_US);
  q->o.token_per_stream_us
      = or_default (o->token_per_stream_us, TOKEN_PER_STREAM_US);
  q->o.prefill_token_us = or_default (o->prefill_token_us, PREFILL_TOKEN_US);
  q->o.service_ms = or_default (o->service_ms, SERVICE_MS);
  q->slowness = 1;
  q->last_caller_ms = INT64_MIN / 2;
  q->next_expiry_ms = INT64_MAX;
  for (uint32_t i = 0; i < WY_QUEUE_TRAINERS_MAX; i++)
    q->trainer[i].weight = 1;
}

/* Set the fair-share WEIGHT of the trainer of SLOT.  Returns 0, or -1 if an
   argument is out of range.  */
int
wy_queue_set_trainer (struct wy_queue *q, uint32_t slot, double weight)
{
  if (slot >= WY_QUEUE_TRAINERS_MAX || !(weight > 0))
    return -1;
  q->trainer[slot].weight = weight;
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

/* Why IT must be rejected, or WY_REFUSAL_NONE.  A request that can't meet its
   deadline is rejected immediately: under overload it would take the place of
   one that still can.  */
static enum wy_refusal
refusal_reason (const struct wy_queue *q, const struct wy_queue_item *it,
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

/* Until the first caller has ended, the time per caller is estimated from the
   first request.  Without an estimate, all of a burst on a new target would be
   admitted and most of it would end too late.  */
static void
record_caller_arrival (struct wy_queue *q, const struct wy_queue_item *it,
                       int64_t now_ms)
{
  q->last_caller_ms = now_ms;
  if (q->caller_ms == 0)
    q->caller_ms = wy_queue_expected_run_ms (q, it);
}

/* Offer IT to Q.  A rejected item is not queued and has not run.  If the
   result is WY_ADMISSION_RUN the item counts as running and its owner must
   start it.  */
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
    record_caller_arrival (q, it, now_ms);
  why = refusal_reason (q, it, now_ms);
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

/* Update the estimates after a run of IT that took RUN_MS.  */
static void
record_run (struct wy_queue *q, const struct wy_queue_item *it, int64_t run_ms)
{
  double expected = wy_queue_expected_run_ms (q, it) / q->slowness;

  if (it->work_class != WY_CLASS_ROLLOUT)
    q->caller_ms += SMOOTHING * ((double)run_ms - q->caller_ms);
  if (q->o.kind == WY_QUEUE_SERVICE && expected > 0)
    q->slowness += SMOOTHING * ((double)run_ms / expected - q->slowness);
}

/* Update the slowness of the engine from the tokens that IT got since the last
   measurement.  The first call only starts a measurement, as the time before
   includes the prefill.  An engine can become ten times slower while all else
   looks normal; this measurement lets its agent reject requests that would be
   late, and report the time per token.  */
static void
record_token_latency (struct wy_queue *q, struct wy_queue_item *it,
                      uint32_t tokens, int64_t now_ms)
{
  uint32_t streams = q->running_callers.n + q->running_rollouts.n;
  double expected_us
      = q->o.token_base_us + (double)q->o.token_per_stream_us * streams;
  double us;

  if (it->measured_ms != 0 && tokens < it->measured_tokens + MEASURE_TOKENS)
    return;
  us = (double)(now_ms - it->measured_ms) * 1000
       / (tokens - it->measured_tokens);
  if (it->measured_ms != 0)
    q->slowness += SLOWNESS_SMOOTHING * (us / expected_us - q->slowness);
  it->measured_ms = now_ms;
  it->measured_tokens = tokens;
}

/* Record that IT has produced TOKENS so far.  The KV memory charged to a
   stream that exceeds its prediction grows with it.  */
void
wy_queue_progress (struct wy_queue *q, struct wy_queue_item *it,
                   uint32_t tokens, int64_t now_ms)
{
  uint32_t used = it->prompt_tokens + tokens;

  if (q->o.kind == WY_QUEUE_ENGINE && it->state == WY_QUEUE_ITEM_RUNNING
      && tokens > it->measured_tokens)
    record_token_latency (q, it, tokens, now_ms);
  if (it->work_class == WY_CLASS_ROLLOUT && tokens > it->tokens)
    q->trainer[it->trainer].virtual_time
        += (tokens - it->tokens) / q->trainer[it->trainer].weight;
  if (tokens > it->tokens)
    it->tokens = tokens;
  if (q->o.kind != WY_QUEUE_ENGINE || used <= it->kv_tokens)
    return;
  if (it->state == WY_QUEUE_ITEM_RUNNING || it->state == WY_QUEUE_ITEM_PAUSED)
    q->kv_used_tokens += used - it->kv_tokens;
  if (it->state == WY_QUEUE_ITEM_PAUSED)
    q->kv_paused_tokens += used - it->kv_tokens;
  it->kv_tokens = used;
}

/* IT has ended after TOKENS of output: remove it from the queue.  */
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
  record_run (q, it, now_ms - it->run_started_ms);
  wy_queue_cancel (q, it, now_ms);
}

/* Remove IT from the queue, in any state.  */
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
        q->last_caller_ms = now_ms;
      break;
    case WY_QUEUE_ITEM_PAUSED:
      wy_queue_item_unlink (&q->trainer[it->trainer].paused, it);
      q->rollouts_paused--;
      q->kv_used_tokens -= it->kv_tokens;
      q->kv_paused_tokens -= it->kv_tokens;
      break;
    }
  if (q->isolated == it)
    q->isolated = NULL;
  it->state = WY_QUEUE_ITEM_NOT_QUEUED;
}

/* Reject new work from now on; items in the queue are completed.  */
void
wy_queue_close (struct wy_queue *q)
{
  q->closing = true;
}

/* Whether no item waits, runs or is paused.  */
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

  q->next_expiry_ms = INT64_MAX;
  for (uint32_t i = 0; i < sizeof lists / sizeof lists[0]; i++)
    for (struct wy_queue_item *it = lists[i]->head; it; it = it->next)
      {
        if (it->start_by_ms <= now_ms)
          return it;
        if (it->start_by_ms < q->next_expiry_ms)
          q->next_expiry_ms = it->start_by_ms;
      }
  return NULL;
}

/* Remove and return the next waiting caller that can't meet its deadline any
   more; NULL if there is none.  It has not run and is to be rejected
   immediately.  The list is searched only when the earliest is due.  */
struct wy_queue_item *
wy_queue_expire (struct wy_queue *q, int64_t now_ms)
{
  struct wy_queue_item *it;

  if (now_ms < q->next_expiry_ms)
    return NULL;
  it = find_expired (q, now_ms);
  if (!it)
    return NULL;
  q->next_expiry_ms = now_ms;
  wy_queue_cancel (q, it, now_ms);
  return it;
}

/* The time at which to call wy_queue_expire and wy_queue_next even if nothing
   else happens; INT64_MAX if not needed.  */
int64_t
wy_queue_next_wakeup_ms (const struct wy_queue *q, int64_t now_ms)
{
  int64_t at = q->next_expiry_ms;
  int64_t idle_from_ms = q->last_caller_ms + q->o.caller_idle_ms;

  if (q->rollouts_waiting + q->rollouts_paused > 0 && idle_from_ms > now_ms
      && idle_from_ms < at)
    at = idle_from_ms;
  return at < now_ms ? now_ms : at;
}
