/* Latency for callers in simulated systems under load, in virtual time, and
   comparison of the simulated engine with the stand-in engine.  */
#include <criterion/criterion.h>

#include <string.h>

#include "../bench/support/simulation.h"
#include "standin/engine_batch.h"

#define ENGINES 9
#define SEED 7

static const struct wb_policy waxwing_policy
    = { "waxwing", WB_QUEUE_PRIORITY, WB_PLACE_TABLE, WB_STRAGGLER_STEPS };

static struct wb_case
base_case (void)
{
  struct wb_case c = { .name = "yard",
                       .engines = ENGINES,
                       .azs = 3,
                       .entries = 3,
                       .callers_per_s = 2,
                       .rollouts = 80,
                       .rollout_tokens = 400,
                       .duration_ms = 40000,
                       .count_from_ms = 5000 };

  return c;
}

static double
p99_ms (const struct wb_case *c)
{
  struct wb_simulation *w = wb_simulate (c, &waxwing_policy, SEED);
  double v = wb_values_quantile (&wb_simulation_figures (w)->latency_ms, 0.99);

  wb_simulation_free (w);
  return v;
}

static void
expect_all_in_time (const struct wb_case *c)
{
  struct wb_simulation *w = wb_simulate (c, &waxwing_policy, SEED);
  const struct wb_figures *f = wb_simulation_figures (w);

  cr_assert_gt (f->offered, 300U);
  cr_assert_eq (f->in_time, f->offered);
  wb_simulation_free (w);
}

/* Rollouts occupy all engines while callers arrive.  Without priorities a
   caller would wait for hundreds of streams and get nothing for seconds.  */
Test (load, callers_with_rollout_backlog)
{
  struct wb_case c = base_case ();
  struct wb_case alone = c;

  alone.rollouts = 0;
  cr_assert_leq (p99_ms (&c), 1.25 * p99_ms (&alone));
}

/* Ten times as many callers arrive for five seconds.  All must get a response
   in time, from targets that were running only rollouts.  */
Test (load, burst)
{
  struct wb_case c = base_case ();

  c.burst_at_ms = 15000;
  c.burst_ms = 5000;
  c.burst_factor = 10;
  expect_all_in_time (&c);
}

/* Half of the callers share one long prompt prefix.  Without a limit they
   would all be sent to the targets that have it cached and overload these.  */
Test (load, skewed_prefix)
{
  struct wb_case c = base_case ();

  c.prefix_tokens = 4000;
  c.prefix_skew = 0.5;
  expect_all_in_time (&c);
}

/* One target becomes ten times slower but still answers heartbeats.  Two
   seconds later callers must no longer be affected.  */
Test (load, slow_target)
{
  struct wb_case c = base_case ();
  struct wb_case normal;

  c.count_from_ms = 12000;
  normal = c;
  c.slow_at_ms = 10000;
  cr_assert_leq (p99_ms (&c), 1.3 * p99_ms (&normal));
}

/* One rollout in a hundred is twenty times as long as the others.  Such
   streams accumulate on engines and use memory that callers need.  */
Test (load, long_with_short)
{
  struct wb_case c = base_case ();

  c.stragglers = true;
  expect_all_in_time (&c);
}

/* An availability zone fails with a third of the engines and everything that
   runs there.  Callers must still get responses in time.  */
Test (load, zone_failed)
{
  struct wb_case c = base_case ();

  c.az_lost_at_ms = 20000;
  expect_all_in_time (&c);
}

/* Twice as many callers arrive as the engines can handle.  If all were
   admitted, all responses would be late.  The excess must be rejected
   immediately, and retries must not add to the load.  */
Test (load, overload)
{
  struct wb_case c = base_case ();
  struct wb_figures *f;
  struct wb_simulation *w;
  double capacity;

  c.callers_per_s = 77;
  w = wb_simulate (&c, &waxwing_policy, SEED);
  f = wb_simulation_figures (w);
  /* Each caller has 200 prompt tokens and 69 output tokens; none arrive in the
     last 4 s.  */
  capacity = ENGINES * (c.duration_ms - c.count_from_ms - 4000)
             * wb_capacity_tokens_per_ms () * 69 * 24 / (69 * 24 + 4);
  cr_assert_geq (f->in_time_tokens, 0.95 * capacity);
  cr_assert_leq (wb_values_quantile (&f->refusal_ms, 0.99), 10);
  cr_assert_leq ((double)f->retries, 0.101 * (double)f->offered);
  wb_simulation_free (w);
}

/* All replicas activate new weights while callers arrive.  */
Test (load, weight_activation)
{
  struct wb_case c = base_case ();
  struct wb_simulation *w;

  c.swap_at_ms = 12000;
  expect_all_in_time (&c);
  w = wb_simulate (&c, &waxwing_policy, SEED);
  cr_assert_gt (wb_simulation_figures (w)->swap_ms, 0);
  cr_assert_leq (wb_simulation_figures (w)->swap_ms, 6000);
  wb_simulation_free (w);
}

struct ends
{
  int64_t now_us;
  int64_t at_us[WB_STREAMS_MAX];
  uint32_t n;
};

static void
on_token (struct wy_engine_stream *s, void *ctx)
{
  (void)s;
  (void)ctx;
}

static void
on_done (struct wy_engine_stream *s, void *ctx)
{
  struct ends *e = ctx;

  e->at_us[e->n++] = e->now_us;
  wy_engine_stream_free (s);
}

/* End times of N streams of 10, 20, 30... tokens on the stand-in engine.  */
static void
run_standin (uint32_t n, struct ends *e)
{
  struct wy_engine_batch_options o = { .token_base_us = 8000,
                                       .token_per_stream_us = 250,
                                       .batch_max = WB_STREAMS_MAX,
                                       .kv_total = WB_KV_TOKENS_MAX,
                                       .time_scale = 1,
                                       .on_token = on_token,
                                       .on_done = on_done,
                                       .ctx = e };
  struct wy_engine_batch b;

  wy_engine_batch_init (&b, &o);
  for (uint32_t i = 0; i < n; i++)
    {
      struct wy_engine_stream *s = g_new0 (struct wy_engine_stream, 1);

      s->request_id = g_strdup_printf ("r%u", i);
      s->run = g_strdup ("1");
      s->nonce = g_strdup ("n");
      s->prompt = g_strdup ("p");
      s->prefix_name = g_strdup ("p");
      s->total = 10 * (i + 1);
      s->by_length = true;
      s->segments
          = g_array_new (FALSE, FALSE, sizeof (struct wy_engine_segment));
      wy_engine_batch_add (&b, s);
    }
  do
    e->now_us = wy_engine_batch_advance (&b, e->now_us, 0);
  while (e->n < n && e->now_us > 0);
}

/* The benchmarks use a simulated engine.  It must have the same speed as the
   stand-in engine, or their results would not apply to the daemons.  */
Test (engine_model, same_speed_as_stand_in)
{
  for (uint32_t n = 1; n <= WB_STREAMS_MAX; n *= 4)
    {
      struct ends e = { 0 };
      struct wb_stream s[WB_STREAMS_MAX];
      struct wb_stream *next;
      struct wb_engine g;

      run_standin (n, &e);
      cr_assert_eq (e.n, n);
      wb_engine_init (&g);
      memset (s, 0, sizeof s);
      for (uint32_t i = 0; i < n; i++)
        {
          s[i].left_tokens = 10 * (i + 1);
          wb_engine_start (&g, &s[i], 0, 0);
        }
      for (uint32_t i = 0; i < n; i++)
        {
          double at_ms = wb_engine_next_ms (&g, &next);

          cr_assert_float_eq (at_ms * 1000, (double)e.at_us[i], 1000,
                              "%u streams, end %u: %f and %lld", n, i,
                              at_ms * 1000, (long long)e.at_us[i]);
          wb_engine_stop (&g, next, at_ms);
        }
    }
}
