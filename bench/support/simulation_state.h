/* State of the simulation, shared by the files of bench/support.  */
#ifndef WY_BENCH_SIMULATION_STATE_H
#define WY_BENCH_SIMULATION_STATE_H

#include "decide/steps.h"
#include "simulation.h"

#define WB_DEADLINE_MS 4000
#define WB_NETWORK_MS 1 /* one way */
/* Deadline when the request leaves the entry: less the time on the
   network.  */
#define WB_RESPONSE_DEADLINE_MS (WB_DEADLINE_MS - 2 * WB_NETWORK_MS)
#define WB_NO_TRAINER UINT32_MAX

enum wb_event_kind
{
  WB_EV_ARRIVE,
  WB_EV_FINISH,
  WB_EV_WAKE,
  WB_EV_SNAPSHOT,
  WB_EV_REPORT,
  WB_EV_CACHE,
  WB_EV_SLOW,
  WB_EV_AZ_LOST,
  WB_EV_AZ_LOSS_DETECTED,
  WB_EV_WAVE,
  WB_EV_SWAPPED,
  WB_EV_TRAINED,
  WB_EV_TRAINER_TICK,
};

/* A request or sample.  The stream must stay first: engines hold pointers to
   it.  */
struct wb_request
{
  struct wb_stream stream;
  struct wy_queue_item item;
  struct wy_placement_request place;
  double arrived_ms;
  uint32_t entry;
  uint32_t target;
  uint32_t tokens; /* actual length */
  uint32_t trainer;
  uint32_t sample;
  uint64_t step;
  uint64_t version; /* of its oldest segment */
  bool cached;
  bool live;
  struct wb_request *next_free;
};

struct wb_agent
{
  struct wb_engine engine;
  struct wy_queue queue;
  struct wy_queue_item_list fifo;
  uint64_t kv_tokens; /* in use; FIFO only */
  uint64_t stamp;     /* of the current finish event; older ones are ignored */
  double wake_ms;
  uint64_t wake_stamp;
  uint32_t az;
  bool failed;
  bool staged;
  bool swapped;
  bool swapping;
  struct wy_queue_load snapshot;
};

struct wb_entry
{
  struct wy_placement *place;
  struct wy_retry_budget retry;
  uint32_t next_target;
  uint32_t *reported; /* load of each target as last reported */
  uint32_t *started_since_report;
};

/* A step whose samples may be issued.  */
struct wb_open_step
{
  struct wy_step *step;
  uint64_t version; /* of the weights when the trainer takes the batch */
  struct wb_request **sample; /* running samples, by index */
  double tokens;              /* of accepted samples */
  uint64_t staleness;         /* sum over accepted samples */
  uint64_t staleness_max;
  uint32_t accepted;
};

#define WB_OPEN_MAX 4

struct wb_trainer
{
  const struct wb_trainer_case *c;
  struct wb_open_step open[WB_OPEN_MAX]; /* in the order they are due */
  uint32_t n_open;
  uint64_t step_no;
  uint64_t version; /* of the weights on the engines */
  uint32_t running;
  bool training;
  double idle_from_ms;

  /* Counted after the warm-up.  */
  double idle_ms;
  uint64_t batches;
  double tokens;
  double wasted_tokens;
  double staleness_sum;
  uint64_t staleness_max;
  uint64_t samples;
  uint64_t beyond_bound;
};

struct wb_simulation
{
  const struct wb_case *c;
  const struct wb_policy *p;
  uint64_t seed;
  struct wy_rng rng; /* of callers: the same sequence for all policies */
  struct wy_rng rollout_rng; /* of rollouts without a trainer */
  struct wy_rng place_rng;   /* of decisions */
  struct wb_events events;
  struct wb_agent *agent;
  struct wb_entry *entry;
  struct wb_trainer *trainer;
  struct wb_request *free;
  struct wb_request **req; /* all that were allocated */
  uint32_t n_req;
  uint32_t rollouts; /* running or waiting, without a trainer */
  struct wb_figures f;
  double now_ms;
  uint32_t swapping;
  uint32_t swapped;
};

/* simulation.c */
struct wb_request *wb_request_new (struct wb_simulation *w);
void wb_request_free (struct wb_simulation *w, struct wb_request *r);
uint32_t wb_lognormal (struct wy_rng *rng, double median, double sigma);
uint32_t wb_length (struct wy_rng *rng, double median, bool stragglers);
void wb_reject_caller (struct wb_simulation *w, struct wb_request *r);
void wb_rollout_refill (struct wb_simulation *w);

/* entry.c */
bool wb_entry_place (struct wb_simulation *w, struct wb_request *r);
void wb_entry_request_ended (struct wb_simulation *w, struct wb_request *r,
                             enum wy_outcome outcome);
void wb_entry_load_reported (struct wb_simulation *w, uint32_t target);
void wb_entry_cache_event (struct wb_simulation *w, uint32_t target,
                           uint64_t prefix, bool present);

/* agent.c */
enum wy_admission_kind wb_agent_offer (struct wb_simulation *w,
                                       struct wb_request *r);
void wb_agent_poll (struct wb_simulation *w, uint32_t i);
void wb_agent_wake (struct wb_simulation *w, uint32_t i, uint64_t stamp);
void wb_agent_finish (struct wb_simulation *w, uint32_t i, uint64_t stamp);
void wb_agent_remove (struct wb_simulation *w, struct wb_request *r);
void wb_agent_set_stopped (struct wb_simulation *w, uint32_t i, bool stopped);

/* trainers.c */
void wb_trainers_start (struct wb_simulation *w);
void wb_trainer_sample_done (struct wb_simulation *w, struct wb_request *r);
void wb_trainer_sample_failed (struct wb_simulation *w, struct wb_request *r);
void wb_trainer_trained (struct wb_simulation *w, uint32_t i);
void wb_trainer_tick (struct wb_simulation *w, uint32_t i);
void wb_trainers_free (struct wb_simulation *w);

struct wy_step_inputs wb_trainer_step_inputs (const struct wb_simulation *w,
                                              const struct wb_trainer *t);
void wb_trainer_cancel_sample (struct wb_simulation *w, struct wb_open_step *s,
                               uint32_t sample);

/* stragglers.c */
void wb_stragglers_handle (struct wb_simulation *w, struct wb_trainer *t,
                           struct wb_open_step *s);

/* faults.c */
void wb_faults_schedule (struct wb_simulation *w);
void wb_fault_inject (struct wb_simulation *w, const struct wb_event *e);

#endif
