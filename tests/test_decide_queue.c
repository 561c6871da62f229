/* The admission queue, as seen by callers and trainers.  */
#include <criterion/criterion.h>

#include "decide/queue.h"

static struct wy_queue q;

static void
engine (uint32_t streams, uint32_t shared)
{
  struct wy_queue_options o = { .kind = WY_QUEUE_ENGINE,
                                .streams_max = streams,
                                .shared_streams_max = shared };

  wy_queue_init (&q, &o);
}

static struct wy_queue_item
rollout (uint32_t trainer)
{
  struct wy_queue_item it = { .work_class = WY_CLASS_ROLLOUT,
                              .trainer = trainer,
                              .prompt_tokens = 100,
                              .predicted_tokens = 400 };

  return it;
}

static struct wy_queue_item
caller (int64_t deadline_ms)
{
  struct wy_queue_item it = { .work_class = WY_CLASS_INTERACTIVE,
                              .prompt_tokens = 100,
                              .predicted_tokens = 50,
                              .deadline_ms = deadline_ms };

  return it;
}

/* A caller arrives while rollouts occupy all streams.  It must not wait for a
   rollout to end, and the rollouts paused for it must be resumed, not
   restarted.  */
Test (queue, caller_preempts_rollouts)
{
  static struct wy_queue_item r[8];
  struct wy_queue_item c = caller (2000);
  struct wy_preempt p;
  uint32_t paused = 0;

  engine (8, 4);
  for (int i = 0; i < 8; i++)
    {
      r[i] = rollout (0);
      cr_assert_eq (wy_queue_offer (&q, &r[i], 0).kind, WY_ADMISSION_RUN);
    }
  cr_assert_eq (wy_queue_offer (&q, &c, 10).kind, WY_ADMISSION_QUEUED);
  while ((p = wy_queue_preempt (&q, 10)).kind != WY_PREEMPT_NONE)
    {
      cr_assert_eq (p.kind, WY_PREEMPT_PAUSE);
      paused++;
    }
  cr_assert_eq (paused, 5);
  cr_assert_eq (wy_queue_next (&q, 10), &c);
  cr_assert_null (wy_queue_next (&q, 10));
  wy_queue_done (&q, &c, 50, 500);
  for (uint32_t i = 0; i < paused; i++)
    {
      struct wy_queue_item *it = wy_queue_next (&q, 5000);

      cr_assert_not_null (it);
      cr_assert (it->started);
      cr_assert_not (it->evicted);
    }
}

/* Twice as many callers arrive as the engine can handle.  Those that can't
   meet their deadline must be rejected on arrival, not at their deadline.  */
Test (queue, rejects_on_arrival_if_deadline_cannot_be_met)
{
  static struct wy_queue_item c[64];
  uint32_t rejected = 0;

  engine (4, 4);
  for (int i = 0; i < 64; i++)
    {
      struct wy_admission v;

      c[i] = caller (3000);
      v = wy_queue_offer (&q, &c[i], 0);
      if (v.kind != WY_ADMISSION_REFUSED)
        continue;
      cr_assert_eq (v.reason, WY_REFUSAL_DEADLINE);
      cr_assert_gt (v.retry_after_ms, 0U);
      cr_assert_eq (c[i].state, WY_QUEUE_ITEM_NOT_QUEUED);
      rejected++;
    }
  cr_assert_gt (rejected, 0U);
  cr_assert_lt (rejected, 64U);
}

/* A request that crashed a target is run again.  Nothing else may run at the
   same time, as it would be lost in another crash.  */
Test (queue, suspect_runs_alone)
{
  struct wy_queue_item r = rollout (0);
  struct wy_queue_item c = caller (0);
  struct wy_queue_item s = caller (0);
  struct wy_queue_item late = rollout (0);

  engine (8, 4);
  s.suspect = true;
  wy_queue_offer (&q, &r, 0);
  wy_queue_offer (&q, &c, 0);
  cr_assert_eq (wy_queue_offer (&q, &s, 0).kind, WY_ADMISSION_QUEUED);
  wy_queue_done (&q, &c, 50, 400);
  cr_assert_null (wy_queue_next (&q, 400));
  cr_assert_eq (wy_queue_preempt (&q, 2500).kind, WY_PREEMPT_PAUSE);
  cr_assert_eq (wy_queue_next (&q, 2500), &s);
  cr_assert_eq (wy_queue_offer (&q, &late, 2500).kind, WY_ADMISSION_QUEUED);
  wy_queue_done (&q, &s, 50, 3000);
  cr_assert_not_null (wy_queue_next (&q, 9000));
}

/* An engine becomes ten times slower.  The queue must report this and reject
   requests that can no longer meet their deadline.  */
Test (queue, slow_engine_is_reported_and_rejects)
{
  struct wy_queue_item r = rollout (0);
  struct wy_queue_item c = caller (3000);
  struct wy_queue_load l;
  int64_t now_ms = 0;

  engine (8, 4);
  wy_queue_offer (&q, &r, now_ms);
  for (uint32_t tokens = 10; tokens <= 1000; tokens += 10)
    wy_queue_progress (&q, &r, tokens, now_ms += 800);
  wy_queue_load (&q, now_ms, &l);
  cr_assert_gt (l.us_per_token, 70000U);
  c.deadline_ms = now_ms + 3000;
  cr_assert_eq (wy_queue_offer (&q, &c, now_ms).reason, WY_REFUSAL_DEADLINE);
}

/* A plain service gets more calls than it can run concurrently, some of them
   not idempotent.  All that are admitted must end in time, in order of
   arrival; the others must be rejected on arrival.  */
Test (queue, service_calls_run_in_order_or_are_rejected)
{
  struct wy_queue_options o
      = { .kind = WY_QUEUE_SERVICE, .streams_max = 2, .service_ms = 100 };
  static struct wy_queue_item c[20];
  uint32_t admitted = 0;
  uint32_t completed = 0;

  wy_queue_init (&q, &o);
  for (uint32_t i = 0; i < 20; i++)
    {
      c[i].work_class = i % 3 ? WY_CLASS_INTERACTIVE : WY_CLASS_NON_IDEMPOTENT;
      c[i].deadline_ms = 600;
      admitted += wy_queue_offer (&q, &c[i], 0).kind != WY_ADMISSION_REFUSED;
    }
  cr_assert_gt (admitted, 4U);
  cr_assert_lt (admitted, 12U);
  for (uint32_t i = 0; i < admitted; i += 2)
    {
      int64_t now_ms = 50 * ((int64_t)i + 2);

      for (uint32_t k = i; k < i + 2 && k < admitted; k++)
        {
          cr_assert_eq (c[k].state, WY_QUEUE_ITEM_RUNNING);
          cr_assert_leq (now_ms, 600);
          wy_queue_done (&q, &c[k], 0, now_ms);
          completed++;
        }
      cr_assert_null (wy_queue_expire (&q, now_ms));
      while (wy_queue_next (&q, now_ms))
        ;
    }
  cr_assert_eq (completed, admitted);
  cr_assert (wy_queue_empty (&q));
}

/* A draining target completes its requests and rejects new ones.  */
Test (queue, closing_rejects_new_work_and_completes_the_rest)
{
  struct wy_queue_item r = rollout (0);
  struct wy_queue_item c = caller (0);
  struct wy_admission v;

  engine (8, 4);
  wy_queue_offer (&q, &r, 0);
  wy_queue_close (&q);
  v = wy_queue_offer (&q, &c, 1);
  cr_assert_eq (v.kind, WY_ADMISSION_REFUSED);
  cr_assert_eq (v.reason, WY_REFUSAL_CLOSING);
  cr_assert_eq (r.state, WY_QUEUE_ITEM_RUNNING);
  wy_queue_done (&q, &r, 400, 5000);
  cr_assert (wy_queue_empty (&q));
}

/* Two trainers share an engine, with weights of three and one.  The second
   must get a quarter of it.  */
Test (queue, trainers_share_by_weight)
{
  static struct wy_queue_item it[400];
  uint32_t ended[2] = { 0 };
  int64_t now_ms = 0;

  engine (4, 4);
  wy_queue_set_trainer (&q, 0, 3);
  wy_queue_set_trainer (&q, 1, 1);
  for (uint32_t i = 0; i < 400; i++)
    {
      it[i] = rollout (i % 2);
      wy_queue_offer (&q, &it[i], 0);
    }
  for (uint32_t n = 0; n < 200; n++)
    {
      struct wy_queue_item *first = q.running_rollouts.head;

      ended[first->trainer]++;
      wy_queue_done (&q, first, 400, now_ms += 1000);
      while (wy_queue_next (&q, now_ms))
        ;
    }
  cr_assert_geq (ended[1], 40U);
  cr_assert_leq (ended[1], 60U);
}
