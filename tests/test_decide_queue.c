/* Outcomes for callers of the admission queue.  */
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

/* Rollouts fill an engine when a caller comes.  The caller must not wait for
   a rollout to end, and the rollouts that gave way must go on where they
   were, not from the start.  */
Test (queue, caller_runs_at_once_beside_saturating_rollouts)
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

/* Twice as many callers come as the engine can answer.  Those who can't be
   answered in time hear so when they ask, not when their time is up.  */
Test (queue, refuses_early_what_cannot_be_answered_in_time)
{
  static struct wy_queue_item c[64];
  uint32_t refused = 0;

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
      refused++;
    }
  cr_assert_gt (refused, 0U);
  cr_assert_lt (refused, 64U);
}

/* A request crashed a target and is tried once more.  Nothing may run beside
   it that would be lost with it.  */
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

/* An engine falls to a tenth of its speed with callers on it.  Its agent must
   say so in its reports and refuse what it can no longer answer in time.  */
Test (queue, slow_engine_shows_in_reports_and_refusals)
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

/* A plain service gets more calls than it runs at once, behind a few that may
   not be repeated.  All that can be answered in time are, in the order they
   came, and one that can't hears so at once.  */
Test (queue, service_calls_in_order_and_refused_early)
{
  struct wy_queue_options o
      = { .kind = WY_QUEUE_SERVICE, .streams_max = 2, .service_ms = 100 };
  static struct wy_queue_item c[20];
  uint32_t taken = 0;
  uint32_t answered = 0;

  wy_queue_init (&q, &o);
  for (uint32_t i = 0; i < 20; i++)
    {
      c[i].work_class = i % 3 ? WY_CLASS_INTERACTIVE : WY_CLASS_NON_IDEMPOTENT;
      c[i].deadline_ms = 600;
      taken += wy_queue_offer (&q, &c[i], 0).kind != WY_ADMISSION_REFUSED;
    }
  cr_assert_gt (taken, 4U);
  cr_assert_lt (taken, 12U);
  for (uint32_t i = 0; i < taken; i += 2)
    {
      int64_t now_ms = 50 * ((int64_t)i + 2);

      for (uint32_t k = i; k < i + 2 && k < taken; k++)
        {
          cr_assert_eq (c[k].state, WY_QUEUE_ITEM_RUNNING);
          cr_assert_leq (now_ms, 600);
          wy_queue_done (&q, &c[k], 0, now_ms);
          answered++;
        }
      cr_assert_null (wy_queue_expire (&q, now_ms));
      while (wy_queue_next (&q, now_ms))
        ;
    }
  cr_assert_eq (answered, taken);
  cr_assert (wy_queue_empty (&q));
}

/* A target is told to leave.  What it has goes on to its end; nothing new
   starts there.  */
Test (queue, closing_takes_no_new_work_and_ends_the_rest)
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

/* Two trainers share an engine, one worth three times the other.  The lesser
   must get its quarter, not nothing, and not half.  */
Test (queue, trainers_share_by_worth)
{
  static struct wy_queue_item it[400];
  uint32_t got[2] = { 0 };
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

      got[first->trainer]++;
      wy_queue_done (&q, first, 400, now_ms += 1000);
      while (wy_queue_next (&q, now_ms))
        ;
    }
  cr_assert_geq (got[1], 40U);
  cr_assert_leq (got[1], 60U);
}
