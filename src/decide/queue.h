/* Admission queue in front of one target.  */
#ifndef WY_DECIDE_QUEUE_H
#define WY_DECIDE_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/work_class.h"

#define WY_QUEUE_TRAINERS_MAX 32

enum wy_queue_kind
{
  WY_QUEUE_ENGINE,  /* token streams, limited by KV memory and batch size */
  WY_QUEUE_SERVICE, /* plain calls, limited by concurrency */
};

enum wy_queue_item_state
{
  WY_QUEUE_ITEM_NOT_QUEUED,
  WY_QUEUE_ITEM_WAITING,
  WY_QUEUE_ITEM_RUNNING,
  WY_QUEUE_ITEM_PAUSED, /* started, holds KV memory, not generating */
};

enum wy_admission_kind
{
  WY_ADMISSION_RUN, /* counts as running; its owner must start it */
  WY_ADMISSION_QUEUED,
  WY_ADMISSION_REFUSED, /* not run, not queued */
};

enum wy_refusal
{
  WY_REFUSAL_NONE,
  WY_REFUSAL_CLOSING,
  WY_REFUSAL_DEADLINE,  /* can't be met */
  WY_REFUSAL_FULL,      /* too many are waiting */
  WY_REFUSAL_TOO_LARGE, /* exceeds the target's KV memory */
};

/* One request.  Zero-initialized by its owner, who must not move or free it
   while it is in the queue.  */
struct wy_queue_item
{
  /* Set by the owner before wy_queue_offer.  */
  void *data;
  int64_t deadline_ms; /* 0: none */
  enum wy_work_class work_class;
  uint32_t trainer; /* slot of the trainer; rollouts only */
  uint32_t prompt_tokens;
  uint32_t cached_tokens;    /* of the prompt, probably in the prefix cache */
  uint32_t predicted_tokens; /* output; 0 for a plain service */
  bool suspect;              /* may crash the target; must run alone */

  /* Maintained by the queue; readable by the owner.  */
  bool started; /* has run before and will be resumed */
  bool evicted; /* its KV memory was released; resume from the prefix */
  enum wy_queue_item_state state;
  uint32_t tokens;          /* output so far */
  uint32_t kv_tokens;       /* KV memory charged to it */
  uint32_t measured_tokens; /* value of tokens at the last measurement */
  int64_t arrived_ms;
  int64_t start_by_ms;     /* a later start would miss the deadline */
  int64_t measured_ms;     /* time of the last measurement; 0: none */
  int64_t run_started_ms;  /* start of the current run */
  int64_t earlier_runs_ms; /* total duration of earlier runs */
  struct wy_queue_item *prev;
  struct wy_queue_item *next;
};

struct wy_queue_item_list
{
  struct wy_queue_item *head;
  struct wy_queue_item *tail;
  uint32_t n;
};

/* Zero selects the default.  */
struct wy_queue_options
{
  enum wy_queue_kind kind;
  uint32_t streams_max;        /* running concurrently */
  uint32_t shared_streams_max; /* the same while callers are present */
  uint32_t kv_tokens_max;
  uint32_t callers_waiting_max;
  uint32_t rollouts_waiting_max;
  /* A rollout that waits longer may start before callers.  */
  uint32_t ageing_ms;
  /* Time without callers after which rollouts may use all streams.  */
  uint32_t caller_idle_ms;
  /* Expected time per output token, and what each stream adds to it.  */
  uint32_t token_base_us;
  uint32_t token_per_stream_us;
  uint32_t prefill_token_us;
  uint32_t service_ms; /* expected duration of a call */
};

struct wy_queue_trainer
{
  double weight;       /* share of rollout tokens relative to other trainers */
  double virtual_time; /* of weighted fair queuing: tokens / weight */
  struct wy_queue_item_list waiting;
  struct wy_queue_item_list paused;
};

struct wy_queue
{
  struct wy_queue_options o;
  struct wy_queue_item_list callers;
  struct wy_queue_item_list suspects;
  struct wy_queue_item_list running_callers;
  struct wy_queue_item_list running_rollouts;
  struct wy_queue_trainer trainer[WY_QUEUE_TRAINERS_MAX];
  struct wy_queue_item *isolated; /* running suspect; nothing else may start */
  uint32_t rollouts_waiting;
  uint32_t rollouts_paused;
  uint64_t kv_used_tokens; /* running and paused */
  uint64_t kv_paused_tokens;
  double caller_ms;          /* smoothed duration of a caller's run */
  double slowness;           /* smoothed ratio of measured to expected time */
  double virtual_time_floor; /* highest at the start of a rollout */
  uint32_t
      callers_since_rollout; /* started since the last start of a rollout */
  uint32_t trainers;         /* slots in use */
  int64_t last_caller_ms;
  int64_t next_expiry_ms; /* no waiting caller has a lower start_by_ms */
  bool closing;
};

struct wy_admission
{
  enum wy_admission_kind kind;
  enum wy_refusal reason;
  uint32_t retry_after_ms; /* when rejected; 0: don't retry here */
};

enum wy_preempt_kind
{
  WY_PREEMPT_NONE,
  WY_PREEMPT_PAUSE, /* stop generating; keep its KV memory */
  WY_PREEMPT_EVICT, /* export or drop its KV memory */
};

struct wy_preempt
{
  enum wy_preempt_kind kind;
  struct wy_queue_item *item;
};

/* Content of a load report.  */
struct wy_queue_load
{
  uint32_t callers_running;
  uint32_t callers_waiting;
  uint32_t rollouts_running;
  uint32_t rollouts_waiting; /* including paused ones */
  uint32_t streams_max;
  uint32_t kv_free_tokens;
  uint32_t caller_wait_ms; /* expected for a caller that arrives now */
  uint32_t us_per_token;   /* at the current number of streams */
  bool closing;
};

void wy_queue_init (struct wy_queue *q, const struct wy_queue_options *o);
int wy_queue_set_trainer (struct wy_queue *q, uint32_t slot, double weight);
struct wy_admission wy_queue_offer (struct wy_queue *q,
                                    struct wy_queue_item *it, int64_t now_ms);
struct wy_queue_item *wy_queue_next (struct wy_queue *q, int64_t now_ms);
struct wy_preempt wy_queue_preempt (struct wy_queue *q, int64_t now_ms);
void wy_queue_progress (struct wy_queue *q, struct wy_queue_item *it,
                        uint32_t tokens, int64_t now_ms);
void wy_queue_done (struct wy_queue *q, struct wy_queue_item *it,
                    uint32_t tokens, int64_t now_ms);
void wy_queue_cancel (struct wy_queue *q, struct wy_queue_item *it,
                      int64_t now_ms);
struct wy_queue_item *wy_queue_expire (struct wy_queue *q, int64_t now_ms);
int64_t wy_queue_next_wakeup_ms (const struct wy_queue *q, int64_t now_ms);
void wy_queue_close (struct wy_queue *q);
bool wy_queue_empty (const struct wy_queue *q);
uint32_t wy_queue_expected_wait_ms (const struct wy_queue *q, int64_t now_ms);
uint32_t wy_queue_expected_run_ms (const struct wy_queue *q,
                                   const struct wy_queue_item *it);
void wy_queue_load (const struct wy_queue *q, int64_t now_ms,
                    struct wy_queue_load *out);

#endif
