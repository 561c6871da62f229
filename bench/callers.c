/* Load cases felt by callers: each under the decisions of src/decide and
   under the baselines, at both deployments' sizes and ten times the larger.
   Prints one line per figure: case, size, policy, figure, value.  */
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

/* The size to design for, for the one case that depends on it.  */
static const struct size planned = { "planned", 3200, 30 };

#define N(a) (sizeof (a) / sizeof ((a)[0]))

/* Callers a second that keep an engine's whole batch busy: 64 streams of
   200 prompt tokens and 69 output tokens (the mean of the log-normal with
   median 64) at 24 ms.  */
#define CALLERS_FULL 38.4
#define CALLERS 2.0
#define CALLER_MEAN_TOKENS 69
#define LAST_MS 4000

static const struct wb_case cases[] = {
  { .name = "unloaded", .callers_per_s = CALLERS, .duration_ms = 60000 },
  { .name = "steady",
    .callers_per_s = CALLERS,
    .rollouts = 80,
    .duration_ms = 60000 },
  { .name = "burst-10x-5s",
    .callers_per_s = CALLERS,
    .rollouts = 80,
    .duration_ms = 40000,
    .burst_at_ms = 20000,
    .burst_ms = 5000,
    .burst_factor = 10 },
  { .name = "skewed-prefix",
    .callers_per_s = CALLERS,
    .rollouts = 80,
    .duration_ms = 60000,
    .prefix_tokens = 4000,
    .prefix_skew = 0.5 },
  { .name = "slow-target",
    .callers_per_s = CALLERS,
    .rollouts = 80,
    .duration_ms = 60000,
    .slow_at_ms = 10000 },
  { .name = "long-with-short",
    .callers_per_s = CALLERS,
    .rollouts = 80,
    .stragglers = true,
    .duration_ms = 60000 },
  { .name = "saturated-2x-60s",
    .callers_per_s = 2 * CALLERS_FULL,
    .rollouts = 80,
    .duration_ms = 70000 },
  { .name = "az-lost",
    .callers_per_s = CALLERS,
    .rollouts = 80,
    .duration_ms = 40000,
    .az_lost_at_ms = 20000 },
  { .name = "weight-swap",
    .callers_per_s = CALLERS,
    .rollouts = 80,
    .duration_ms = 30000,
    .swap_at_ms = 12000 },
};

static double unloaded_p99_ms;

static void
line (const char *c, const char *size, const char *policy, const char *figure,
      double v)
{
  printf ("%s\t%s\t%s\t%s\t%.4g\n", c, size, policy, figure, v);
}

static double
share (uint64_t part, uint64_t whole)
{
  return whole ? (double)part / (double)whole : 0;
}

/* The output tokens that the engines could make for callers, who stop coming
   4 s before the end, or that callers asked for if that is less.  */
static double
able_tokens (const struct wb_case *c, const struct wb_figures *f)
{
  double span_ms = c->duration_ms - c->count_from_ms - LAST_MS;
  double prefill_ms = (200 + c->prefix_tokens) * WB_PREFILL_TOKEN_MS;
  double run_ms = CALLER_MEAN_TOKENS * wb_token_ms (WB_STREAMS_MAX);
  double can = c->engines * span_ms * wb_capacity_tokens_per_ms () * run_ms
               / (run_ms + prefill_ms);

  return can < f->offered_tokens ? can : f->offered_tokens;
}

static void
report (const struct wb_case *c, const char *size, const char *policy,
        struct wb_figures *f)
{
  double p99 = wb_values_quantile (&f->latency_ms, 0.99);
  double span_ms = c->duration_ms - c->count_from_ms;

  if (strcmp (c->name, "unloaded") == 0 && strcmp (policy, "waxwing") == 0)
    unloaded_p99_ms = p99;
  line (c->name, size, policy, "p50_ms",
        wb_values_quantile (&f->latency_ms, 0.5));
  line (c->name, size, policy, "p99_ms", p99);
  line (c->name, size, policy, "p99_over_unloaded", p99 / unloaded_p99_ms);
  line (c->name, size, policy, "refused_share",
        share (f->refused, f->offered));
  line (c->name, size, policy, "in_time_share",
        share (f->in_time, f->offered));
  line (c->name, size, policy, "in_time_of_able",
        f->in_time_tokens / able_tokens (c, f));
  line (c->name, size, policy, "refusal_p99_ms",
        wb_values_quantile (&f->refusal_ms, 0.99));
  line (c->name, size, policy, "attempts_per_request",
        1 + share (f->retries, f->offered));
  line (c->name, size, policy, "rollout_tokens_share",
        f->rollout_tokens
            / (c->engines * span_ms * wb_capacity_tokens_per_ms ()));
  if (c->swap_at_ms > 0)
    line (c->name, size, policy, "swap_all_ms", f->swap_ms);
}

static void
run (const struct wb_case *proto, const struct size *s,
     const struct wb_policy *p)
{
  struct wb_case c = *proto;
  struct wb_simulation *w;

  c.engines = s->engines;
  c.entries = s->entries;
  c.azs = 3;
  c.rollout_tokens = 400;
  c.count_from_ms = 5000;
  /* Callers have 2 s before the slow target counts as found.  */
  if (c.slow_at_ms > 0)
    c.count_from_ms = c.slow_at_ms + 2000;
  /* Only those who come while weights are swapped.  */
  if (c.swap_at_ms > 0)
    {
      c.count_from_ms = c.swap_at_ms;
      c.duration_ms = c.swap_at_ms + 6000 + LAST_MS;
    }
  w = wb_simulate (&c, p, SEED);
  report (&c, s->name, p->name, wb_simulation_figures (w));
  wb_simulation_free (w);
}

/* Weights activated on all replicas at once, after the same seconds without.
   The 120 engines' unloaded callers stand for those of 3,200.  */
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
