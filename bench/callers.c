/* Load as callers experience it, in virtual time: each case with the decisions
   of src/decide and with the baselines, at the sizes of both deployments and
   at ten times the larger one.

   Usage: callers [ours]

   Prints one line per figure: case, size, policy, figure, value.  With `ours'
   only the decisions of src/decide are simulated.  */
#include <stdio.h>
#include <string.h>

#include "support/simulation.h"

#define SEED 20261202

static const struct wb_policy policies[] = {
  { "waxwing", WB_QUEUE_PRIORITY, WB_PLACE_TABLE, WB_STRAGGLER_STEPS },
  { "fifo-rr", WB_QUEUE_FIFO, WB_PLACE_ROUND_ROBIN, WB_STRAGGLER_STEPS },
  { "least-reported", WB_QUEUE_PRIORITY, WB_PLACE_LEAST_REPORTED,
    WB_STRAGGLER_STEPS },
  { "two-choices", WB_QUEUE_PRIORITY, WB_PLACE_TWO_CHOICES,
    WB_STRAGGLER_STEPS },
  { "no-priorities", WB_QUEUE_FIFO, WB_PLACE_TABLE, WB_STRAGGLER_STEPS },
};

struct size
{
  const char *name;
  uint32_t engines;
  uint32_t entries;
};

static const struct size sizes[] = {
  { "claims", 9, 3 },
  { "carde", 12, 3 },
  { "carde-10x", 120, 10 },
};

/* The size that the system is designed for; simulated for one case only.  */
static const struct size planned = { "planned", 3200, 30 };

#define N(a) (sizeof (a) / sizeof ((a)[0]))

/* Callers per second that fill the batch of an engine: 64 streams of 200
   prompt tokens and 69 output tokens (the mean of the log-normal distribution
   with median 64) at 24 ms per token.  */
#define FULL_CALLERS_PER_S 38.4
#define CALLERS_PER_S 2.0
#define CALLER_MEAN_TOKENS 69
#define DRAIN_MS 4000

static const struct wb_case cases[] = {
  { .name = "unloaded", .callers_per_s = CALLERS_PER_S, .duration_ms = 60000 },
  { .name = "steady",
    .callers_per_s = CALLERS_PER_S,
    .rollouts = 80,
    .duration_ms = 60000 },
  { .name = "burst-10x-5s",
    .callers_per_s = CALLERS_PER_S,
    .rollouts = 80,
    .duration_ms = 40000,
    .burst_at_ms = 20000,
    .burst_ms = 5000,
    .burst_factor = 10 },
  { .name = "skewed-prefix",
    .callers_per_s = CALLERS_PER_S,
    .rollouts = 80,
    .duration_ms = 60000,
    .prefix_tokens = 4000,
    .prefix_skew = 0.5 },
  { .name = "slow-target",
    .callers_per_s = CALLERS_PER_S,
    .rollouts = 80,
    .duration_ms = 60000,
    .slow_at_ms = 10000 },
  { .name = "long-with-short",
    .callers_per_s = CALLERS_PER_S,
    .rollouts = 80,
    .stragglers = true,
    .duration_ms = 60000 },
  { .name = "saturated-2x-60s",
    .callers_per_s = 2 * FULL_CALLERS_PER_S,
    .rollouts = 80,
    .duration_ms = 70000 },
  { .name = "az-lost",
    .callers_per_s = CALLERS_PER_S,
    .rollouts = 80,
    .duration_ms = 40000,
    .az_lost_at_ms = 20000 },
  { .name = "weight-swap",
    .callers_per_s = CALLERS_PER_S,
    .rollouts = 80,
    .duration_ms = 30000,
    .swap_at_ms = 12000 },
};

static double unloaded_p99_ms;

static void
print_figure (const char *c, const char *size, const char *policy,
              const char *figure, double v)
{
  printf ("%s\t%s\t%s\t%s\t%.4g\n", c, size, policy, figure, v);
}

static double
ratio (uint64_t part, uint64_t whole)
{
  return whole ? (double)part / (double)whole : 0;
}

/* Output tokens that the engines could generate for callers, or that callers
   requested if that is less.  No callers arrive in the last 4 s.  */
static double
achievable_tokens (const struct wb_case *c, const struct wb_figures *f)
{
  double span_ms = c->duration_ms - c->count_from_ms - DRAIN_MS;
  double prefill_ms = (200 + c->prefix_tokens) * WB_PREFILL_TOKEN_MS;
  double run_ms = CALLER_MEAN_TOKENS * wb_token_ms (WB_STREAMS_MAX);
  double capacity_tokens = c->engines * span_ms * wb_capacity_tokens_per_ms ()
                           * run_ms / (run_ms + prefill_ms);

  return capacity_tokens < f->offered_tokens ? capacity_tokens
                                             : f->offered_tokens;
}

static void
report (const struct wb_case *c, const char *size, const char *policy,
        struct wb_figures *f)
{
  double p99 = wb_values_quantile (&f->latency_ms, 0.99);
  double span_ms = c->duration_ms - c->count_from_ms;

  if (strcmp (c->name, "unloaded") == 0 && strcmp (policy, "waxwing") == 0)
    unloaded_p99_ms = p99;
  print_figure (c->name, size, policy, "p50_ms",
                wb_values_quantile (&f->latency_ms, 0.5));
  print_figure (c->name, size, policy, "p99_ms", p99);
  print_figure (c->name, size, policy, "p99_over_unloaded",
                p99 / unloaded_p99_ms);
  print_figure (c->name, size, policy, "refused_share",
                ratio (f->refused, f->offered));
  print_figure (c->name, size, policy, "in_time_share",
                ratio (f->in_time, f->offered));
  print_figure (c->name, size, policy, "in_time_of_able",
                f->in_time_tokens / achievable_tokens (c, f));
  print_figure (c->name, size, policy, "refusal_p99_ms",
                wb_values_quantile (&f->refusal_ms, 0.99));
  print_figure (c->name, size, policy, "attempts_per_request",
                1 + ratio (f->retries, f->offered));
  print_figure (c->name, size, policy, "rollout_tokens_share",
                f->rollout_tokens
                    / (c->engines * span_ms * wb_capacity_tokens_per_ms ()));
  if (c->swap_at_ms > 0)
    print_figure (c->name, size, policy, "swap_all_ms", f->swap_ms);
}

static void
run (const struct wb_case *template, const struct size *s,
     const struct wb_policy *p)
{
  struct wb_case c = *template;
  struct wb_simulation *w;

  c.engines = s->engines;
  c.entries = s->entries;
  c.azs = 3;
  c.rollout_tokens = 400;
  c.count_from_ms = 5000;
  /* Callers are counted 2 s after the slowdown, by when it should have been
     detected.  */
  if (c.slow_at_ms > 0)
    c.count_from_ms = c.slow_at_ms + 2000;
  /* Count only callers that arrive during the weight swap.  */
  if (c.swap_at_ms > 0)
    {
      c.count_from_ms = c.swap_at_ms;
      c.duration_ms = c.swap_at_ms + 6000 + DRAIN_MS;
    }
  w = wb_simulate (&c, p, SEED);
  report (&c, s->name, p->name, wb_simulation_figures (w));
  wb_simulation_free (w);
}

/* Swap the weights of all replicas at the planned size, after a period without
   a swap.  The p99 of unloaded callers at 120 engines is the reference for
   3,200.  */
static void
run_planned (void)
{
  struct wb_case c = cases[N (cases) - 1];

  c.swap_at_ms = 8000;
  run (&c, &planned, &policies[0]);
}

int
main (int argc, char **argv)
{
  const char *only = argc > 1 ? argv[1] : NULL;

  for (uint32_t s = 0; s < N (sizes); s++)
    for (uint32_t c = 0; c < N (cases); c++)
      for (uint32_t p = 0; p < N (policies); p++)
        {
          if (p > 0 && only && strcmp (only, "ours") == 0)
            continue;
          run (&cases[c], &sizes[s], &policies[p]);
        }
  if (!only)
    run_planned ();
  return 0;
}
