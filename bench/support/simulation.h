/* Simulation of callers, entries, agents and engines in virtual time, with the
   policies of src/decide or baselines, for one load case.  */
#ifndef WY_BENCH_SIMULATION_H
#define WY_BENCH_SIMULATION_H

#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"
#include "decide/placement.h"
#include "decide/queue.h"
#include "decide/retry.h"
#include "engine.h"
#include "events.h"
#include "values.h"

enum wb_queue_policy
{
  WB_QUEUE_PRIORITY, /* that of agents, src/decide */
  WB_QUEUE_FIFO,     /* that of an engine: no priorities, nothing rejected */
};

enum wb_place_policy
{
  WB_PLACE_TABLE, /* that of entries, src/decide */
  WB_PLACE_ROUND_ROBIN,
  WB_PLACE_LEAST_REPORTED,
  WB_PLACE_TWO_CHOICES, /* by reported load and own requests started since */
};

enum wb_straggler_policy
{
  WB_STRAGGLER_STEPS,   /* src/decide */
  WB_STRAGGLER_RESTART, /* cancel beyond a length, then restart */
};

struct wb_policy
{
  const char *name;
  enum wb_queue_policy queue;
  enum wb_place_policy place;
  enum wb_straggler_policy straggler;
};

struct wb_trainer_case
{
  double worth;
  uint32_t groups;
  uint32_t group_samples;
  uint32_t staleness_max;
  double train_ms;
  double weigh_staleness;
  double weigh_idle;
};

struct wb_case
{
  const char *name;
  uint32_t engines;
  uint32_t azs;
  uint32_t entries;
  double callers_per_s; /* per engine */
  double rollouts;      /* concurrent rollouts without a trainer, per engine */
  double duration_ms;
  double count_from_ms;
  double burst_at_ms;
  double burst_ms;
  double burst_factor;
  uint32_t prefix_tokens;
  double prefix_skew; /* share of the callers that have the same prefix */
  bool stragglers;    /* 1% of the rollouts are 20 times as long */
  double slow_at_ms;  /* engine 0 drops to a tenth of its speed; 0: never */
  double az_lost_at_ms;
  double swap_at_ms;
  uint32_t trainers;
  const struct wb_trainer_case *trainer;
  double rollout_tokens; /* median */
};

struct wb_figures
{
  struct wb_values latency_ms;
  struct wb_values refusal_ms; /* from arrival to rejection */
  uint64_t offered;
  double offered_tokens;
  uint64_t in_time;
  double in_time_tokens;
  uint64_t refused;
  uint64_t retries; /* of callers' requests */
  double rollout_tokens;
  double swap_ms; /* until all replicas have the new weights */
};

struct wb_simulation;
struct wb_simulation *wb_simulate (const struct wb_case *c,
                                   const struct wb_policy *p, uint64_t seed);
struct wb_figures *wb_simulation_figures (struct wb_simulation *w);
void wb_simulation_free (struct wb_simulation *w);

#endif
