/* Load as trainers experience it, in virtual time: idle time compared with the
   bound given by total work and total capacity, staleness, and shares by
   worth.

   Usage: steps [ours]

   Prints one line per figure: case, size, policy, figure, value.  With `ours'
   only the decisions of src/decide are simulated, and not at the largest
   size.  */
#include <stdio.h>
#include <string.h>

#include "support/simulation_state.h"

#define SEED 20261202
#define N(a) (sizeof (a) / sizeof ((a)[0]))
/* Median tokens.  With a prompt of 200, a full batch of such rollouts fits
   into KV memory.  */
#define ROLLOUT_TOKENS 400

static const struct wb_policy policies[] = {
  { "waxwing", WB_QUEUE_PRIORITY, WB_PLACE_TABLE, WB_STRAGGLER_STEPS },
  { "fifo-rr", WB_QUEUE_FIFO, WB_PLACE_ROUND_ROBIN, WB_STRAGGLER_STEPS },
  { "two-choices", WB_QUEUE_PRIORITY, WB_PLACE_TWO_CHOICES,
    WB_STRAGGLER_STEPS },
  { "restart", WB_QUEUE_PRIORITY, WB_PLACE_TABLE, WB_STRAGGLER_RESTART },
};

/* The claims deployment gives more weight to staleness, carde to idle time.
   TRAIN_MS is below what the engines need for a batch, so that the trainer
   waits for samples whatever the order in which they are issued.  */
static const struct wb_trainer_case claims[]
    = { { 1, 256, 8, 1, 20000, 3, 1 } };
static const struct wb_trainer_case carde[]
    = { { 1, 384, 8, 2, 20000, 1, 3 } };
static const struct wb_trainer_case unequal[] = {
  { 4, 128, 8, 2, 5000, 1, 3 },
  { 2, 128, 8, 2, 5000, 1, 3 },
  { 1, 128, 8, 2, 5000, 1, 3 },
};

struct size
{
  const char *name;
  uint32_t engines;
  uint32_t scale; /* factor for the batch size */
  const struct wb_trainer_case *trainer;
};

static const struct size sizes[] = {
  { "claims", 9, 1, claims },
  { "carde", 12, 1, carde },
  { "carde-10x", 120, 10, carde },
};

static const struct wb_case cases[] = {
  { .name = "batches", .trainers = 1 },
  { .name = "batches-long-tail", .trainers = 1, .stragglers = true },
  { .name = "batches-with-callers",
    .trainers = 1,
    .stragglers = true,
    .callers_per_s = 2 },
};

static const struct wb_case worth_case
    = { .name = "unequal-worth", .trainers = 3, .trainer = unequal };

static void
print_figure (const char *c, const char *size, const char *policy,
              const char *figure, double v)
{
  printf ("%s\t%s\t%s\t%s\t%.4g\n", c, size, policy, figure, v);
}

/* Idle milliseconds per batch that no policy can avoid: the work of the
   batches divided by the capacity of all engines, minus the concurrent
   training time.  */
static double
idle_bound_ms (const struct wb_simulation *w, const struct wb_trainer *t)
{
  double work_ms = t->tokens / (double)t->batches
                   / (w->c->engines * wb_capacity_tokens_per_ms ());

  return work_ms > t->c->train_ms ? work_ms - t->c->train_ms : 0;
}

static void
report_trainer (const struct wb_simulation *w, const char *size,
                const struct wb_trainer *t)
{
  const char *c = w->c->name;
  const char *p = w->p->name;
  double n = (double)t->batches;
  double idle = n > 0 ? t->idle_ms / n : 0;
  double period = idle + t->c->train_ms;

  print_figure (c, size, p, "batches", n);
  print_figure (c, size, p, "idle_share", n > 0 ? idle / period : 1);
  print_figure (c, size, p, "idle_above_bound",
                n > 0 ? (idle - idle_bound_ms (w, t)) / period : 1);
  print_figure (c, size, p, "staleness_mean",
                t->staleness_sum / (double)t->samples);
  print_figure (c, size, p, "staleness_max", (double)t->staleness_max);
  print_figure (c, size, p, "beyond_bound", (double)t->beyond_bound);
  print_figure (c, size, p, "engine_share",
                (t->wasted_tokens + t->tokens)
                    / ((w->c->duration_ms - w->c->count_from_ms)
                       * w->c->engines * wb_capacity_tokens_per_ms ()));
  print_figure (c, size, p, "wasted_share",
                t->wasted_tokens / (t->wasted_tokens + t->tokens));
}

static void
run (const struct wb_case *template, const struct size *s,
     const struct wb_policy *p)
{
  struct wb_trainer_case t = s->trainer[0];
  struct wb_case c = *template;
  struct wb_simulation *w;

  t.groups *= s->scale;
  c.engines = s->engines;
  c.entries = s->engines > 100 ? 10 : 3;
  c.azs = 3;
  c.trainer = &t;
  c.rollout_tokens = ROLLOUT_TOKENS;
  c.count_from_ms = 120000;
  c.duration_ms = s->scale > 1 ? 700000 : 1500000;
  w = wb_simulate (&c, p, SEED);
  report_trainer (w, s->name, &w->trainer[0]);
  wb_simulation_free (w);
}

/* Several trainers on the same engines: the share of each compared with its
   worth.  */
static void
run_unequal (const struct wb_policy *p)
{
  struct wb_case c = worth_case;
  struct wb_simulation *w;
  double tokens = 0;
  double worth = 0;
  double accepted = 0;
  double least = 1;

  c.engines = 12;
  c.entries = 3;
  c.azs = 3;
  c.rollout_tokens = ROLLOUT_TOKENS;
  c.count_from_ms = 120000;
  c.duration_ms = 900000;
  w = wb_simulate (&c, p, SEED);
  for (uint32_t i = 0; i < c.trainers; i++)
    {
      const struct wb_trainer *t = &w->trainer[i];

      tokens += t->tokens;
      worth += t->c->worth;
      accepted += t->c->worth * (double)t->batches;
    }
  for (uint32_t i = 0; i < c.trainers; i++)
    {
      const struct wb_trainer *t = &w->trainer[i];
      double share = t->tokens / tokens / (t->c->worth / worth);

      least = share < least ? share : least;
    }
  print_figure (c.name, "carde", p->name, "worth_weighted_batches", accepted);
  print_figure (c.name, "carde", p->name, "least_share_of_worth", least);
  wb_simulation_free (w);
}

int
main (int argc, char **argv)
{
  bool ours = argc > 1 && strcmp (argv[1], "ours") == 0;

  for (uint32_t p = 0; p < (ours ? 1 : N (policies)); p++)
    {
      /* The largest size takes too long to run after each change; only a
         complete run includes it.  */
      for (uint32_t s = 0; s < N (sizes) - (ours ? 1 : 0); s++)
        for (uint32_t c = 0; c < N (cases); c++)
          run (&cases[c], &sizes[s], &policies[p]);
      run_unequal (&policies[p]);
    }
  return 0;
}
