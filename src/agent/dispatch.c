/* Executes the decisions of the admission queue: starts, pauses, resumes and
   rejects runs.  */
#include "agent/dispatch.h"

#include <string.h>

#include "agent/run.h"
#include "agent/run_model.h"
#include "agent/run_service.h"

static void
on_queue_timer (uv_timer_t *t)
{
  wy_agent_dispatch (t->data);
}

/* Initialize the queue of A and its timer.  */
void
wy_agent_dispatch_start (struct wy_agent *a)
{
  const struct wy_agent_settings *s = a->s;
  bool model = s->target_kind == WY_TARGET_MODEL;
  struct wy_queue_options o
      = { .kind = model ? WY_QUEUE_ENGINE : WY_QUEUE_SERVICE,
          .streams_max = (uint32_t)s->concurrency,
          .shared_streams_max = (uint32_t)s->shared_streams,
          .kv_tokens_max = (uint32_t)s->kv_tokens };

  if (!model && !o.streams_max)
    o.streams_max = WY_AGENT_SERVICE_CALLS_MAX;
  wy_queue_init (&a->queue, &o);
  uv_timer_init (a->loop, &a->queue_timer);
  a->queue_timer.data = a;
}

static uint32_t
trainer_slot (struct wy_agent *a, const struct wy_frame_submit *s)
{
  uint32_t last = WY_QUEUE_TRAINERS_MAX - 1;

  for (uint32_t i = 0; i < last; i++)
    {
      if (!a->trainers[i])
        a->trainers[i] = wy_bytes_dup (s->trainer);
      if (!wy_bytes_equal (s->trainer, a->trainers[i]))
        continue;
      if (s->worth_milli)
        wy_queue_set_trainer (&a->queue, i, s->worth_milli / 1000.0);
      return i;
    }
  return last;
}

static enum wy_work_class
class_of (const struct wy_frame_submit *s)
{
  if (s->non_idempotent)
    return WY_CLASS_NON_IDEMPOTENT;
  return s->request_class == WY_REQUEST_ROLLOUT ? WY_CLASS_ROLLOUT
                                                : WY_CLASS_INTERACTIVE;
}

static void
start (struct wy_run *r)
{
  r->phase = WY_PHASE_RUNNING;
  if (!r->is_model)
    wy_agent_service_start (r);
  else if (r->item.evicted)
    {
      r->item.evicted = false;
      wy_agent_model_import (r);
    }
  else if (r->item.started)
    wy_agent_model_resume (r);
  else
    wy_agent_model_start (r);
  r->item.started = true;
}

static enum wy_refusal_reason
reason_of (enum wy_refusal why)
{
  switch (why)
    {
    case WY_REFUSAL_CLOSING:
      return WY_REFUSED_LEAVING;
    case WY_REFUSAL_TOO_LARGE:
      return WY_REFUSED_BAD_REQUEST;
    case WY_REFUSAL_NONE:
    case WY_REFUSAL_DEADLINE:
    case WY_REFUSAL_FULL:
      break;
    }
  return WY_REFUSED_BUSY;
}

/* Add R, created from S, to the queue, or start it at once.  If the queue
   rejects R, R has been freed when this returns.  */
void
wy_agent_enqueue (struct wy_run *r, const struct wy_frame_submit *s)
{
  struct wy_agent *a = r->agent;
  int64_t now_ms = wy_agent_now_ms (a);
  struct wy_queue_item *it = &r->item;
  struct wy_admission v;

  it->data = r;
  it->deadline_ms = s->deadline_ms ? now_ms + s->deadline_ms : 0;
  it->work_class = class_of (s);
  it->trainer = trainer_slot (a, s);
  it->prompt_tokens = s->prompt_tokens;
  it->predicted_tokens
      = s->predicted_tokens ? s->predicted_tokens : s->max_tokens;
  it->suspect = s->suspect;
  v = wy_queue_offer (&a->queue, it, now_ms);
  if (v.kind == WY_ADMISSION_REFUSED)
    {
      wy_agent_run_reject (r, reason_of (v.reason), v.retry_after_ms);
      return;
    }
  if (v.kind == WY_ADMISSION_RUN)
    start (r);
  wy_agent_dispatch (a);
}

static void
expire (struct wy_agent *a, int64_t now_ms)
{
  struct wy_queue_item *it;

  while ((it = wy_queue_expire (&a->queue, now_ms)))
    wy_agent_run_reject (it->data, WY_REFUSED_BUSY,
                         1 + wy_queue_expected_wait_ms (&a->queue, now_ms));
}

static void
preempt (struct wy_agent *a, int64_t now_ms)
{
  struct wy_preempt p;

  for (;;)
    {
      p = wy_queue_preempt (&a->queue, now_ms);
      if (p.kind == WY_PREEMPT_NONE)
        return;
      if (p.kind == WY_PREEMPT_PAUSE)
        wy_agent_model_pause (p.item->data);
      else
        wy_agent_model_export (p.item->data);
    }
}

static void
arm_timer (struct wy_agent *a, int64_t now_ms)
{
  int64_t wake_ms = wy_queue_next_wakeup_ms (&a->queue, now_ms);

  if (wake_ms == INT64_MAX)
    uv_timer_stop (&a->queue_timer);
  else
    /* At least 1 ms: whatever is due now has just been done.  */
    uv_timer_start (&a->queue_timer, on_queue_timer,
                    (uint64_t)MAX (wake_ms - now_ms, 1), 0);
}

/* Reject expired requests, preempt runs and start the next ones, as the queue
   decides.  */
void
wy_agent_dispatch (struct wy_agent *a)
{
  int64_t now_ms = wy_agent_now_ms (a);
  struct wy_queue_item *it;

  expire (a, now_ms);
  if (a->target.state == WY_TARGET_UP)
    {
      preempt (a, now_ms);
      while ((it = wy_queue_next (&a->queue, now_ms)))
        start (it->data);
    }
  arm_timer (a, now_ms);
}

/* Dispatch in the next iteration of the event loop.  Used where a caller may
   be iterating over the list of runs.  */
void
wy_agent_dispatch_soon (struct wy_agent *a)
{
  uv_timer_start (&a->queue_timer, on_queue_timer, 0, 0);
}

/* Cancel R, which no caller wants any more.  A non-idempotent request that was
   sent to the target runs to completion.  */
void
wy_agent_run_cancel (struct wy_run *r)
{
  if (r->phase == WY_PHASE_ENDED || (r->non_idempotent && r->sent))
    return;
  if (r->call)
    wy_http_call_cancel (r->call);
  r->call = NULL;
  if (r->is_model && r->sent)
    wy_agent_model_cancel (r);
  if (r->non_idempotent && !r->may_have_run_before)
    {
      r->at_most_once.now_ms = wy_clock_wall_ms (r->agent->clock);
      wy_at_most_once_reported_not_run (r->agent->once, &r->at_most_once);
    }
  wy_agent_run_end (r, WY_RUN_CANCELLED,
                    r->sent || r->may_have_run_before ? WY_RAN_UNKNOWN
                                                      : WY_RAN_NO);
}

/* Reject all runs that have not started with REASON.  Non-idempotent ones,
   which can't run on another target, only if NON_IDEMPOTENT is true.  */
void
wy_agent_reject_waiting (struct wy_agent *a, enum wy_refusal_reason reason,
                         bool non_idempotent)
{
  GList *next;

  for (GList *l = a->open.head; l; l = next)
    {
      struct wy_run *r = l->data;

      next = l->next;
      if (r->phase == WY_PHASE_WAITING
          && (non_idempotent || !r->non_idempotent))
        wy_agent_run_reject (r, reason, WY_AGENT_RETRY_MS);
    }
}
